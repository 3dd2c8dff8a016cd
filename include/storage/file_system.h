#pragma once

#include "core/error.h"

#include <memory>
#include <string>
#include <string_view>

namespace hornbeampick
{

/// The files of one data folder. Names are plain file names.
///
/// What was written lasts only once `sync` of the file, and after a creation, rename or
/// removal `syncFolder`, has returned success. Errors: ioFailed, diskFull, fileUnreadable.
class file_system
{
public:
    virtual ~file_system() = default;

    [[nodiscard]] virtual bool exists(std::string_view name) const = 0;
    [[nodiscard]] virtual result<std::string> read(std::string_view name) const = 0;
    /// Creates or empties the file, then writes `content`.
    virtual status write(std::string_view name, std::string_view content) = 0;
    /// Creates the file when it is missing.
    virtual status append(std::string_view name, std::string_view content) = 0;
    virtual status truncate(std::string_view name, std::size_t size) = 0;
    virtual status sync(std::string_view name) = 0;
    virtual status rename(std::string_view from, std::string_view to) = 0;
    virtual status syncFolder() = 0;
};

/// Files below `folder`, which is created when missing and locked against a second process.
result<std::unique_ptr<file_system>> makePosixFileSystem(const std::string &folder);

/// Replaces `name` so that a crash leaves the old or the new content, and syncs it.
status replaceFile(file_system &files, std::string_view name, std::string_view content);

} // namespace hornbeampick
