#pragma once

#include "replica/replica_store.h"
#include "storage/file_system.h"

#include <memory>

namespace hornbeampick
{

/// Keeps a replica in three files: `identity`, `snapshot` and `log`.
///
/// The log only grows by synced frames, one a call; entries of a later frame replace those of an
/// earlier one from their first index on. Single-threaded.
std::unique_ptr<replica_store> makeReplicaFileStore(file_system &files);

} // namespace hornbeampick
