#include "upstream_link.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>

namespace hornbeampick
{

namespace
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// An idle connection has nothing to read: bytes there belong to no request, an end means it was closed.
bool isQuiet(upstream_link &link)
{
    if (link.buffer.size() > 0) {
        return false;
    }
    boost::system::error_code error;
    auto &socket = link.stream.socket();
    socket.non_blocking(true, error);
    char byte = 0;
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
}

} // namespace

std::unique_ptr<upstream_link> upstream_links::take(const std::string &address, const instance_name &instance, std::uint64_t incarnation, steady_time now)
{
    const auto found = m_idle.find({.address = address, .instance = instance, .incarnation = incarnation});
    if (found == m_idle.end()) {
        return nullptr;
    }
    auto &links = found->second;
    while (!links.empty()) {
        auto link = std::move(links.back());
        links.pop_back();
        if (now < link->usableUntil && isQuiet(*link)) {
            return link;
        }
    }
    return nullptr;
}

void upstream_links::keep(const std::string &address, const instance_name &instance, std::uint64_t incarnation, std::unique_ptr<upstream_link> link)
{
    link->stream.expires_never();
    m_idle[{.address = address, .instance = instance, .incarnation = incarnation}].push_back(std::move(link));
}

void upstream_links::expire(steady_time now)
{
    for (auto it = m_idle.begin(); it != m_idle.end();) {
        std::erase_if(it->second, [&](const auto &link) { return now >= link->usableUntil; });
        it = it->second.empty() ? m_idle.erase(it) : std::next(it);
    }
}

} // namespace hornbeampick
