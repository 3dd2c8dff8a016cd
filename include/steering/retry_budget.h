#pragma once

#include "core/names.h"
#include "core/shards.h"

#include <atomic>
#include <map>

namespace hornbeampick
{

struct retry_budget_options {
    // Tokens added by each first attempt that reached an upstream.
    double tokensPerAttempt = 0.08;
    double initialTokens = 2;
    double maxTokens = 20;
};

/// Limits the retries and hedged requests of each service to a fixed fraction of its first attempts, with a token bucket.
/// Thread-safe; one lock per shard.
class retry_budget
{
public:
    explicit retry_budget(const retry_budget_options &options = {});

    /// Adds the tokens of a first attempt that reached an upstream.
    void onFirstAttempt(const service_name &service);
    /// Takes one token for a retry or a hedged request. Returns false when the budget is spent.
    bool take(const service_name &service);
    /// Sets the capacity of the token buckets. It applies when tokens are next added.
    void setMaxTokens(double maxTokens);
    /// Returns the token of a retry that did not reach an upstream.
    void refund(const service_name &service);

private:
    using token_counts = std::map<service_name, double>;

    void add(const service_name &service, double added);
    double &tokensOf(token_counts &all, const service_name &service) const;

    retry_budget_options m_options;
    std::atomic<double> m_maxTokens;
    shards<token_counts> m_tokens;
};

} // namespace hornbeampick
