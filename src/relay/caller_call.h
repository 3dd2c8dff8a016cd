#pragma once

#include "core/clock.h"
#include "core/digest.h"
#include "core/error.h"
#include "rules/routing_table.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <memory>
#include <string>
#include <vector>

namespace hornbeampick
{

/// Bodies up to this size are held in memory, so that a request can be sent again and an answer is whole or not given.
constexpr std::size_t heldBodyBytes = 65536;

/// One request of a caller on its way to an answer.
struct caller_call {
    using parser_type = boost::beast::http::request_parser<boost::beast::http::buffer_body>;

    parser_type parser;
    std::shared_ptr<const route_index> routes;
    const route *matched = nullptr;
    service_name service;
    std::string id;
    std::string object;
    steady_time arrivedAt {};
    // The earlier of what the caller and the operator want.
    steady_time deadline {};
    // The body, or its beginning when the parser is not done.
    std::string body;
    digest content;
    std::vector<instance_name> tried;
    // Attempts whose request reached an upstream.
    std::uint32_t sent = 0;
    // A part of the body that is not held any more has been passed on.
    bool bodyPassedOn = false;
    // An upstream may have run it.
    bool mayHaveRun = false;

    [[nodiscard]] bool bodyIsHeld() const
    {
        return parser.is_done();
    }
    [[nodiscard]] milliseconds remaining(steady_time now) const
    {
        return std::chrono::duration_cast<milliseconds>(deadline - now);
    }
};

/// The service that takes the request with this id, by the weights of its route.
const service_name &chooseService(const route &matched, std::string_view id);

} // namespace hornbeampick
