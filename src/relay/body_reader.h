#pragma once

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <string>

namespace hornbeampick
{

/// Maximum number of body bytes read in one call.
constexpr std::size_t bodyReadBytes = 16384;

/// Reads the next part of a body, at most `bodyReadBytes`, and appends it to `out`. The parser is done once the body has ended.
/// Errors: those of the connection and of the parser.
template <typename Parser>
boost::asio::awaitable<boost::system::error_code> readSomeBody(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer, Parser &parser,
                                                               std::string &out)
{
    namespace http = boost::beast::http;
    const auto sizeBefore = out.size();
    out.resize(sizeBefore + bodyReadBytes);
    auto &body = parser.get().body();
    body.data = out.data() + sizeBefore;
    body.size = bodyReadBytes;
    body.more = true;
    auto [error, count] = co_await http::async_read(stream, buffer, parser, boost::asio::as_tuple(boost::asio::use_awaitable));
    out.resize(out.size() - body.size);
    if (error == http::error::need_buffer) {
        error = {};
    }
    co_return error;
}

} // namespace hornbeampick
