#pragma once

#include "core/error.h"
#include "replica/replica_types.h"

#include <span>

namespace hornbeampick
{

/// Durable home of one replica. Every write is synced when the call returns success.
/// After a failed write the caller must stop taking part: what is on the disk is then unknown.
class replica_store
{
public:
    virtual ~replica_store() = default;

    /// Reads all that was stored. Errors: corruptRecord, unsupportedFormat, ioFailed.
    virtual result<replica_image> load() = 0;
    /// Moves all records out of the way, for people to look at. The disk is then new, and known to have lost records.
    virtual status setAside() = 0;
    virtual status saveIdentity(disk_id disk, const hard_state &state) = 0;
    /// Entries replace stored ones from the first index on.
    virtual status append(std::span<const log_entry> entries) = 0;
    /// Notes what is committed, so that a restart without a majority does not fall back. Not synced: may be lost.
    virtual void noteCommit(log_index commit) = 0;
    /// Replaces the snapshot and drops all entries but `kept`.
    virtual status saveSnapshot(const replica_snapshot &snapshot, std::span<const log_entry> kept) = 0;
};

} // namespace hornbeampick
