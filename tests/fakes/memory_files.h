#pragma once

#include "storage/file_system.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace hornbeampick::testing
{

/// Files in memory that know what was synced.
///
/// A crash drops what was not: a file falls back to its last synced content, and a creation or rename that the
/// folder was not synced for is undone. A written tail may survive in part, as on a real disk.
class memory_files final : public file_system
{
public:
    [[nodiscard]] bool exists(std::string_view name) const override;
    [[nodiscard]] result<std::string> read(std::string_view name) const override;
    status write(std::string_view name, std::string_view content) override;
    status append(std::string_view name, std::string_view content) override;
    status truncate(std::string_view name, std::size_t size) override;
    status sync(std::string_view name) override;
    status rename(std::string_view from, std::string_view to) override;
    status syncFolder() override;

    /// `keep` picks how much of an unsynced tail survives.
    void crash(std::uint64_t keep);
    void empty();
    /// The `operations`-th operation from now, and all after it, fail; 0: none.
    void failAfter(std::uint64_t operations, errc error);
    /// Operations carried out so far.
    [[nodiscard]] std::uint64_t operations() const
    {
        return m_operations;
    }
    void corrupt(std::string_view name, std::size_t position);

private:
    struct file {
        std::string content;
        std::string synced;
    };
    using folder = std::map<std::string, std::shared_ptr<file>, std::less<>>;

    status step();

    folder m_files;
    // Names as the folder held them when it was last synced. Files are shared, so that a later sync of one counts.
    folder m_durable;
    std::uint64_t m_operations = 0;
    std::uint64_t m_failAt = 0;
    errc m_error = errc::ioFailed;
};

} // namespace hornbeampick::testing
