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
    // Differs for each start of the process, because records are kept in memory only.
    std::uint64_t incarnation = 0;
    // Limit for the records and their stored answers together, in bytes.
    std::size_t maxBytes = 24U << 20U;
};

/// A group member's records of claimed keys: the attempt that may run the request, and the stored answer.
///
/// A key is granted to one owner. Only that owner releases or finishes it, and a released attempt
/// is never granted afterwards, even when its claim arrives late. Thread-safe; one lock per shard.
class claim_store
{
public:
    /// Size in bytes of the largest answer that is stored.
    static constexpr std::size_t maxAnswerBytes = 64U << 10U;

    explicit claim_store(const claim_store_options &options);

    claim_reply handle(const claim_request &request);
    /// Closes the epochs of `region` below `firstOpen`: drops their records and accepts no further requests for them.
    void closeEpochsBefore(const region_name &region, std::uint64_t firstOpen);

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
    claim_reply acquire(records &shardRecords, const claim_request &request);
    claim_reply release(records &shardRecords, const claim_request &request);
    claim_reply finish(records &shardRecords, const claim_request &request);
    [[nodiscard]] static claim_reply replyFor(const record &entry);
    [[nodiscard]] static std::size_t memoryBytesOf(const record_key &key, const record &entry);

    claim_store_options m_options;
    shards<records> m_records;
    std::atomic<std::size_t> m_bytes {0};
    mutable std::mutex m_firstOpenLock;
    std::map<region_name, std::uint64_t> m_firstOpen;
};

} // namespace hornbeampick
