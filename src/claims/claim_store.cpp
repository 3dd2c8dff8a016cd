#include "claims/claim_store.h"

#include <algorithm>

namespace hornbeampick
{

namespace
{

// Approximate heap size of a record without key, answer and released attempts, including its tree node.
constexpr std::size_t recordOverheadBytes = 256;

std::size_t shardOf(std::string_view key)
{
    return stableHash(key);
}

} // namespace

claim_store::claim_store(const claim_store_options &options)
    : m_options(options)
{
}

claim_reply claim_store::handle(const claim_request &request)
{
    if (request.memberIncarnation != m_options.incarnation || isClosed(request.epoch)) {
        return {.verdict = claim_verdict::closed, .owner = {}, .answer = {}};
    }
    return m_records.with(shardOf(request.key), [&](records &shardRecords) -> claim_reply {
        switch (request.action) {
        case claim_action::acquire:
            return acquire(shardRecords, request);
        case claim_action::release:
            return release(shardRecords, request);
        case claim_action::finish:
            return finish(shardRecords, request);
        case claim_action::read:
            break;
        }
        const auto found = shardRecords.find({.epoch = request.epoch, .key = request.key});
        return found == shardRecords.end() ? claim_reply {} : replyFor(found->second);
    });
}

void claim_store::closeEpochsBefore(const region_name &region, std::uint64_t firstOpen)
{
    {
        const std::lock_guard guard(m_firstOpenLock);
        auto &first = m_firstOpen[region];
        if (firstOpen <= first) {
            return;
        }
        first = firstOpen;
    }
    m_records.forEach([&](records &shardRecords) {
        for (auto it = shardRecords.begin(); it != shardRecords.end();) {
            const bool closed = it->first.epoch.region == region && it->first.epoch.number < firstOpen;
            if (closed) {
                m_bytes -= memoryBytesOf(it->first, it->second);
                it = shardRecords.erase(it);
            } else {
                ++it;
            }
        }
    });
}

std::size_t claim_store::size() const
{
    std::size_t total = 0;
    m_records.forEach([&](const records &shardRecords) { total += shardRecords.size(); });
    return total;
}

bool claim_store::isClosed(const epoch_id &epoch) const
{
    if (!epoch.region) {
        return false;
    }
    const std::lock_guard guard(m_firstOpenLock);
    const auto found = m_firstOpen.find(*epoch.region);
    return found != m_firstOpen.end() && epoch.number < found->second;
}

claim_reply claim_store::acquire(records &shardRecords, const claim_request &request)
{
    const record_key key {.epoch = request.epoch, .key = request.key};
    auto found = shardRecords.find(key);
    if (found == shardRecords.end()) {
        if (m_bytes >= m_options.maxBytes) {
            // The memory limit is reached: the claimant needs its majority from the other members.
            return {.verdict = claim_verdict::closed, .owner = {}, .answer = {}};
        }
        found = shardRecords.emplace(key, record {.content = request.content, .owner = {}, .finished = false, .answer = {}, .released = {}}).first;
        m_bytes += memoryBytesOf(key, found->second);
    }
    auto &entry = found->second;
    if (!entry.owner && !entry.finished) {
        if (std::ranges::find(entry.released, request.owner) != entry.released.end()) {
            return {.verdict = claim_verdict::absent, .owner = {}, .answer = {}};
        }
        entry.content = request.content;
        entry.owner = request.owner;
    }
    if (entry.content != request.content) {
        return {.verdict = claim_verdict::mismatch, .owner = entry.owner.value_or(claim_owner {}), .answer = {}};
    }
    if (!entry.finished && entry.owner == request.owner) {
        return {.verdict = claim_verdict::granted, .owner = request.owner, .answer = {}};
    }
    return replyFor(entry);
}

claim_reply claim_store::release(records &shardRecords, const claim_request &request)
{
    const record_key key {.epoch = request.epoch, .key = request.key};
    auto &entry = shardRecords[key];
    const std::size_t before = entry.released.empty() && !entry.owner && !entry.finished ? 0 : memoryBytesOf(key, entry);
    if (!entry.finished && entry.owner == request.owner) {
        entry.owner.reset();
    }
    if (std::ranges::find(entry.released, request.owner) == entry.released.end()) {
        entry.released.push_back(request.owner);
    }
    m_bytes += memoryBytesOf(key, entry) - before;
    return {.verdict = claim_verdict::absent, .owner = {}, .answer = {}};
}

claim_reply claim_store::finish(records &shardRecords, const claim_request &request)
{
    const record_key key {.epoch = request.epoch, .key = request.key};
    auto &entry = shardRecords[key];
    const bool isNew = !entry.owner && !entry.finished && entry.released.empty();
    const std::size_t before = isNew ? 0 : memoryBytesOf(key, entry);
    // Only an owner with a majority finishes a key, so a member that missed the claim accepts the owner from this request.
    entry.owner = request.owner;
    entry.content = request.content;
    entry.finished = true;
    entry.answer = request.answer;
    m_bytes += memoryBytesOf(key, entry) - before;
    return replyFor(entry);
}

claim_reply claim_store::replyFor(const record &entry)
{
    if (entry.finished) {
        return {.verdict = claim_verdict::finished, .owner = entry.owner.value_or(claim_owner {}), .answer = entry.answer};
    }
    if (entry.owner) {
        return {.verdict = claim_verdict::held, .owner = *entry.owner, .answer = {}};
    }
    return {};
}

std::size_t claim_store::memoryBytesOf(const record_key &key, const record &entry)
{
    const std::size_t answer = entry.answer ? entry.answer->bytes() : 0;
    return recordOverheadBytes + key.key.size() + answer + entry.released.size() * sizeof(claim_owner);
}

} // namespace hornbeampick
