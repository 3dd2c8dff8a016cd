#include "storage/record_frame.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <optional>
#include <xxhash.h>

namespace hornbeampick
{

namespace
{

constexpr std::uint32_t frameMagic = 0x4b504248; // "HBPK", little endian
constexpr std::uint32_t frameFormat = 2;
// A last frame that ends in this many zero bytes counts as not completely written.
constexpr std::size_t tornTailZeros = 8;

// Layout on disk, little endian.
struct frame_header {
    std::uint32_t magic = frameMagic;
    std::uint32_t format = frameFormat;
    std::uint64_t length = 0;
    std::uint64_t checksum = 0;
    // Covers the fields before it.
    std::uint64_t headerChecksum = 0;
};

static_assert(sizeof(frame_header) == 32);

std::uint64_t checksumOf(std::string_view payload)
{
    return XXH3_64bits_withSeed(payload.data(), payload.size(), payload.size());
}

std::uint64_t checksumOf(const frame_header &header)
{
    return XXH3_64bits(&header, offsetof(frame_header, headerChecksum));
}

bool isZero(std::string_view bytes)
{
    return bytes.find_first_not_of('\0') == std::string_view::npos;
}

std::optional<frame_header> headerAt(std::string_view content, std::size_t offset)
{
    if (content.size() - offset < sizeof(frame_header)) {
        return std::nullopt;
    }
    frame_header header;
    std::memcpy(&header, content.data() + offset, sizeof header);
    if (header.magic != frameMagic || header.headerChecksum != checksumOf(header)) {
        return std::nullopt;
    }
    return header;
}

// Returns the payload of the valid frame at `offset`; empty when there is none.
std::optional<std::string_view> payloadAt(std::string_view content, std::size_t offset)
{
    const auto header = headerAt(content, offset);
    if (!header || header->length > content.size() - offset - sizeof(frame_header)) {
        return std::nullopt;
    }
    const std::string_view payload = content.substr(offset + sizeof(frame_header), header->length);
    if (checksumOf(payload) != header->checksum) {
        return std::nullopt;
    }
    return payload;
}

// Returns true when `rest`, the tail of a file, is the beginning of a frame whose write was interrupted.
bool isTorn(std::string_view rest)
{
    if (rest.size() < sizeof(frame_header)) {
        return true;
    }
    if (isZero(rest.substr(rest.size() - tornTailZeros))) {
        return true;
    }
    const auto header = headerAt(rest, 0);
    return header && rest.size() - sizeof(frame_header) < header->length;
}

bool hasValidFrameAfter(std::string_view content, std::size_t offset)
{
    std::array<char, sizeof frameMagic> magic {};
    std::memcpy(magic.data(), &frameMagic, magic.size());
    const std::string_view magicBytes(magic.data(), magic.size());
    for (auto found = content.find(magicBytes, offset); found != std::string_view::npos; found = content.find(magicBytes, found + 1)) {
        if (payloadAt(content, found)) {
            return true;
        }
    }
    return false;
}

} // namespace

std::string frameRecord(std::string_view payload)
{
    frame_header header {.length = payload.size(), .checksum = checksumOf(payload)};
    header.headerChecksum = checksumOf(header);
    std::string frame(sizeof header, '\0');
    std::memcpy(frame.data(), &header, sizeof header);
    frame.append(payload);
    return frame;
}

result<framed_records> readFrames(std::string_view content)
{
    framed_records records;
    while (records.validBytes < content.size()) {
        const auto payload = payloadAt(content, records.validBytes);
        if (!payload) {
            const bool torn = isTorn(content.substr(records.validBytes)) && !hasValidFrameAfter(content, records.validBytes + 1);
            return torn ? result<framed_records>(std::move(records)) : result<framed_records>(errc::corruptRecord);
        }
        if (headerAt(content, records.validBytes)->format != frameFormat) {
            return errc::unsupportedFormat;
        }
        records.payloads.push_back(*payload);
        records.validBytes += sizeof(frame_header) + payload->size();
    }
    return records;
}

} // namespace hornbeampick
