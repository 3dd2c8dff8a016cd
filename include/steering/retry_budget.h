#pragma once

#include "core/names.h"
#include "core/shards.h"

#include <atomic>
#include <map>

namespace hornbeampick
{

struct retry_budget_options {
    // Earned by each first attempt that reached an upstream.
    double earned = 0.08;
    double initial = 2;
    double most = 20;
};

/// Second attempts a service may make: a fixed part of its first ones. Thread-safe, a lock a shard.
class retry_budget
{
public:
    explicit retry_budget(const retry_budget_options &options = {});

    void onFirstAttempt(const service_name &service);
    /// Takes one retry or hedge; false when the budget is spent.
    bool take(const service_name &service);
    /// Changes how many retries may be saved up.
    void setMost(double most);
    /// A retry that was taken did not reach an upstream.
    void giveBack(const service_name &service);

private:
    using tokens = std::map<service_name, double>;

    void add(const service_name &service, double earned);
    double &tokensOf(tokens &all, const service_name &service) const;

    retry_budget_options m_options;
    std::atomic<double> m_most;
    shards<tokens> m_tokens;
};

} // namespace hornbeampick
