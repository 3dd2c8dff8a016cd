#include "storage/record_frame.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstring>
#include <memory>
#include <xxhash.h>

namespace hornbeampick
{

namespace
{

constexpr std::uint32_t frameMagic = 0x4b504248; // "HBPK", little endian
constexpr std::uint32_t frameFormat = 2;
// A last frame that ends in this many zero bytes counts as not completely written.
constexpr std::size_t tornTailZeros = 8;
constexpr std::size_t readChunkBytes = std::size_t {64} * 1024;

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

// The content of a file that is in memory.
class memory_source final : public record_source
{
public:
    explicit memory_source(std::string_view content)
        : m_content(content)
    {
    }
    [[nodiscard]] std::size_t size() const override
    {
        return m_content.size();
    }
    status read(std::size_t offset, std::span<char> target) const override
    {
        std::memcpy(target.data(), m_content.data() + offset, target.size());
        return success();
    }

private:
    std::string_view m_content;
};

// Streaming form of `checksumOf`.
class payload_checksum
{
public:
    explicit payload_checksum(std::uint64_t length)
        : m_state(XXH3_createState())
    {
        XXH3_64bits_reset_withSeed(m_state.get(), length);
    }
    void add(std::span<const char> bytes)
    {
        XXH3_64bits_update(m_state.get(), bytes.data(), bytes.size());
    }
    [[nodiscard]] std::uint64_t value() const
    {
        return XXH3_64bits_digest(m_state.get());
    }

private:
    struct state_deleter {
        void operator()(XXH3_state_t *state) const
        {
            XXH3_freeState(state);
        }
    };
    std::unique_ptr<XXH3_state_t, state_deleter> m_state;
};

// Returns the valid header at `offset`; empty when there is none.
result<std::optional<frame_header>> headerAt(const record_source &source, std::size_t offset)
{
    if (source.size() - offset < sizeof(frame_header)) {
        return std::optional<frame_header>();
    }
    std::array<char, sizeof(frame_header)> bytes {};
    if (const auto outcome = source.read(offset, bytes); !outcome) {
        return outcome.error();
    }
    frame_header header;
    std::memcpy(&header, bytes.data(), sizeof header);
    const bool isValid = header.magic == frameMagic && header.headerChecksum == checksumOf(header);
    return isValid ? std::optional(header) : std::nullopt;
}

// Returns the payload of the valid frame at `offset`; empty when there is none.
result<std::optional<record_extent>> payloadAt(const record_source &source, std::size_t offset)
{
    const auto header = headerAt(source, offset);
    if (!header) {
        return header.error();
    }
    if (!header.value() || header.value()->length > source.size() - offset - sizeof(frame_header)) {
        return std::optional<record_extent>();
    }
    const record_extent payload {.offset = offset + sizeof(frame_header), .length = header.value()->length};
    payload_checksum checksum(payload.length);
    std::array<char, readChunkBytes> chunk {};
    for (std::size_t done = 0; done < payload.length;) {
        const std::span<char> target(chunk.data(), std::min(chunk.size(), payload.length - done));
        if (const auto outcome = source.read(payload.offset + done, target); !outcome) {
            return outcome.error();
        }
        checksum.add(target);
        done += target.size();
    }
    return checksum.value() == header.value()->checksum ? std::optional(payload) : std::nullopt;
}

// Returns true when the tail of the file from `offset` on is the beginning of a frame whose write was interrupted.
result<bool> isTorn(const record_source &source, std::size_t offset)
{
    const std::size_t rest = source.size() - offset;
    if (rest < sizeof(frame_header)) {
        return true;
    }
    std::array<char, tornTailZeros> end {};
    if (const auto outcome = source.read(source.size() - end.size(), end); !outcome) {
        return outcome.error();
    }
    if (isZero({end.data(), end.size()})) {
        return true;
    }
    const auto header = headerAt(source, offset);
    if (!header) {
        return header.error();
    }
    return header.value() && rest - sizeof(frame_header) < header.value()->length;
}

result<bool> hasValidFrameAfter(const record_source &source, std::size_t offset)
{
    std::array<char, sizeof frameMagic> magic {};
    std::memcpy(magic.data(), &frameMagic, magic.size());
    const std::string_view magicBytes(magic.data(), magic.size());
    std::array<char, readChunkBytes> chunk {};
    while (source.size() - offset >= sizeof(frame_header)) {
        const std::span<char> target(chunk.data(), std::min(chunk.size(), source.size() - offset));
        if (const auto outcome = source.read(offset, target); !outcome) {
            return outcome.error();
        }
        const std::string_view content(target.data(), target.size());
        for (auto found = content.find(magicBytes); found != std::string_view::npos; found = content.find(magicBytes, found + 1)) {
            const auto payload = payloadAt(source, offset + found);
            if (!payload) {
                return payload.error();
            }
            if (payload.value()) {
                return true;
            }
        }
        // Chunks overlap by less than a magic number, which may lie across their border.
        offset += target.size() - (magic.size() - 1);
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

record_reader::record_reader(const record_source &source)
    : m_source(source)
{
}

result<std::optional<record_extent>> record_reader::next()
{
    if (m_validBytes >= m_source.size()) {
        return std::optional<record_extent>();
    }
    const auto payload = payloadAt(m_source, m_validBytes);
    if (!payload) {
        return payload.error();
    }
    if (!payload.value()) {
        const auto torn = isTorn(m_source, m_validBytes);
        if (!torn) {
            return torn.error();
        }
        const auto followed = torn.value() ? hasValidFrameAfter(m_source, m_validBytes + 1) : result<bool>(true);
        if (!followed) {
            return followed.error();
        }
        return followed.value() ? result<std::optional<record_extent>>(errc::corruptRecord) : std::optional<record_extent>();
    }
    const auto header = headerAt(m_source, m_validBytes);
    if (!header) {
        return header.error();
    }
    if (header.value()->format != frameFormat) {
        return errc::unsupportedFormat;
    }
    m_validBytes = payload.value()->offset + payload.value()->length;
    return payload;
}

result<framed_records> readFrames(std::string_view content)
{
    const memory_source source(content);
    record_reader reader(source);
    framed_records records;
    while (true) {
        const auto extent = reader.next();
        if (!extent) {
            return extent.error();
        }
        if (!extent.value()) {
            records.validBytes = reader.validBytes();
            return records;
        }
        records.payloads.push_back(content.substr(extent.value()->offset, extent.value()->length));
    }
}

} // namespace hornbeampick
