#include "storage/file_system.h"

#include <cerrno>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>
#include <utility>

namespace hornbeampick
{

namespace
{

constexpr mode_t fileMode = 0640;
constexpr mode_t folderMode = 0750;

std::error_code lastError()
{
    return make_error_code(errno == ENOSPC || errno == EDQUOT ? errc::diskFull : errc::ioFailed);
}

// An open file; closed when it goes.
class descriptor
{
public:
    explicit descriptor(int value)
        : m_value(value)
    {
    }
    ~descriptor()
    {
        if (m_value >= 0) {
            ::close(m_value);
        }
    }
    descriptor(descriptor &&other) noexcept
        : m_value(std::exchange(other.m_value, -1))
    {
    }
    descriptor(const descriptor &) = delete;
    descriptor &operator=(const descriptor &) = delete;
    descriptor &operator=(descriptor &&) = delete;

    [[nodiscard]] bool open() const
    {
        return m_value >= 0;
    }
    [[nodiscard]] int value() const
    {
        return m_value;
    }

private:
    int m_value;
};

status writeAll(int file, std::string_view content)
{
    while (!content.empty()) {
        const ssize_t written = ::write(file, content.data(), content.size());
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written < 0) {
            return lastError();
        }
        content.remove_prefix(static_cast<std::size_t>(written));
    }
    return success();
}

class posix_file_system final : public file_system
{
public:
    posix_file_system(std::string folder, descriptor lock)
        : m_folder(std::move(folder))
        , m_lock(std::move(lock))
    {
    }

    [[nodiscard]] bool exists(std::string_view name) const override
    {
        return ::access(path(name).c_str(), F_OK) == 0;
    }

    [[nodiscard]] result<std::string> read(std::string_view name) const override
    {
        const descriptor file(::open(path(name).c_str(), O_RDONLY | O_CLOEXEC));
        struct stat facts {
        };
        if (!file.open() || ::fstat(file.value(), &facts) != 0) {
            return errc::fileUnreadable;
        }
        std::string content(static_cast<std::size_t>(facts.st_size), '\0');
        std::size_t got = 0;
        while (got < content.size()) {
            const ssize_t count = ::read(file.value(), content.data() + got, content.size() - got);
            if (count < 0 && errno == EINTR) {
                continue;
            }
            if (count <= 0) {
                return errc::ioFailed;
            }
            got += static_cast<std::size_t>(count);
        }
        return content;
    }

    status write(std::string_view name, std::string_view content) override
    {
        return put(name, content, O_TRUNC);
    }

    status append(std::string_view name, std::string_view content) override
    {
        return put(name, content, O_APPEND);
    }

    status truncate(std::string_view name, std::size_t size) override
    {
        if (::truncate(path(name).c_str(), static_cast<off_t>(size)) != 0) {
            return lastError();
        }
        return success();
    }

    status sync(std::string_view name) override
    {
        return syncPath(path(name), O_RDONLY);
    }

    status rename(std::string_view from, std::string_view to) override
    {
        if (::rename(path(from).c_str(), path(to).c_str()) != 0) {
            return lastError();
        }
        return success();
    }

    status syncFolder() override
    {
        return syncPath(m_folder, O_RDONLY | O_DIRECTORY);
    }

private:
    [[nodiscard]] std::string path(std::string_view name) const
    {
        return m_folder + "/" + std::string(name);
    }

    status put(std::string_view name, std::string_view content, int mode)
    {
        const descriptor file(::open(path(name).c_str(), O_WRONLY | O_CREAT | O_CLOEXEC | mode, fileMode));
        if (!file.open()) {
            return lastError();
        }
        return writeAll(file.value(), content);
    }

    static status syncPath(const std::string &path, int flags)
    {
        const descriptor file(::open(path.c_str(), flags | O_CLOEXEC));
        if (!file.open() || ::fsync(file.value()) != 0) {
            return lastError();
        }
        return success();
    }

    std::string m_folder;
    descriptor m_lock;
};

} // namespace

result<std::unique_ptr<file_system>> makePosixFileSystem(const std::string &folder)
{
    if (::mkdir(folder.c_str(), folderMode) != 0 && errno != EEXIST) {
        return lastError();
    }
    descriptor lock(::open((folder + "/lock").c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, fileMode));
    if (!lock.open() || ::flock(lock.value(), LOCK_EX | LOCK_NB) != 0) {
        return errc::ioFailed;
    }
    return std::unique_ptr<file_system>(std::make_unique<posix_file_system>(folder, std::move(lock)));
}

status replaceFile(file_system &files, std::string_view name, std::string_view content)
{
    const std::string draft = std::string(name) + ".new";
    if (auto done = files.write(draft, content); !done) {
        return done;
    }
    if (auto done = files.sync(draft); !done) {
        return done;
    }
    if (auto done = files.rename(draft, name); !done) {
        return done;
    }
    return files.syncFolder();
}

} // namespace hornbeampick
