#pragma once

#include "record.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <optional>
#include <string>

namespace hornbeampick::soak
{

/// The outcome of a request for its client; status 0 if no complete answer arrived.
struct client_answer {
    unsigned status = 0;
    std::string body {};
    bool onKeptConnection = false;
    request_end end = request_end::notSent;
};

/// A blocking HTTP client of one entry host that reuses its connection until an error. Not thread-safe.
class entry_client
{
public:
    explicit entry_client(std::string address);

    /// Sends a GET request with the given Request-Id and deadline. Returns status 0 on errors, or if no complete answer arrives within 5 s
    /// after the deadline.
    client_answer send(const std::string &target, const std::string &id, milliseconds deadline);

private:
    bool connect();
    // Runs the pending asynchronous operations to completion.
    void run();
    // Writes the request to the open connection and reads the answer.
    client_answer exchange(const std::string &target, const std::string &id, milliseconds deadline);

    std::string m_address;
    boost::asio::io_context m_context;
    std::optional<boost::beast::tcp_stream> m_stream;
    boost::beast::flat_buffer m_buffer;
};

} // namespace hornbeampick::soak
