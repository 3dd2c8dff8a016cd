#pragma once

#include "request_context.h"

#include <set>
#include <vector>

namespace hornbeampick
{

/// The requests in progress on the connections of one relay thread. Single-threaded.
class active_requests
{
public:
    void add(const request_context &context)
    {
        m_requests.insert(&context);
    }
    void remove(const request_context &context)
    {
        m_requests.erase(&context);
    }
    /// Removes and returns all requests. The contexts belong to their sessions.
    [[nodiscard]] std::vector<const request_context *> takeAll()
    {
        std::vector<const request_context *> all(m_requests.begin(), m_requests.end());
        m_requests.clear();
        return all;
    }

private:
    std::set<const request_context *> m_requests;
};

} // namespace hornbeampick
