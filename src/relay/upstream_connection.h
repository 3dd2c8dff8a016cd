#pragma once

#include "core/clock.h"
#include "core/names.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeampick
{

/// Maximum size of a response header, of a chunk header with its extensions, and of the trailer fields.
constexpr std::uint32_t maxResponseHeaderBytes = 65536;

/// A connection to one incarnation of an upstream.
struct upstream_connection {
    explicit upstream_connection(const boost::asio::any_io_executor &executor)
        : stream(executor)
    {
    }

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer {maxResponseHeaderBytes};
    // Ids of the requests that were refused on this connection. A faulty upstream may repeat a refusal.
    std::vector<std::string> refusedIds;
    // While idle, the connection may be reused until this time.
    steady_time idleDeadline {};
    // A write found that the connection was lost before the upstream had ended its response. The write takes the error with it, and reads then find
    // what had arrived before and a regular end.
    bool isLost = false;
};

/// Pool of one thread's idle connections to upstreams. Single-threaded.
class upstream_connection_pool
{
public:
    /// Takes an idle connection that the upstream has neither closed nor written to, and on which no request with this id was refused,
    /// out of the pool; null when there is none. Requests without an id never share a connection.
    std::unique_ptr<upstream_connection> acquire(const std::string &address, const instance_name &instance, std::uint64_t incarnation, std::string_view id,
                                                 steady_time now);
    /// Adds a connection to the pool. It must have carried a complete response and no byte beyond it.
    void release(const std::string &address, const instance_name &instance, std::uint64_t incarnation, std::unique_ptr<upstream_connection> connection);
    /// Closes connections whose idle deadline has passed.
    void closeExpired(steady_time now);
    /// Closes all connections to upstreams; those to other entry hosts, which have no instance name, stay.
    void closeUpstreams();

private:
    struct key {
        std::string address;
        instance_name instance;
        std::uint64_t incarnation = 0;

        auto operator<=>(const key &) const = default;
    };

    std::map<key, std::vector<std::unique_ptr<upstream_connection>>> m_idle;
};

} // namespace hornbeampick
