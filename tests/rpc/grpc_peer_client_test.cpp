#include "rpc/peer_client.h"

#include <catch2/catch.hpp>
#include <condition_variable>
#include <mutex>
#include <optional>

using namespace hornbeampick;

namespace
{

// Hands the result of a callback to the waiting test thread.
class result_slot
{
public:
    void put(std::error_code answer)
    {
        const std::lock_guard guard(m_lock);
        m_answer = answer;
        m_condition.notify_all();
    }

    std::error_code take()
    {
        std::unique_lock guard(m_lock);
        m_condition.wait(guard, [&] { return m_answer.has_value(); });
        return *std::exchange(m_answer, std::nullopt);
    }

private:
    std::mutex m_lock;
    std::condition_variable m_condition;
    std::optional<std::error_code> m_answer;
};

} // namespace

// A callback that outlives its client would release the last reference to gRPC's completion queue on one of the queue's own threads,
// which aborts the process.
TEST_CASE("grpc_peer_client: a client is destroyed as soon as its last answer has come", "[faults]")
{
    constexpr int rounds = 2000;
    const std::string closedPort = "127.0.0.1:1";
    for (int round = 0; round < rounds; ++round) {
        const auto slot = std::make_shared<result_slot>();
        const auto peers = makeGrpcPeerClient({.certificate = {}, .key = {}, .authority = {}, .plainText = true}, nullptr);
        peers->status(closedPort, milliseconds(2000), [slot](const result<host_status> &reply) { slot->put(reply.error()); });
        CHECK(slot->take() == errc::unreachable);
    }
}

TEST_CASE("grpc_peer_client: a client destroyed with a call under way answers it first", "[faults]")
{
    const std::string closedPort = "127.0.0.1:1";
    auto peers = makeGrpcPeerClient({.certificate = {}, .key = {}, .authority = {}, .plainText = true}, nullptr);
    bool answered = false;
    peers->status(closedPort, milliseconds(60'000), [&answered](const result<host_status> &) { answered = true; });
    peers.reset();
    CHECK(answered);
}
