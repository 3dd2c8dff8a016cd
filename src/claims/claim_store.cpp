#include "claims/claim_store.h"

#include <algorithm>

namespace hornbeampick
{

namespace
{

// Rough heap cost of an empty record in its tree.
constexpr std::size_t recordBytes = 256;

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
    return m_records.with(shardOf(request.key), [&](records &all) -> claim_reply {
        switch (request.action) {
        case claim_action::acquire:
            return acquire(all, request);
        case claim_action::release:
            return release(all, request);
        case claim_action::finish:
            return finish(all, request);
        case claim_action::read:
            break;
        }
        const auto found = all.find({.epoch = request.epoch, .key = request.key});
        return found == all.end() ? claim_reply {} : describe(found->second);
    });
}

void claim_store::closeBefore(const region_name &region, std::uint64_t firstOpen)
{
    {
        const std::lock_guard guard(m_closedLock);
        auto &first = m_firstOpen[region];
        if (firstOpen <= first) {
            return;
        }
        first = firstOpen;
    }
    m_records.each([&](records &all) {
        for (auto it = all.begin(); it != all.end();) {
            const bool closed = it->first.epoch.region == region && it->first.epoch.number < firstOpen;
            if (closed) {
                m_bytes -= costOf(it->first, it->second);
                it = all.erase(it);
            } else {
                ++it;
            }
        }
    });
}

std::size_t claim_store::size() const
{
    std::size_t total = 0;
    m_records.each([&](const records &all) { total += all.size(); });
    return total;
}

bool claim_store::isClosed(const epoch_id &epoch) const
{
    if (!epoch.region) {
        return false;
    }
    const std::lock_guard guard(m_closedLock);
    const auto found = m_firstOpen.find(*epoch.region);
    return found != m_firstOpen.end() && epoch.number < found->second;
}

claim_reply claim_store::acquire(records &all, const claim_request &request)
{
    const record_key key {.epoch = request.epoch, .key = request.key};
    auto found = all.find(key);
    if (found == all.end()) {
        if (m_bytes >= m_options.bytesMaximum) {
            // No room to remember: the claimant must look for its majority elsewhere.
            return {.verdict = claim_verdict::closed, .owner = {}, .answer = {}};
        }
        found = all.emplace(key, record {.content = request.content, .owner = {}, .finished = false, .answer = {}, .released = {}}).first;
        m_bytes += costOf(key, found->second);
    }
    auto &known = found->second;
    if (!known.owner && !known.finished) {
        if (std::ranges::find(known.released, request.owner) != known.released.end()) {
            return {.verdict = claim_verdict::absent, .owner = {}, .answer = {}};
        }
        known.content = request.content;
        known.owner = request.owner;
    }
    if (known.content != request.content) {
        return {.verdict = claim_verdict::mismatch, .owner = known.owner.value_or(claim_owner {}), .answer = {}};
    }
    if (!known.finished && known.owner == request.owner) {
        return {.verdict = claim_verdict::granted, .owner = request.owner, .answer = {}};
    }
    return describe(known);
}

claim_reply claim_store::release(records &all, const claim_request &request)
{
    const record_key key {.epoch = request.epoch, .key = request.key};
    auto &known = all[key];
    const std::size_t before = known.released.empty() && !known.owner && !known.finished ? 0 : costOf(key, known);
    if (!known.finished && known.owner == request.owner) {
        known.owner.reset();
    }
    if (std::ranges::find(known.released, request.owner) == known.released.end()) {
        known.released.push_back(request.owner);
    }
    m_bytes += costOf(key, known) - before;
    return {.verdict = claim_verdict::absent, .owner = {}, .answer = {}};
}

claim_reply claim_store::finish(records &all, const claim_request &request)
{
    const record_key key {.epoch = request.epoch, .key = request.key};
    auto &known = all[key];
    const bool isNew = !known.owner && !known.finished && known.released.empty();
    const std::size_t before = isNew ? 0 : costOf(key, known);
    // Only the owner of a majority finishes; a member that missed the claim learns of it here.
    known.owner = request.owner;
    known.content = request.content;
    known.finished = true;
    known.answer = request.answer;
    m_bytes += costOf(key, known) - before;
    return describe(known);
}

claim_reply claim_store::describe(const record &known)
{
    if (known.finished) {
        return {.verdict = claim_verdict::finished, .owner = known.owner.value_or(claim_owner {}), .answer = known.answer};
    }
    if (known.owner) {
        return {.verdict = claim_verdict::held, .owner = *known.owner, .answer = {}};
    }
    return {};
}

std::size_t claim_store::costOf(const record_key &key, const record &known)
{
    const std::size_t answer = known.answer ? known.answer->bytes() : 0;
    return recordBytes + key.key.size() + answer + known.released.size() * sizeof(claim_owner);
}

} // namespace hornbeampick
