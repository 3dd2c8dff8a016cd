// Tests what becomes of calls to a replica whose thread ends.

#include "replica/replica_node.h"

#include "fakes/memory_files.h"
#include "storage/replica_file_store.h"

#include <atomic>
#include <catch2/catch.hpp>

using namespace hornbeampick;
using namespace hornbeampick::testing;

namespace
{

class transport_mock final : public replica_transport
{
public:
    void send(const replica_message &) override
    {
    }
    void form(const std::string &, const form_request &, std::function<void(const form_reply &)>) override
    {
    }
};

class listener_mock final : public ledger_listener
{
public:
    void onLedger(const ledger_state &) override
    {
    }
    void onRecordsDamaged(std::error_code) override
    {
    }
    void onStopped(std::error_code) override
    {
    }
    void onRecovered() override
    {
    }
    void onRoleChanged(const replica_view &) override
    {
    }
    void onSlowDisk(milliseconds) override
    {
    }
};

struct node_fixture {
    memory_files files;
    std::unique_ptr<replica_store> store = makeReplicaFileStore(files);
    transport_mock transport;
    listener_mock listener;
    system_clock_source clock;
    seeded_random_source random {7};
    replica_node node {
        {.host = host_name("a"), .address = "a:1", .bootstrap = {{.host = host_name("a"), .address = "a:1"}}}, *store, transport, listener, clock, random};
};

// Calls one node and counts what has been completed.
struct call_counter {
    std::atomic<int> formReplies {0};
    std::atomic<int> submitResults {0};
    std::atomic<errc> lastError {errc::ok};

    void call(replica_node &node)
    {
        node.receiveForm({}, [this](const form_reply &) { ++formReplies; });
        node.submit(barrier_entry {}, [this](const submit_result &verdict) {
            lastError = verdict.error;
            ++submitResults;
        });
    }
};

} // namespace

// Calls that arrived after the replica's thread had ended stayed in its inbox, and their callers waited for ever.
TEST_CASE("replica node: a call that arrives after the end is completed at once, as not accepted", "[replica]")
{
    node_fixture fixture;
    fixture.node.start();
    fixture.node.stop();
    call_counter calls;
    calls.call(fixture.node);
    REQUIRE(calls.formReplies == 1);
    REQUIRE(calls.submitResults == 1);
    REQUIRE(calls.lastError == errc::notLeader);
}

TEST_CASE("replica node: every call that arrives while the node stops is completed once", "[replica]")
{
    for (int round = 0; round < 50; ++round) {
        node_fixture fixture;
        call_counter calls;
        std::atomic<bool> finished {false};
        int made = 0;
        fixture.node.start();
        std::thread caller([&] {
            while (!finished) {
                calls.call(fixture.node);
                ++made;
            }
        });
        fixture.node.stop();
        finished = true;
        caller.join();
        REQUIRE(calls.formReplies == made);
        REQUIRE(calls.submitResults == made);
    }
}

TEST_CASE("replica node: calls to a node that is never started are completed when it ends", "[replica]")
{
    call_counter calls;
    {
        node_fixture fixture;
        calls.call(fixture.node);
        REQUIRE(calls.submitResults == 0);
    }
    REQUIRE(calls.formReplies == 1);
    REQUIRE(calls.submitResults == 1);
    REQUIRE(calls.lastError == errc::notLeader);
}
