#pragma once

#include "core/error.h"
#include "replica/replica_types.h"

#include <span>

namespace hornbeampick
{

/// Durable storage of one replica. Unless said otherwise, a write is synced when the call returns success.
/// After a failed write the replica must stop participating, because the content of the disk is unknown, until it has loaded the records
/// and saved them all again. What `load` returns need not be durable: a failed or interrupted sync may have left it in the page cache only.
/// Single-threaded.
class replica_store
{
public:
    virtual ~replica_store() = default;

    /// Recovers the stored state of the replica; may be repeated. Errors: corruptRecord, unsupportedFormat, ioFailed, diskFull, fileUnreadable.
    virtual result<replica_image> load() = 0;
    /// Renames all record files and keeps them for inspection. The disk then counts as new, and as one that has lost records.
    virtual status setAside() = 0;
    /// Stores the identity of the disk together with its term and vote.
    virtual status saveHardState(disk_id disk, const hard_state &state) = 0;
    /// Appends entries; they replace all stored entries from their first index on.
    virtual status append(std::span<const log_entry> entries) = 0;
    /// Records the commit index, so that a restart without a quorum does not revert to an older state. Not synced: may be lost in a power failure.
    virtual status recordCommitIndex(log_index commit) = 0;
    /// Replaces the snapshot, and drops all log entries except `retained`.
    virtual status saveSnapshot(const replica_snapshot &snapshot, std::span<const log_entry> retained) = 0;
};

} // namespace hornbeampick
