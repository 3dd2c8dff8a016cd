#pragma once

#include "http/message_reader.h"

#include <string>

namespace hornbeampick
{

/// Maximum number of body bytes read in one call.
constexpr std::size_t bodyReadBytes = 16384;

/// Reads the next part of a body, at most `bodyReadBytes`, and appends it to `out`. The parser is done once the body has ended.
/// Sets the timer of `stream` to `deadline`. Errors: those of `readMessage`.
template <typename Parser>
boost::asio::awaitable<boost::system::error_code> readSomeBody(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer, Parser &parser,
                                                               std::string &out, steady_time deadline, read_meter *meter = nullptr)
{
    namespace http = boost::beast::http;
    const auto sizeBefore = out.size();
    out.resize(sizeBefore + bodyReadBytes);
    auto &body = parser.get().body();
    body.data = out.data() + sizeBefore;
    body.size = bodyReadBytes;
    body.more = true;
    stream.expires_at(deadline);
    auto error = co_await readMessage(stream, buffer, parser, message_part::whole, deadline, meter);
    out.resize(out.size() - body.size);
    if (error == http::error::need_buffer) {
        error = {};
    }
    co_return error;
}

} // namespace hornbeampick
