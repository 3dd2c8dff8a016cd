#include "storage/record_frame.h"

#include <array>
#include <cstdint>
#include <cstring>
#include <optional>
#include <xxhash.h>

namespace hornbeampick
{

namespace
{

constexpr std::uint32_t frameMark = 0x4b504248; // "HBPK", little endian
constexpr std::uint32_t frameFormat = 1;

// On disk in this order, little endian.
struct frame_header {
    std::uint32_t mark = frameMark;
    std::uint32_t format = frameFormat;
    std::uint64_t length = 0;
    std::uint64_t checksum = 0;
};

static_assert(sizeof(frame_header) == 24);

std::uint64_t checksumOf(std::string_view payload)
{
    return XXH3_64bits_withSeed(payload.data(), payload.size(), payload.size());
}

std::optional<frame_header> headerAt(std::string_view content, std::size_t at)
{
    if (content.size() - at < sizeof(frame_header)) {
        return std::nullopt;
    }
    frame_header header;
    std::memcpy(&header, content.data() + at, sizeof header);
    if (header.mark != frameMark) {
        return std::nullopt;
    }
    return header;
}

// The payload of a sound frame at `at`; empty when there is none.
std::optional<std::string_view> payloadAt(std::string_view content, std::size_t at)
{
    const auto header = headerAt(content, at);
    if (!header || header->length > content.size() - at - sizeof(frame_header)) {
        return std::nullopt;
    }
    const std::string_view payload = content.substr(at + sizeof(frame_header), header->length);
    if (checksumOf(payload) != header->checksum) {
        return std::nullopt;
    }
    return payload;
}

bool soundFrameAfter(std::string_view content, std::size_t at)
{
    std::array<char, sizeof frameMark> mark {};
    std::memcpy(mark.data(), &frameMark, mark.size());
    const std::string_view needle(mark.data(), mark.size());
    for (auto found = content.find(needle, at); found != std::string_view::npos; found = content.find(needle, found + 1)) {
        if (payloadAt(content, found)) {
            return true;
        }
    }
    return false;
}

} // namespace

std::string frameRecord(std::string_view payload)
{
    const frame_header header {.length = payload.size(), .checksum = checksumOf(payload)};
    std::string frame(sizeof header, '\0');
    std::memcpy(frame.data(), &header, sizeof header);
    frame.append(payload);
    return frame;
}

result<framed_records> readFrames(std::string_view content)
{
    framed_records records;
    while (records.goodBytes < content.size()) {
        const auto payload = payloadAt(content, records.goodBytes);
        if (!payload) {
            if (soundFrameAfter(content, records.goodBytes + 1)) {
                return errc::corruptRecord;
            }
            return records;
        }
        if (headerAt(content, records.goodBytes)->format != frameFormat) {
            return errc::unsupportedFormat;
        }
        records.payloads.push_back(*payload);
        records.goodBytes += sizeof(frame_header) + payload->size();
    }
    return records;
}

} // namespace hornbeampick
