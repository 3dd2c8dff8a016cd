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

// Owns a file descriptor and closes it on destruction.
class file_descriptor
{
public:
    explicit file_descriptor(int value)
        : m_value(value)
    {
    }
    ~file_descriptor()
    {
        if (m_value >= 0) {
            ::close(m_value);
        }
    }
    file_descriptor(file_descriptor &&other) noexcept
        : m_value(std::exchange(other.m_value, -1))
    {
    }
    file_descriptor(const file_descriptor &) = delete;
    file_descriptor &operator=(const file_descriptor &) = delete;
    file_descriptor &operator=(file_descriptor &&) = delete;

    [[nodiscard]] bool isOpen() const
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
    posix_file_system(std::string folder, file_descriptor lock)
        : m_folder(std::move(folder))
        , m_lock(std::move(lock))
    {
    }

    [[nodiscard]] bool exists(std::string_view name) const override
    {
        // A file that cannot be looked up must not count as missing: a disk without records gets a new identity.
        return ::access(path(name).c_str(), F_OK) == 0 || errno != ENOENT;
    }

    [[nodiscard]] result<std::string> read(std::string_view name) const override
    {
        const file_descriptor file(::open(path(name).c_str(), O_RDONLY | O_CLOEXEC));
        struct stat fileStatus {
        };
        if (!file.isOpen() || ::fstat(file.value(), &fileStatus) != 0) {
            return errc::fileUnreadable;
        }
        std::string content(static_cast<std::size_t>(fileStatus.st_size), '\0');
        std::size_t bytesRead = 0;
        while (bytesRead < content.size()) {
            const ssize_t count = ::read(file.value(), content.data() + bytesRead, content.size() - bytesRead);
            if (count < 0 && errno == EINTR) {
                continue;
            }
            if (count <= 0) {
                return errc::ioFailed;
            }
            bytesRead += static_cast<std::size_t>(count);
        }
        return content;
    }

    status write(std::string_view name, std::string_view content) override
    {
        return writeFile(name, content, O_TRUNC);
    }

    status append(std::string_view name, std::string_view content) override
    {
        return writeFile(name, content, O_APPEND);
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

    status remove(std::string_view name) override
    {
        if (::unlink(path(name).c_str()) != 0 && errno != ENOENT) {
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

    status writeFile(std::string_view name, std::string_view content, int writeFlag)
    {
        const file_descriptor file(::open(path(name).c_str(), O_WRONLY | O_CREAT | O_CLOEXEC | writeFlag, fileMode));
        if (!file.isOpen()) {
            return lastError();
        }
        return writeAll(file.value(), content);
    }

    static status syncPath(const std::string &path, int flags)
    {
        const file_descriptor file(::open(path.c_str(), flags | O_CLOEXEC));
        if (!file.isOpen() || ::fsync(file.value()) != 0) {
            return lastError();
        }
        return success();
    }

    std::string m_folder;
    file_descriptor m_lock;
};

} // namespace

result<std::unique_ptr<file_system>> makePosixFileSystem(const std::string &folder)
{
    if (::mkdir(folder.c_str(), folderMode) != 0 && errno != EEXIST) {
        return lastError();
    }
    file_descriptor lock(::open((folder + "/lock").c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, fileMode));
    if (!lock.isOpen() || ::flock(lock.value(), LOCK_EX | LOCK_NB) != 0) {
        return errc::ioFailed;
    }
    return std::unique_ptr<file_system>(std::make_unique<posix_file_system>(folder, std::move(lock)));
}

status replaceFile(file_system &files, std::string_view name, std::string_view content)
{
    const std::string temporary = std::string(name) + ".new";
    auto outcome = files.write(temporary, content);
    if (outcome) {
        outcome = files.sync(temporary);
    }
    if (outcome) {
        outcome = files.rename(temporary, name);
    }
    if (!outcome) {
        // On a full disk an unfinished file takes the room that other records need.
        (void)files.remove(temporary);
        return outcome;
    }
    return files.syncFolder();
}

} // namespace hornbeampick
