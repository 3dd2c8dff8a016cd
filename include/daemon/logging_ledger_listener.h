#pragma once

#include "replica/replica_engine.h"

namespace hornbeampick
{

/// Logs what happens to the replica of this host. A derived class receives the applied states.
class logging_ledger_listener : public ledger_listener
{
public:
    void onRecordsDamaged(std::error_code reason) override;
    void onStopped(std::error_code reason) override;
    void onRecovered() override;
    void onRoleChanged(const replica_view &view) override;
    void onSlowDisk(milliseconds time) override;
};

} // namespace hornbeampick
