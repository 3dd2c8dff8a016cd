#pragma once

#include "core/clock.h"
#include "core/shards.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string_view>

namespace hornbeampick
{

/// Connection of a caller, as the intake budget sees it.
class intake_connection
{
public:
    virtual ~intake_connection() = default;
    /// Closes the connection soon. Called from any thread; must not wait.
    virtual void requestClose() = 0;
};

/// Limits of callers on what they hold in one process.
enum class intake_limit {
    /// A request was refused because callers hold all the memory that they may.
    memory,
    /// A connection was refused because callers have as many open as they may.
    connections,
    /// A request was refused because it has too many header fields.
    headerFields,
    /// A connection that made no progress was closed because another limit was reached.
    stalled,
};

/// Returns the name of a limit in metrics and log lines.
[[nodiscard]] std::string_view textOf(intake_limit limit);

/// Receives a notification each time a limit acts. Called from any thread, without a lock.
class intake_listener
{
public:
    virtual ~intake_listener() = default;
    /// `heldBytes` and `connections` are the totals of the process.
    virtual void onLimit(intake_limit limit, std::size_t heldBytes, std::size_t connections) = 0;
};

struct intake_options {
    // Bytes that requests and unread responses of all callers may hold.
    std::size_t bytes = 0;
    // Part of these bytes that only connections that hold at most `smallBytes` may use.
    std::size_t reservedBytes = 0;
    std::size_t smallBytes = 8192;
    // Open connections of all callers.
    std::size_t connections = 0;
    // Header fields of one request.
    std::size_t headerFields = 4096;
    // Time without progress after which a connection may be closed in favour of others.
    milliseconds stallTime {1000};
    // Bytes that a caller has to send or read to make progress. Single bytes would keep a connection open for as long as its sender likes.
    std::size_t paceBytes = 512;
};

class intake_account;

/// Limits the memory and the connections that the callers of one process may hold. While there is room, it limits nothing but the header
/// fields of a request. Thread-safe; must outlive its accounts.
class intake_budget
{
public:
    intake_budget(const intake_options &options, intake_listener &listener);

    /// Opens the account of a new connection. When all connections are in use, returns null and asks those to close that have held most for
    /// longest without progress, so that a later call succeeds.
    [[nodiscard]] std::unique_ptr<intake_account> open(const std::weak_ptr<intake_connection> &connection, steady_time now);

    [[nodiscard]] std::size_t heldBytes() const;
    [[nodiscard]] std::size_t connections() const;

private:
    friend class intake_account;

    // Bytes that a connection without a request counts for when connections are compared.
    static constexpr std::size_t connectionBytes = 4096;

    struct entry {
        std::weak_ptr<intake_connection> connection;
        std::size_t heldBytes = 0;
        steady_time progressAt {};
        // Bytes that the caller sent or read since then.
        std::size_t paceBytes = 0;
        // The process has the whole request and works on it, so that the caller owes nothing.
        bool isServing = false;
        bool isClosing = false;
    };
    using entry_map = std::map<std::uint64_t, entry>;

    // Asks the connections to close, at most `count`, that have held most for longest without progress. With `onlyHolders`, only
    // connections that hold bytes are considered.
    void closeStalled(std::size_t count, bool onlyHolders, steady_time now);
    [[nodiscard]] bool isStalled(const entry &each, steady_time now) const;
    // Adds `bytes` to what a connection holds; `received` of them were sent or read by the caller.
    bool hold(std::uint64_t id, std::size_t bytes, std::size_t received, steady_time now);
    void recordProgress(entry &of, std::size_t bytes, steady_time now) const;
    void close(std::uint64_t id);
    void report(intake_limit limit);

    intake_options m_options;
    intake_listener &m_listener;
    std::atomic<std::uint64_t> m_nextId {1};
    std::atomic<std::size_t> m_heldBytes {0};
    std::atomic<std::size_t> m_connections {0};
    shards<entry_map> m_entries;
};

/// What one connection holds. Its bytes return to the budget when it is destroyed. Not thread-safe.
class intake_account
{
public:
    intake_account(intake_budget &budget, std::uint64_t id);
    ~intake_account();
    intake_account(const intake_account &) = delete;
    intake_account &operator=(const intake_account &) = delete;

    /// Adds `bytes` to what the connection holds, and records progress. Returns false, and adds nothing, when there is no room.
    [[nodiscard]] bool add(std::size_t bytes, steady_time now);
    /// Like `add` for a part of a request's head with this number of line ends. Each line also takes memory for a field.
    [[nodiscard]] bool addHead(std::size_t bytes, std::size_t lines, steady_time now);
    /// Returns false when a request has too many header fields.
    [[nodiscard]] bool mayHaveFields(std::size_t count) const;
    /// Releases `bytes` of what the connection holds.
    void release(std::size_t bytes);
    /// Releases all that the connection holds, before its next request.
    void clear(steady_time now);
    /// Records that the caller sent or read `bytes`.
    void onProgress(std::size_t bytes, steady_time now);
    /// Tells whether the process works on a request of the connection. Such a connection is not closed in favour of others.
    void setServing(bool isServing, steady_time now);

private:
    bool hold(std::size_t bytes, std::size_t received, steady_time now);

    intake_budget &m_budget;
    std::uint64_t m_id;
    std::size_t m_heldBytes = 0;
};

} // namespace hornbeampick
