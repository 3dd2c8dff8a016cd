#pragma once

#include "core/error.h"

#include <cstddef>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace hornbeampick
{

/// Access to the files of one data folder. Names are plain file names.
///
/// Written data is durable only once `sync` of the file and, after a creation, rename or
/// removal, `syncFolder` have returned success. Errors: ioFailed, diskFull, fileUnreadable.
class file_system
{
public:
    virtual ~file_system() = default;

    [[nodiscard]] virtual bool exists(std::string_view name) const = 0;
    [[nodiscard]] virtual result<std::string> read(std::string_view name) const = 0;
    /// Returns the size of the file in bytes.
    [[nodiscard]] virtual result<std::size_t> size(std::string_view name) const = 0;
    /// Fills `target` with the bytes from `offset` on. Errors: ioFailed when the file ends before.
    virtual status readAt(std::string_view name, std::size_t offset, std::span<char> target) const = 0;
    /// Creates or truncates the file, then writes `content`.
    virtual status write(std::string_view name, std::string_view content) = 0;
    /// Appends to the file; creates it when it does not exist.
    virtual status append(std::string_view name, std::string_view content) = 0;
    virtual status truncate(std::string_view name, std::size_t size) = 0;
    virtual status sync(std::string_view name) = 0;
    virtual status rename(std::string_view from, std::string_view to) = 0;
    /// Removes the file; succeeds when it does not exist.
    virtual status remove(std::string_view name) = 0;
    virtual status syncFolder() = 0;
};

/// Opens `folder`, which is created when it does not exist and locked against other processes. Errors: diskFull, ioFailed.
result<std::unique_ptr<file_system>> makePosixFileSystem(const std::string &folder);

/// Writes the new content of a file piece by piece, and then replaces the file atomically: after a crash it has either the old or the new
/// content. Without a successful `commit` the file stays as it was, and nothing else is left on the disk.
class file_replacement
{
public:
    /// `files` must outlive the replacement.
    file_replacement(file_system &files, std::string_view name);
    ~file_replacement();
    file_replacement(const file_replacement &) = delete;
    file_replacement &operator=(const file_replacement &) = delete;

    status append(std::string_view content);
    /// Syncs the new content and puts it in place. To be called once, after the last `append`.
    status commit();

private:
    file_system &m_files;
    std::string m_name;
    std::string m_temporary;
    bool m_isCreated = false;
    bool m_isCommitted = false;
};

/// Replaces the file `name` atomically and syncs it: after a crash it has either the old or the new content.
/// After a failure it has either as well, and nothing else is left on the disk.
status replaceFile(file_system &files, std::string_view name, std::string_view content);

} // namespace hornbeampick
