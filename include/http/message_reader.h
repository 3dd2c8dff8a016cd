#pragma once

#include "core/clock.h"
#include "core/http_status.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/fields.hpp>
#include <string_view>

namespace hornbeampick
{

/// How much of a message is read.
enum class message_part {
    header,
    /// The header, if it has not been read yet, and the body.
    whole,
};

/// Returns true when the end of the body of a message is known from its fields. The parser takes a message with a transfer coding that it does not
/// know for one without a body, or with one that lasts until the end of the connection.
[[nodiscard]] bool hasKnownFraming(const boost::beast::http::fields &fields);

/// Returns true when the start line of a parsed header is that of a request, or of a final or an interim response. The parser takes any three digits
/// for a status.
template <typename Parser> [[nodiscard]] bool hasKnownStatus(const Parser &parser)
{
    if constexpr (Parser::is_request::value) {
        return true;
    } else {
        const unsigned status = parser.get().result_int();
        return isFinalStatus(status) || isInterimStatus(status);
    }
}

/// Finds folded fields in a header whose bytes arrive in pieces. The parser joins a line that begins with a blank to the field before, so that a field
/// whose name begins with a blank would be hidden, and the body delimited without it.
class folded_field_finder
{
public:
    /// Returns true when a line of the header, up to the last of `bytes`, begins with a blank. Bytes after the header are ignored.
    [[nodiscard]] bool find(std::string_view bytes);

private:
    enum class place {
        inLine,
        afterReturn,
        lineStart,
        afterReturnOfEmptyLine,
        afterHeader,
    };

    // The place after the bytes seen so far, which begin with the start line.
    place m_place = place::inLine;
};

/// Observes the bytes that are read of a message, and may stop reading.
class read_meter
{
public:
    virtual ~read_meter() = default;
    /// Called with bytes just received. Returns false when they must not be kept.
    [[nodiscard]] virtual bool onRead(std::string_view bytes) = 0;
};

/// Reads a message, or the rest of it, into `parser`. `buffer` needs a maximum size, which a header, a chunk header with its
/// extensions and the trailer fields must fit into.
///
/// The timer of `stream` ends a read that waits, but not reads that always find bytes; `deadline` ends both. The caller sets the timer.
/// Errors: those of the connection and of the parser; `beast::error::timeout` at the deadline; `http::error::buffer_overflow` when the
/// buffer is full; `asio::error::no_buffer_space` when `meter` stops reading; `http::error::bad_status` when a response is neither final nor interim;
/// `http::error::bad_transfer_encoding` when the body cannot be delimited; `http::error::bad_obs_fold` when a field of a response is folded;
/// `http::error::end_of_stream` when the peer closes before the first byte.
template <typename Parser>
boost::asio::awaitable<boost::system::error_code> readMessage(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer, Parser &parser,
                                                              message_part part, steady_time deadline, read_meter *meter = nullptr)
{
    namespace http = boost::beast::http;
    constexpr std::size_t maxReadBytes = 65536;
    const auto lastBytes = [&buffer](std::size_t count) {
        const auto all = static_cast<const char *>(buffer.data().data());
        return std::string_view(all + buffer.size() - count, count);
    };
    std::size_t headerBytes = 0;
    folded_field_finder foldedFields;
    const auto hasFoldedField
        = [&](std::size_t newBytes) { return !Parser::is_request::value && !parser.is_header_done() && foldedFields.find(lastBytes(newBytes)); };
    if (hasFoldedField(buffer.size())) {
        co_return http::error::bad_obs_fold;
    }
    parser.eager(part == message_part::whole);
    while (part == message_part::whole ? !parser.is_done() : !parser.is_header_done()) {
        boost::system::error_code error;
        if (buffer.size() > 0) {
            const auto used = parser.put(buffer.data(), error);
            buffer.consume(used);
            // The parser limits only what it has not consumed yet.
            headerBytes += parser.is_header_done() ? 0 : used;
            if (headerBytes + buffer.size() > buffer.max_size() && !parser.is_header_done()) {
                co_return http::error::header_limit;
            }
            if (parser.is_header_done() && !hasKnownStatus(parser)) {
                co_return http::error::bad_status;
            }
            if (parser.is_header_done() && !hasKnownFraming(parser.get())) {
                co_return http::error::bad_transfer_encoding;
            }
            if (!error) {
                continue;
            }
            if (error != http::error::need_more) {
                co_return error;
            }
        }
        if (std::chrono::steady_clock::now() >= deadline) {
            co_return boost::beast::error::timeout;
        }
        const auto room = boost::beast::read_size(buffer, maxReadBytes);
        if (room == 0) {
            co_return http::error::buffer_overflow;
        }
        const auto [failed, count] = co_await stream.async_read_some(buffer.prepare(room), boost::asio::as_tuple(boost::asio::use_awaitable));
        buffer.commit(count);
        if (meter != nullptr && count > 0 && !meter->onRead(lastBytes(count))) {
            co_return boost::asio::error::no_buffer_space;
        }
        if (hasFoldedField(count)) {
            co_return http::error::bad_obs_fold;
        }
        if (failed == boost::asio::error::eof && parser.got_some()) {
            error = {};
            parser.put_eof(error);
            co_return error;
        }
        if (failed) {
            co_return failed == boost::asio::error::eof ? boost::system::error_code(http::error::end_of_stream) : failed;
        }
    }
    co_return boost::system::error_code();
}

} // namespace hornbeampick
