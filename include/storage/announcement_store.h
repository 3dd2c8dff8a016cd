#pragma once

#include "core/error.h"
#include "fleet/upstream_report.h"
#include "storage/file_system.h"

#include <memory>
#include <span>
#include <vector>

namespace hornbeampick
{

/// Keeps what upstreams announced to a control host over its restarts. One thread at a time.
class announcement_store
{
public:
    virtual ~announcement_store() = default;
    /// Empty when nothing was saved. Errors: corruptRecord, unsupportedFormat, ioFailed, fileUnreadable.
    [[nodiscard]] virtual result<std::vector<upstream_report>> load() = 0;
    /// Replaces what was saved; lasts once this has returned success. Errors: ioFailed, diskFull.
    virtual status save(std::span<const upstream_report> reports) = 0;
};

/// In one file, `announcements`, which is replaced as a whole.
std::unique_ptr<announcement_store> makeAnnouncementFileStore(file_system &files);

} // namespace hornbeampick
