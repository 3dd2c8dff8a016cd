#include "fakes/scripted_upstream.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <poll.h>

namespace hornbeampick::testing
{

namespace
{

namespace asio = boost::asio;
using boost::system::error_code;

constexpr std::chrono::seconds endlessTime {3};
constexpr std::size_t endlessBytes = 256U << 20U;
constexpr std::size_t endlessBlockBytes = 65536;

// Reads until `buffer` holds at least `wanted` bytes. Returns false if the connection ends first.
bool readAtLeast(scripted_upstream::socket &from, std::string &buffer, std::size_t wanted)
{
    std::array<char, 8192> piece {};
    while (buffer.size() < wanted) {
        error_code error;
        const auto count = from.read_some(asio::buffer(piece), error);
        if (error) {
            return false;
        }
        buffer.append(piece.data(), count);
    }
    return true;
}

bool readUntil(scripted_upstream::socket &from, std::string &buffer, const std::string &delimiter, std::size_t start)
{
    while (buffer.find(delimiter, start) == std::string::npos) {
        if (!readAtLeast(from, buffer, buffer.size() + 1)) {
            return false;
        }
    }
    return true;
}

// Reads one request, or `part` of it, and removes it from the front of `buffer`. Returns false if the connection ends first.
bool readRequest(scripted_upstream::socket &from, std::string &buffer, received_request &request, request_part part)
{
    if (!readUntil(from, buffer, "\r\n\r\n", 0)) {
        return false;
    }
    const auto end = buffer.find("\r\n\r\n") + 4;
    request.head = buffer.substr(0, end);
    buffer.erase(0, end);
    request.body.clear();
    if (part == request_part::head) {
        request.body.swap(buffer);
        return true;
    }
    if (request.field("Transfer-Encoding") == "chunked") {
        while (true) {
            if (!readUntil(from, buffer, "\r\n", 0)) {
                return false;
            }
            const auto size = std::stoul(buffer, nullptr, 16);
            buffer.erase(0, buffer.find("\r\n") + 2);
            if (!readAtLeast(from, buffer, size + 2)) {
                return false;
            }
            request.body += buffer.substr(0, size);
            buffer.erase(0, size + 2);
            if (size == 0) {
                return true;
            }
        }
    }
    const auto length = request.field("Content-Length");
    const std::size_t wanted = length.empty() ? 0 : std::stoul(length);
    if (!readAtLeast(from, buffer, wanted)) {
        return false;
    }
    request.body = buffer.substr(0, wanted);
    buffer.erase(0, wanted);
    return true;
}

} // namespace

std::string received_request::field(const std::string &name) const
{
    const auto at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos) {
        return {};
    }
    const auto start = at + name.size() + 4;
    return head.substr(start, head.find("\r\n", start) - start);
}

std::string received_request::line() const
{
    return head.substr(0, head.find("\r\n"));
}

scripted_upstream::scripted_upstream(script answer, request_part readFirst)
    : m_answer(std::move(answer))
    , m_readFirst(readFirst)
    , m_acceptor(m_context, {asio::ip::address_v4::loopback(), 0})
    , m_acceptThread([this] { accept(); })
{
}

scripted_upstream::~scripted_upstream()
{
    close();
    std::vector<std::thread> threads;
    {
        const std::lock_guard guard(m_lock);
        threads.swap(m_threads);
    }
    for (auto &thread : threads) {
        thread.join();
    }
}

std::string scripted_upstream::address() const
{
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
}

std::size_t scripted_upstream::requests() const
{
    const std::lock_guard guard(m_lock);
    return m_requests.size();
}

std::size_t scripted_upstream::connections() const
{
    const std::lock_guard guard(m_lock);
    return m_sockets.size();
}

received_request scripted_upstream::last() const
{
    const std::lock_guard guard(m_lock);
    return m_requests.empty() ? received_request {} : m_requests.back();
}

void scripted_upstream::close()
{
    if (m_closed.exchange(true)) {
        return;
    }
    ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
    m_acceptThread.join();
    error_code ignored;
    m_acceptor.close(ignored);
    const std::lock_guard guard(m_lock);
    for (const auto &each : m_sockets) {
        each->shutdown(socket::shutdown_both, ignored);
    }
}

void scripted_upstream::accept()
{
    while (!m_closed) {
        error_code error;
        auto connection = std::make_shared<socket>(m_context);
        m_acceptor.accept(*connection, error);
        if (error || m_closed) {
            return;
        }
        const std::lock_guard guard(m_lock);
        m_sockets.push_back(connection);
        m_threads.emplace_back([this, connection] { serve(connection); });
    }
}

void scripted_upstream::serve(const std::shared_ptr<socket> &connection)
{
    std::string buffer;
    received_request request;
    bool open = true;
    while (open && readRequest(*connection, buffer, request, m_readFirst)) {
        {
            const std::lock_guard guard(m_lock);
            m_requests.push_back(request);
        }
        open = m_answer(request, *connection);
    }
    error_code ignored;
    connection->shutdown(socket::shutdown_both, ignored);
    connection->close(ignored);
}

void scripted_upstream::write(socket &to, const std::string &bytes)
{
    error_code ignored;
    asio::write(to, asio::buffer(bytes), ignored);
}

std::string scripted_upstream::answer(const received_request &request, const std::string &body, const std::string &more)
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + request.field("Request-Id") + "\r\nServer-Stamp: mark\r\n" + more
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::size_t scripted_upstream::writeEndlessly(socket &to, const std::string &head, const std::string &piece, std::chrono::milliseconds pause)
{
    const auto end = std::chrono::steady_clock::now() + endlessTime;
    std::string block;
    const std::size_t blockBytes = pause.count() > 0 ? piece.size() : endlessBlockBytes;
    while (block.size() < blockBytes) {
        block += piece;
    }
    error_code error;
    std::size_t written = asio::write(to, asio::buffer(head), error);
    while (!error && written < endlessBytes && std::chrono::steady_clock::now() < end) {
        written += asio::write(to, asio::buffer(block), error);
        std::this_thread::sleep_for(pause);
    }
    if (!error) {
        awaitClose(to, std::chrono::duration_cast<std::chrono::milliseconds>(end - std::chrono::steady_clock::now()));
    }
    return written;
}

bool scripted_upstream::awaitClose(socket &from, std::chrono::milliseconds wait)
{
    pollfd ready {.fd = from.native_handle(), .events = POLLIN, .revents = 0};
    if (::poll(&ready, 1, static_cast<int>(wait.count())) <= 0) {
        return false;
    }
    std::array<char, 1> byte {};
    error_code error;
    from.read_some(asio::buffer(byte), error);
    return static_cast<bool>(error);
}

} // namespace hornbeampick::testing
