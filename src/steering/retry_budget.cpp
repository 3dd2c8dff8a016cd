#include "steering/retry_budget.h"

#include "core/digest.h"

#include <algorithm>

namespace hornbeampick
{

retry_budget::retry_budget(const retry_budget_options &options)
    : m_options(options)
    , m_maxTokens(options.maxTokens)
{
}

void retry_budget::onFirstAttempt(const service_name &service)
{
    add(service, m_options.tokensPerAttempt);
}

void retry_budget::refund(const service_name &service)
{
    add(service, 1);
}

void retry_budget::setMaxTokens(double maxTokens)
{
    m_maxTokens = maxTokens;
}

void retry_budget::add(const service_name &service, double added)
{
    m_tokens.with(stableHash(service.view()), [&](token_counts &all) {
        double &available = tokensOf(all, service);
        available = std::min(available + added, m_maxTokens.load());
    });
}

bool retry_budget::take(const service_name &service)
{
    return m_tokens.with(stableHash(service.view()), [&](token_counts &all) {
        double &available = tokensOf(all, service);
        if (available < 1) {
            return false;
        }
        available -= 1;
        return true;
    });
}

double &retry_budget::tokensOf(token_counts &all, const service_name &service) const
{
    return all.try_emplace(service, m_options.initialTokens).first->second;
}

} // namespace hornbeampick
