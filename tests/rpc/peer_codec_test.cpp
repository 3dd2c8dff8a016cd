// Tests the messages between the daemons of a fleet.

#include "codec/peer_codec.h"

#include <catch2/catch.hpp>

using namespace hornbeampick;

namespace
{

forward_result decodedForward(std::uint32_t status, const std::string &fieldName = "X")
{
    forward_result sent;
    sent.answer.outcome = run_outcome::run;
    sent.answer.status = status;
    sent.answer.headers = {{"X-Other", "o"}, {fieldName, "y"}};
    sent.answer.body = "inside";
    sent.answer.instance = instance_name("u1");
    schema::forward_reply message;
    REQUIRE(message.ParseFromString(encode(sent).SerializeAsString()));
    return decode(message);
}

// Requires that the request may have run and nothing of its response is left.
void requireFailure(const proxied_answer &answer)
{
    REQUIRE_FALSE(answer.isFromUpstream());
    REQUIRE(answer.error == errc::upstreamFailed);
    REQUIRE(answer.outcome == run_outcome::unknown);
    REQUIRE(answer.status == 0);
    REQUIRE(answer.headers.empty());
    REQUIRE(answer.body.empty());
}

std::vector<std::string> invalidFieldNames()
{
    using namespace std::string_literals;
    return {"", " ", "X Note", " X-Note", "X-Note ", "X-Note\t", "X\x01Note", "X\0Note"s, "X\x7fNote", "X-Note:", "X-Note\r\nX-Other", "X-\xc3\xa9"};
}

} // namespace

// Earlier releases take a response with any status from 200 on for an answer, and send it to hosts that forward requests to them.
TEST_CASE("peer codec: a forwarded answer whose status is not final is a failure that may have run", "[invalid][upgrade]")
{
    const auto status = GENERATE(as<std::uint32_t> {}, 0, 99, 100, 101, 199, 600, 999, 100000);
    const auto answer = decodedForward(status).answer;
    CAPTURE(status);
    requireFailure(answer);
    REQUIRE(answer.instance == instance_name("u1"));
}

TEST_CASE("peer codec: a forwarded answer with a final status is passed on, and an error keeps its kind", "[invalid]")
{
    const auto status = GENERATE(as<std::uint32_t> {}, 200, 299, 599);
    const auto answer = decodedForward(status).answer;
    REQUIRE(answer.isFromUpstream());
    REQUIRE(answer.status == status);
    REQUIRE(answer.body == "inside");
    schema::forward_reply message;
    REQUIRE(message.ParseFromString(encode(forward_result {.answer = makeErrorAnswer(errc::upstreamShed, run_outcome::notRun)}).SerializeAsString()));
    REQUIRE(decode(message).answer.error == errc::upstreamShed);
    REQUIRE(decode(message).answer.outcome == run_outcome::notRun);
}

// The claim stays finished, so that the request is not run again, but its answer counts as not kept.
TEST_CASE("peer codec: a stored answer whose status is not final is not kept", "[invalid][upgrade]")
{
    const auto status = GENERATE(as<std::uint32_t> {}, 0, 199, 200, 599, 600);
    const bool isFinal = status == 200 || status == 599;
    const stored_answer stored {.status = status, .headers = {}, .body = "inside"};
    schema::claim_reply reply;
    REQUIRE(reply.ParseFromString(encode(claim_reply {.verdict = claim_verdict::finished, .answer = stored}).SerializeAsString()));
    CAPTURE(status);
    REQUIRE(decode(reply).verdict == claim_verdict::finished);
    REQUIRE(decode(reply).answer.has_value() == isFinal);
    schema::claim_request request;
    REQUIRE(request.ParseFromString(encode(claim_request {.action = claim_action::finish, .answer = stored}).SerializeAsString()));
    REQUIRE(decode(request).action == claim_action::finish);
    REQUIRE(decode(request).answer.has_value() == isFinal);
}

// A name that is no token makes another header of the answer that the caller gets.
TEST_CASE("peer codec: a forwarded answer with an invalid field name is a failure that may have run", "[invalid]")
{
    const auto name = GENERATE(from_range(invalidFieldNames()));
    CAPTURE(name);
    const auto answer = decodedForward(200, name).answer;
    requireFailure(answer);
}

TEST_CASE("peer codec: a stored answer with an invalid field name is not kept", "[invalid]")
{
    const auto name = GENERATE(from_range(invalidFieldNames()));
    CAPTURE(name);
    const stored_answer stored {.status = 200, .headers = {{"X-Other", "o"}, {name, "y"}}, .body = "inside"};
    schema::claim_reply reply;
    REQUIRE(reply.ParseFromString(encode(claim_reply {.verdict = claim_verdict::finished, .answer = stored}).SerializeAsString()));
    REQUIRE(decode(reply).verdict == claim_verdict::finished);
    REQUIRE_FALSE(decode(reply).answer);
    schema::claim_request request;
    REQUIRE(request.ParseFromString(encode(claim_request {.action = claim_action::finish, .answer = stored}).SerializeAsString()));
    REQUIRE(decode(request).action == claim_action::finish);
    REQUIRE_FALSE(decode(request).answer);
}

TEST_CASE("peer codec: every valid field name of an answer is kept", "[invalid]")
{
    const auto name = GENERATE(as<std::string> {}, "X-Note", "x", "9", "!#$%&'*+-.^_`|~");
    CAPTURE(name);
    const auto answer = decodedForward(200, name).answer;
    REQUIRE(answer.isFromUpstream());
    REQUIRE(answer.headers == http_headers {{"X-Other", "o"}, {name, "y"}});
}
