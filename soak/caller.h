#pragma once

#include "core/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <optional>
#include <string>

namespace hornbeampick::soak
{

/// An answer as a caller sees it; status 0 when none came whole.
struct caller_answer {
    unsigned status = 0;
    std::string body;
};

/// A client of one entry host that keeps its connection as long as it works. One thread.
class caller
{
public:
    explicit caller(std::string address);

    caller_answer ask(const std::string &target, const std::string &id, milliseconds deadline);

private:
    bool connect();
    // Runs what was started on the connection until it ends.
    void run();

    std::string m_address;
    boost::asio::io_context m_context;
    std::optional<boost::beast::tcp_stream> m_stream;
    boost::beast::flat_buffer m_buffer;
};

} // namespace hornbeampick::soak
