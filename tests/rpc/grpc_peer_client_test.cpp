#include "rpc/peer_client.h"

#include <catch2/catch.hpp>
#include <condition_variable>
#include <mutex>
#include <optional>

using namespace hornbeampick;

namespace
{

// One answer that a callback brings and a test waits for.
class answer_box
{
public:
    void put(std::error_code answer)
    {
        const std::lock_guard guard(m_lock);
        m_answer = answer;
        m_wake.notify_all();
    }

    std::error_code take()
    {
        std::unique_lock guard(m_lock);
        m_wake.wait(guard, [&] { return m_answer.has_value(); });
        return *std::exchange(m_answer, std::nullopt);
    }

private:
    std::mutex m_lock;
    std::condition_variable m_wake;
    std::optional<std::error_code> m_answer;
};

} // namespace

// A callback that outlived its client freed the library's queue from one of the queue's own threads: the process ended in an abort.
TEST_CASE("grpc_peer_client: a client is destroyed as soon as its last answer has come", "[faults]")
{
    constexpr int rounds = 2000;
    const std::string nobody = "127.0.0.1:1";
    for (int round = 0; round < rounds; ++round) {
        const auto answers = std::make_shared<answer_box>();
        const auto peers = makeGrpcPeerClient({.certificate = {}, .key = {}, .authority = {}, .plainText = true}, nullptr);
        peers->status(nobody, milliseconds(2000), [answers](const result<host_status> &reply) { answers->put(reply.error()); });
        CHECK(answers->take() == errc::unreachable);
    }
}

TEST_CASE("grpc_peer_client: a client destroyed with a call under way answers it first", "[faults]")
{
    const std::string nobody = "127.0.0.1:1";
    auto peers = makeGrpcPeerClient({.certificate = {}, .key = {}, .authority = {}, .plainText = true}, nullptr);
    bool answered = false;
    peers->status(nobody, milliseconds(60'000), [&answered](const result<host_status> &) { answered = true; });
    peers.reset();
    CHECK(answered);
}
