#pragma once

#include "storage/file_system.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace hornbeampick::testing
{

/// In-memory file system that tracks which content has been synced.
///
/// A crash discards unsynced changes: a file reverts to its last synced content, and a creation or rename is undone
/// unless the folder was synced after it. Part of an unsynced appended tail may survive, as on a real disk.
/// What a failed sync did not store is never stored: as on Linux, a later sync of the same file succeeds without writing it.
class memory_files final : public file_system
{
public:
    [[nodiscard]] bool exists(std::string_view name) const override;
    [[nodiscard]] result<std::string> read(std::string_view name) const override;
    [[nodiscard]] result<std::size_t> size(std::string_view name) const override;
    status readAt(std::string_view name, std::size_t offset, std::span<char> target) const override;
    status write(std::string_view name, std::string_view content) override;
    status append(std::string_view name, std::string_view content) override;
    status truncate(std::string_view name, std::size_t size) override;
    status sync(std::string_view name) override;
    status rename(std::string_view from, std::string_view to) override;
    status remove(std::string_view name) override;
    status syncFolder() override;

    /// Simulates a power loss. `tailSelector` selects how many bytes of each unsynced tail survive, modulo the length of the tail plus one.
    void crash(std::uint64_t tailSelector);
    /// Deletes all files, synced ones included.
    void empty();
    /// Makes the `operations`-th operation from now and all later ones fail with `error`; 0 disables this.
    void failAfter(std::uint64_t operations, errc error);
    /// Sets how many bytes all files together may hold. A write beyond that stores what fits and fails with diskFull; empty: no limit.
    void setCapacity(std::optional<std::size_t> bytes);
    /// Number of bytes that all files hold.
    [[nodiscard]] std::size_t usedBytes() const;
    /// Number of modifying operations so far, failed ones included.
    [[nodiscard]] std::uint64_t operations() const
    {
        return m_operations;
    }
    void corrupt(std::string_view name, std::size_t position);

private:
    struct file {
        std::string content;
        std::string synced;
        bool syncFailed = false;
    };
    using folder = std::map<std::string, std::shared_ptr<file>, std::less<>>;

    status beginOperation();
    status appendWhatFits(file &target, std::string_view content) const;

    folder m_files;
    // Folder entries as of the last folder sync. Files are shared with m_files, so that a later file sync applies here too.
    folder m_durable;
    std::uint64_t m_operations = 0;
    std::uint64_t m_failAt = 0;
    errc m_error = errc::ioFailed;
    std::optional<std::size_t> m_capacity;
};

} // namespace hornbeampick::testing
