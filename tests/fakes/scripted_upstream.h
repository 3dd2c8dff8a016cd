#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace hornbeampick::testing
{

/// One request as received by an upstream; the head is kept byte for byte.
struct received_request {
    std::string head;
    std::string body;

    /// Returns the value of a header field by its exact name; empty if absent.
    [[nodiscard]] std::string field(const std::string &name) const;
    /// Returns the request line.
    [[nodiscard]] std::string line() const;
};

/// How much of a request an upstream reads before it answers.
enum class request_part {
    whole,
    /// The head; `received_request::body` is what came along with it, with any framing, and the rest is left in the socket.
    head,
};

/// An upstream on a free port of 127.0.0.1 whose answers the test writes byte by byte. Runs one thread per connection.
class scripted_upstream
{
public:
    using socket = boost::asio::ip::tcp::socket;
    /// Writes the answer to one request to the socket; returns false to close the connection. Called on the connection's thread.
    using script = std::function<bool(const received_request &, socket &)>;

    explicit scripted_upstream(script answer, request_part readFirst = request_part::whole);
    ~scripted_upstream();
    scripted_upstream(const scripted_upstream &) = delete;
    scripted_upstream &operator=(const scripted_upstream &) = delete;

    [[nodiscard]] std::string address() const;
    [[nodiscard]] std::size_t requests() const;
    [[nodiscard]] std::size_t connections() const;
    [[nodiscard]] received_request last() const;
    /// Stops accepting connections and shuts down the open ones.
    void close();

    /// Upper bound in bytes of what one peer can write into the buffers of both sockets while the other reads little or nothing.
    static constexpr std::size_t maxUnreadBytes = 16U << 20U;

    /// Writes all of `bytes`.
    static void write(socket &to, const std::string &bytes);
    /// Returns a complete 200 answer to `request` with its Request-Id and a Server-Stamp header; `more` holds further header lines.
    static std::string answer(const received_request &request, const std::string &body, const std::string &more = "");
    /// Writes `head` and then repeats `piece` until the peer closes the connection, for at most 3 s or 256 MB. Waits for `pause` after
    /// each piece; without a pause it writes as fast as the peer reads. Returns the number of bytes written.
    static std::size_t writeEndlessly(socket &to, const std::string &head, const std::string &piece, std::chrono::milliseconds pause = {});
    /// Returns true if the peer closes the connection within `wait`.
    static bool awaitClose(socket &from, std::chrono::milliseconds wait);

private:
    void accept();
    void serve(const std::shared_ptr<socket> &connection);

    script m_answer;
    request_part m_readFirst;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::atomic<bool> m_closed {false};
    mutable std::mutex m_lock;
    // Guarded by m_lock.
    std::vector<std::shared_ptr<socket>> m_sockets;
    std::vector<std::thread> m_threads;
    std::vector<received_request> m_requests;
    std::thread m_acceptThread;
};

} // namespace hornbeampick::testing
