#pragma once

#include "caller_call.h"
#include "relay/relay_server.h"
#include "upstream_link.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <memory>
#include <optional>
#include <string>

namespace hornbeampick
{

/// The upstream's answer, whole or with the rest of its body still to be read.
struct upstream_answer {
    using parser_type = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    std::unique_ptr<parser_type> parser;
    // The body, or its beginning when the parser is not done.
    std::string body;
    // Set while there is more to read.
    std::unique_ptr<upstream_link> link;

    [[nodiscard]] bool isWhole() const
    {
        return parser->is_done();
    }
    [[nodiscard]] unsigned status() const
    {
        return parser->get().result_int();
    }
};

/// What came of one attempt.
struct attempt_outcome {
    dispatch_end end = dispatch_end::abandoned;
    // Bytes of the request may have reached the upstream, and it did not say that it has not run it.
    bool mayHaveRun = false;
    // The upstream's address takes no connections any more: it died during the attempt.
    bool upstreamDied = false;
    std::optional<load_report> load;
    std::optional<milliseconds> coldFor;
    // Set when the end is `answered` or `failed`.
    std::optional<upstream_answer> answer;
    // The caller's body broke off, or was refused, while it was passed on.
    errc callerFault = errc::ok;
};

/// Sends one request to one upstream and reads the answer. Single-threaded; lives for one attempt.
class upstream_attempt
{
public:
    /// What is passed by reference must outlive the attempt. `callerStream` and `callerBuffer` give the rest of a long body.
    upstream_attempt(const relay_parts &parts, upstream_links &links, boost::beast::tcp_stream &callerStream, boost::beast::flat_buffer &callerBuffer);

    boost::asio::awaitable<attempt_outcome> run(caller_call &call, const dispatch_grant &grant);
    /// Ends the attempt early by closing its connection; the upstream then drops the request.
    void cancel();
    /// Gives a connection back after the last byte of a long answer.
    void keep(std::unique_ptr<upstream_link> link, const upstream_answer::parser_type &parser, const dispatch_grant &grant);

private:
    boost::asio::awaitable<bool> connect(caller_call &call, const dispatch_grant &grant);
    boost::asio::awaitable<bool> sendRequest(caller_call &call, const dispatch_grant &grant, attempt_outcome &outcome);
    boost::asio::awaitable<bool> passBodyOn(caller_call &call, attempt_outcome &outcome);
    boost::asio::awaitable<void> readAnswer(caller_call &call, const dispatch_grant &grant, attempt_outcome &outcome);
    boost::asio::awaitable<bool> readHeldBody(upstream_answer &answer);
    boost::asio::awaitable<bool> isGone(const std::string &address);
    [[nodiscard]] dispatch_end endOf(const boost::system::error_code &error) const;

    relay_parts m_parts;
    upstream_links &m_links;
    boost::beast::tcp_stream &m_callerStream;
    boost::beast::flat_buffer &m_callerBuffer;
    std::unique_ptr<upstream_link> m_link;
    bool m_cancelled = false;
    // The connection cannot carry another request.
    bool m_spoilt = false;
};

} // namespace hornbeampick
