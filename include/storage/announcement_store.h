#pragma once

#include "core/error.h"
#include "fleet/upstream_report.h"
#include "storage/file_system.h"

#include <memory>
#include <span>
#include <vector>

namespace hornbeampick
{

/// Stores the announcements of upstreams, so that a control host still knows them after a restart. Callers serialise their calls.
class announcement_store
{
public:
    virtual ~announcement_store() = default;
    /// Returns the saved reports; empty when nothing was saved. Errors: corruptRecord, unsupportedFormat, ioFailed, fileUnreadable.
    [[nodiscard]] virtual result<std::vector<upstream_report>> load() = 0;
    /// Replaces the saved reports; durable once the call returns success. Errors: ioFailed, diskFull.
    virtual status save(std::span<const upstream_report> reports) = 0;
};

/// Returns a store with one file, `announcements`, which is replaced atomically. `files` must outlive the store.
std::unique_ptr<announcement_store> makeAnnouncementFileStore(file_system &files);

} // namespace hornbeampick
