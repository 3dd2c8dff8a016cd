#pragma once

#include "relay/header_codec.h"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hornbeampick
{

/// Adapts the header fields of Boost.Beast.
class beast_header_view final : public header_view
{
public:
    explicit beast_header_view(const boost::beast::http::fields &fields)
        : m_fields(fields)
    {
    }

    [[nodiscard]] std::string_view value(std::string_view name) const override
    {
        const auto found = m_fields.find(name);
        return found == m_fields.end() ? std::string_view() : std::string_view(found->value());
    }

    [[nodiscard]] std::size_t count(std::string_view name) const override
    {
        return m_fields.count(name);
    }

private:
    const boost::beast::http::fields &m_fields;
};

/// Framing of a forwarded body: none, a known length, or chunked.
struct body_framing {
    std::optional<std::uint64_t> length;
    bool chunked = false;
};

/// Returns the head of the request to the upstream. Method, target and end-to-end fields are unchanged; hop-by-hop fields and those
/// between entry hosts are dropped, and the fields of `metadata` replace those that the caller sent. Fields that identify the caller are
/// dropped when `hidesCaller` is true. `moreFields` holds further header lines.
std::string makeUpstreamRequestHead(const boost::beast::http::request_header<> &request, const body_framing &framing, const header_codec &headerCodec,
                                    const upstream_metadata &metadata, bool hidesCaller = false, std::string_view moreFields = {});

/// Returns the head of the upstream's response as it is sent to the caller, without hop-by-hop fields.
std::string makeCallerResponseHead(const boost::beast::http::response_header<> &response, const body_framing &framing, bool keepAlive);

/// Terminates a chunked body.
constexpr std::string_view lastChunk = "0\r\n\r\n";

/// Encodes `payload` as one chunk. It must not be empty, since an empty chunk ends the body.
std::string encodeChunk(std::string_view payload);

/// Returns the idle timeout in the upstream's Keep-Alive field; empty when it states none.
std::optional<seconds> keepAliveTimeout(std::string_view field);

} // namespace hornbeampick
