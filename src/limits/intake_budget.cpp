#include "limits/intake_budget.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace hornbeampick
{

namespace
{

// Memory of a parsed header field beyond its text: two list nodes, a tree node and two strings, each with the overhead of the allocator.
constexpr std::size_t fieldBytes = 192;
// Part of all connections that are closed at once when there is no room for a new one. One at a time lets new callers wait for long
// behind a large number of stalled ones.
constexpr std::size_t closedShare = 32;

} // namespace

std::string_view textOf(intake_limit limit)
{
    switch (limit) {
    case intake_limit::memory:
        return "memory";
    case intake_limit::connections:
        return "connections";
    case intake_limit::headerFields:
        return "header-fields";
    case intake_limit::stalled:
        return "stalled";
    }
    return "unknown";
}

intake_budget::intake_budget(const intake_options &options, intake_listener &listener)
    : m_options(options)
    , m_listener(listener)
{
}

std::unique_ptr<intake_account> intake_budget::open(const std::weak_ptr<intake_connection> &connection, steady_time now)
{
    // A connection that was asked to close counts until it has closed, so that the limit holds at all times.
    std::size_t open = m_connections;
    do {
        if (open >= m_options.connections) {
            closeStalled(m_options.connections / closedShare + 1, false, now);
            report(intake_limit::connections);
            return nullptr;
        }
    } while (!m_connections.compare_exchange_weak(open, open + 1));
    const auto id = m_nextId++;
    m_entries.with(id, [&](entry_map &entries) { entries.emplace(id, entry {.connection = connection, .progressAt = now}); });
    return std::make_unique<intake_account>(*this, id);
}

std::size_t intake_budget::heldBytes() const
{
    return m_heldBytes;
}

std::size_t intake_budget::connections() const
{
    return m_connections;
}

bool intake_budget::isStalled(const entry &each, steady_time now) const
{
    return !each.isServing && !each.isClosing && now - each.progressAt >= m_options.stallTime;
}

void intake_budget::closeStalled(std::size_t count, bool onlyHolders, steady_time now)
{
    struct candidate {
        double weight = 0;
        std::uint64_t id = 0;
    };
    std::vector<candidate> candidates;
    m_entries.forEach([&](const entry_map &entries) {
        for (const auto &[id, each] : entries) {
            if (isStalled(each, now) && (!onlyHolders || each.heldBytes > 0)) {
                const auto stalled = std::chrono::duration<double>(now - each.progressAt).count();
                candidates.push_back({.weight = stalled * static_cast<double>(each.heldBytes + connectionBytes), .id = id});
            }
        }
    });
    const auto chosen = std::min(count, candidates.size());
    std::ranges::partial_sort(candidates, candidates.begin() + static_cast<std::ptrdiff_t>(chosen), std::ranges::greater(), &candidate::weight);
    candidates.resize(chosen);
    for (const auto &each : candidates) {
        // Destroyed outside the lock: the last reference closes the account.
        const auto connection = m_entries.with(each.id, [&](entry_map &entries) -> std::shared_ptr<intake_connection> {
            const auto found = entries.find(each.id);
            // It may have gone on or closed meanwhile.
            if (found == entries.end() || !isStalled(found->second, now)) {
                return nullptr;
            }
            found->second.isClosing = true;
            return found->second.connection.lock();
        });
        if (connection) {
            connection->requestClose();
            report(intake_limit::stalled);
        }
    }
}

bool intake_budget::hold(std::uint64_t id, std::size_t bytes, std::size_t received, steady_time now)
{
    const auto heldBefore = m_entries.with(id, [&](entry_map &entries) {
        auto &found = entries.at(id);
        if (found.heldBytes == 0) {
            // A request begins, before which the connection may have been idle.
            found.progressAt = now;
        }
        recordProgress(found, received, now);
        return found.heldBytes;
    });
    const bool isSmall = heldBefore + bytes <= m_options.smallBytes;
    const auto allowed = isSmall ? m_options.bytes : m_options.bytes - std::min(m_options.bytes, m_options.reservedBytes);
    std::size_t total = m_heldBytes;
    do {
        if (total + bytes > allowed) {
            closeStalled(1, true, now);
            report(intake_limit::memory);
            return false;
        }
    } while (!m_heldBytes.compare_exchange_weak(total, total + bytes));
    m_entries.with(id, [&](entry_map &entries) { entries.at(id).heldBytes += bytes; });
    return true;
}

void intake_budget::recordProgress(entry &of, std::size_t bytes, steady_time now) const
{
    of.paceBytes += bytes;
    if (of.paceBytes >= m_options.paceBytes) {
        of.paceBytes = 0;
        of.progressAt = now;
    }
}

void intake_budget::close(std::uint64_t id)
{
    const auto held = m_entries.with(id, [&](entry_map &entries) {
        const auto found = entries.find(id);
        const auto bytes = found->second.heldBytes;
        entries.erase(found);
        return bytes;
    });
    m_heldBytes -= held;
    --m_connections;
}

void intake_budget::report(intake_limit limit)
{
    m_listener.onLimit(limit, m_heldBytes, m_connections);
}

intake_account::intake_account(intake_budget &budget, std::uint64_t id)
    : m_budget(budget)
    , m_id(id)
{
}

intake_account::~intake_account()
{
    m_budget.close(m_id);
}

bool intake_account::add(std::size_t bytes, steady_time now)
{
    return hold(bytes, bytes, now);
}

bool intake_account::addHead(std::size_t bytes, std::size_t lines, steady_time now)
{
    return hold(bytes + lines * fieldBytes, bytes, now);
}

bool intake_account::hold(std::size_t bytes, std::size_t received, steady_time now)
{
    if (!m_budget.hold(m_id, bytes, received, now)) {
        return false;
    }
    m_heldBytes += bytes;
    return true;
}

bool intake_account::mayHaveFields(std::size_t count) const
{
    const bool isAllowed = count <= m_budget.m_options.headerFields;
    if (!isAllowed) {
        m_budget.report(intake_limit::headerFields);
    }
    return isAllowed;
}

void intake_account::release(std::size_t bytes)
{
    const auto released = std::min(bytes, m_heldBytes);
    m_heldBytes -= released;
    m_budget.m_entries.with(m_id, [&](intake_budget::entry_map &entries) { entries.at(m_id).heldBytes -= released; });
    m_budget.m_heldBytes -= released;
}

void intake_account::clear(steady_time now)
{
    release(m_heldBytes);
    setServing(false, now);
}

void intake_account::onProgress(std::size_t bytes, steady_time now)
{
    m_budget.m_entries.with(m_id, [&](intake_budget::entry_map &entries) { m_budget.recordProgress(entries.at(m_id), bytes, now); });
}

void intake_account::setServing(bool isServing, steady_time now)
{
    m_budget.m_entries.with(m_id, [&](intake_budget::entry_map &entries) {
        auto &own = entries.at(m_id);
        own.isServing = isServing;
        own.progressAt = now;
        own.paceBytes = 0;
    });
}

} // namespace hornbeampick
