#include "rpc/peer_types.h"

namespace hornbeampick
{

namespace
{

std::size_t bytesOf(const http_headers &headers)
{
    std::size_t total = 0;
    for (const auto &[name, value] : headers) {
        total += name.size() + value.size();
    }
    return total;
}

} // namespace

std::string_view textOf(run_outcome outcome)
{
    switch (outcome) {
    case run_outcome::run:
        return "run";
    case run_outcome::notRun:
        return "not-run";
    case run_outcome::unknown:
        return "unknown";
    }
    return "";
}

digest proxied_request::contentDigest() const
{
    return digestOf({service.view(), method, target, body});
}

std::size_t proxied_request::bytes() const
{
    return target.size() + body.size() + bytesOf(headers);
}

std::size_t proxied_answer::bytes() const
{
    return body.size() + bytesOf(headers);
}

proxied_answer makeErrorAnswer(errc error, run_outcome outcome, milliseconds retryAfter)
{
    proxied_answer answer;
    answer.error = error;
    answer.outcome = outcome;
    answer.retryAfter = retryAfter;
    return answer;
}

} // namespace hornbeampick
