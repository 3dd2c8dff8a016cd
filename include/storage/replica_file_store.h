#pragma once

#include "replica/replica_store.h"
#include "storage/file_system.h"

#include <memory>

namespace hornbeampick
{

/// Returns a store that keeps a replica in the files `identity`, `snapshot` and `log`, and its commit index in `commit`.
///
/// Each append adds one synced frame to the log; the entries of a later frame replace those of
/// earlier frames from their first index on. Single-threaded. `files` must outlive the store.
std::unique_ptr<replica_store> makeReplicaFileStore(file_system &files);

} // namespace hornbeampick
