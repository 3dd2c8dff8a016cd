#pragma once

#include "claims/claim_types.h"
#include "core/clock.h"
#include "core/shards.h"

#include <atomic>
#include <map>
#include <mutex>
#include <unordered_map>

namespace hornbeampick
{

struct claim_store_options {
    // Changes with each start of the process: records live in memory only.
    std::uint64_t incarnation = 0;
    // Records and kept answers together.
    std::size_t bytesMaximum = 24U << 20U;
};

/// A member's records of claimed keys: who may run a request, and what it answered.
///
/// A key is granted to one owner; only that owner releases or finishes it, and an attempt that was
/// released can never be granted late. Thread-safe, a lock a shard.
class claim_store
{
public:
    /// Largest answer that is kept.
    static constexpr std::size_t answerBytesMaximum = 64U << 10U;

    explicit claim_store(const claim_store_options &options);

    claim_reply handle(const claim_request &request);
    /// Epochs of `region` below `firstOpen` are closed: their records are dropped and never made again.
    void closeBefore(const region_name &region, std::uint64_t firstOpen);

    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::size_t bytes() const
    {
        return m_bytes.load(std::memory_order_relaxed);
    }

private:
    struct record {
        digest content;
        std::optional<claim_owner> owner;
        bool finished = false;
        std::optional<stored_answer> answer;
        std::vector<claim_owner> released;
    };
    struct record_key {
        epoch_id epoch;
        std::string key;

        auto operator<=>(const record_key &) const = default;
    };
    using records = std::map<record_key, record>;

    [[nodiscard]] bool isClosed(const epoch_id &epoch) const;
    claim_reply acquire(records &all, const claim_request &request);
    claim_reply release(records &all, const claim_request &request);
    claim_reply finish(records &all, const claim_request &request);
    [[nodiscard]] static claim_reply describe(const record &known);
    [[nodiscard]] static std::size_t costOf(const record_key &key, const record &known);

    claim_store_options m_options;
    shards<records> m_records;
    std::atomic<std::size_t> m_bytes {0};
    mutable std::mutex m_closedLock;
    std::map<region_name, std::uint64_t> m_firstOpen;
};

} // namespace hornbeampick
