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

/// Bytes of a body that are read at once.
constexpr std::size_t bodyPieceBytes = 16384;

/// Appends some more of a body to `out`, at most one piece; the parser is done after the last one.
/// Errors: those of the connection and of the parser.
template <typename Parser>
boost::asio::awaitable<boost::system::error_code> readPiece(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer, Parser &parser,
                                                            std::string &out)
{
    namespace http = boost::beast::http;
    const auto before = out.size();
    out.resize(before + bodyPieceBytes);
    auto &body = parser.get().body();
    body.data = out.data() + before;
    body.size = bodyPieceBytes;
    body.more = true;
    auto [error, count] = co_await http::async_read(stream, buffer, parser, boost::asio::as_tuple(boost::asio::use_awaitable));
    out.resize(out.size() - body.size);
    if (error == http::error::need_buffer) {
        error = {};
    }
    co_return error;
}

} // namespace hornbeampick
