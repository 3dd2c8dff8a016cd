#pragma once

#include "core/clock.h"
#include "core/names.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hornbeampick
{

/// A connection to one life of an upstream.
struct upstream_link {
    explicit upstream_link(const boost::asio::any_io_executor &executor)
        : stream(executor)
    {
    }

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    // Idle until then it may be used again.
    steady_time usableUntil {};
};

/// Idle connections of one thread to upstreams. Single-threaded.
class upstream_links
{
public:
    /// An idle connection that the upstream has neither closed nor written to; null when there is none.
    std::unique_ptr<upstream_link> take(const std::string &address, const instance_name &instance, std::uint64_t incarnation, steady_time now);
    /// Keeps a connection that has carried a whole answer, and nothing beyond it.
    void keep(const std::string &address, const instance_name &instance, std::uint64_t incarnation, std::unique_ptr<upstream_link> link);
    /// Closes what has been idle for too long.
    void expire(steady_time now);

private:
    struct key {
        std::string address;
        instance_name instance;
        std::uint64_t incarnation = 0;

        auto operator<=>(const key &) const = default;
    };

    std::map<key, std::vector<std::unique_ptr<upstream_link>>> m_idle;
};

} // namespace hornbeampick
