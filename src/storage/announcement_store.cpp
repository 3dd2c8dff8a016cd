#include "storage/announcement_store.h"

#include "codec/peer_codec.h"
#include "storage/record_frame.h"

#include "control.pb.h"

namespace hornbeampick
{

namespace
{

constexpr std::string_view announcementFile = "announcements";

class announcement_file_store final : public announcement_store
{
public:
    explicit announcement_file_store(file_system &files)
        : m_files(files)
    {
    }

    result<std::vector<upstream_report>> load() override
    {
        std::vector<upstream_report> reports;
        if (!m_files.exists(announcementFile)) {
            return reports;
        }
        const auto content = m_files.read(announcementFile);
        if (!content) {
            return content.error();
        }
        const auto frames = readFrames(content.value());
        if (!frames) {
            return frames.error();
        }
        schema::announcement_image image;
        const bool valid = frames.value().payloads.size() == 1 && image.ParseFromString(std::string(frames.value().payloads.front()));
        if (!valid) {
            return errc::corruptRecord;
        }
        reports.reserve(static_cast<std::size_t>(image.upstreams_size()));
        for (const auto &report : image.upstreams()) {
            reports.push_back(decode(report));
        }
        return reports;
    }

    status save(std::span<const upstream_report> reports) override
    {
        schema::announcement_image image;
        for (const auto &report : reports) {
            *image.add_upstreams() = encode(report);
        }
        return replaceFile(m_files, announcementFile, frameRecord(image.SerializeAsString()));
    }

private:
    file_system &m_files;
};

} // namespace

std::unique_ptr<announcement_store> makeAnnouncementFileStore(file_system &files)
{
    return std::make_unique<announcement_file_store>(files);
}

} // namespace hornbeampick
