#pragma once

#include "relay/message_dialect.h"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hornbeampick
{

/// Header fields as the HTTP library holds them.
class beast_header final : public header_view
{
public:
    explicit beast_header(const boost::beast::http::fields &fields)
        : m_fields(fields)
    {
    }

    [[nodiscard]] std::string_view value(std::string_view name) const override
    {
        const auto found = m_fields.find(name);
        return found == m_fields.end() ? std::string_view() : std::string_view(found->value());
    }

private:
    const boost::beast::http::fields &m_fields;
};

/// How a body goes out: nothing at all, a known length, or in chunks.
struct body_framing {
    std::optional<std::uint64_t> length;
    bool chunked = false;
};

/// Head of the request for the upstream: method, target and fields unchanged, but for those of one connection.
std::string upstreamHead(const boost::beast::http::request_header<> &request, const body_framing &framing, const message_dialect &dialect,
                         const upstream_note &note);

/// Head of the upstream's answer for the caller.
std::string callerHead(const boost::beast::http::response_header<> &answer, const body_framing &framing, bool keepAlive);

/// Ends a body in chunks.
constexpr std::string_view lastChunk = "0\r\n\r\n";

/// One chunk of a body; `piece` must not be empty, since that would end the body.
std::string chunkOf(std::string_view piece);

/// How long an idle connection may still be used, by the upstream's Keep-Alive field; empty when it says nothing.
std::optional<seconds> keepAliveTimeout(std::string_view field);

} // namespace hornbeampick
