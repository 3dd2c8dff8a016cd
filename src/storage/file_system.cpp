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

    [[nodiscard]] result<std::size_t> size(std::string_view name) const override
    {
        struct stat fileStatus {
        };
        if (::stat(path(name).c_str(), &fileStatus) != 0) {
            return errc::fileUnreadable;
        }
        return static_cast<std::size_t>(fileStatus.st_size);
    }

    status readAt(std::string_view name, std::size_t offset, std::span<char> target) const override
    {
        const file_descriptor file(::open(path(name).c_str(), O_RDONLY | O_CLOEXEC));
        if (!file.isOpen()) {
            return errc::fileUnreadable;
        }
        while (!target.empty()) {
            const ssize_t count = ::pread(file.value(), target.data(), target.size(), static_cast<off_t>(offset));
            if (count < 0 && errno == EINTR) {
                continue;
            }
            if (count <= 0) {
                return errc::ioFailed;
            }
            offset += static_cast<std::size_t>(count);
            target = target.subspan(static_cast<std::size_t>(count));
        }
        return success();
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

file_replacement::file_replacement(file_system &files, std::string_view name)
    : m_files(files)
    , m_name(name)
    , m_temporary(std::string(name) + ".new")
{
}

file_replacement::~file_replacement()
{
    if (!m_isCommitted) {
        // On a full disk an unfinished file takes the room that other records need.
        (void)m_files.remove(m_temporary);
    }
}

status file_replacement::append(std::string_view content)
{
    // The first piece truncates what an earlier process may have left.
    return std::exchange(m_isCreated, true) ? m_files.append(m_temporary, content) : m_files.write(m_temporary, content);
}

status file_replacement::commit()
{
    auto outcome = m_isCreated ? status(success()) : append({});
    if (outcome) {
        outcome = m_files.sync(m_temporary);
    }
    if (outcome) {
        outcome = m_files.rename(m_temporary, m_name);
    }
    if (!outcome) {
        return outcome;
    }
    m_isCommitted = true;
    return m_files.syncFolder();
}

status replaceFile(file_system &files, std::string_view name, std::string_view content)
{
    file_replacement replacement(files, name);
    if (auto outcome = replacement.append(content); !outcome) {
        return outcome;
    }
    return replacement.commit();
}

} // namespace hornbeampick
