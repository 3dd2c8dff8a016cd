#include "http/intake_meter.h"

#include <iterator>

namespace hornbeampick
{

namespace
{

constexpr std::string_view headEnd = "\r\n\r\n";

steady_time now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

void intake_meter::setAccount(std::unique_ptr<intake_account> account)
{
    m_account = std::move(account);
}

intake_account *intake_meter::account() const
{
    return m_account.get();
}

bool intake_meter::begin(std::string_view received)
{
    if (!m_account) {
        return true;
    }
    m_account->clear(now());
    m_headEndMatched = 0;
    return received.empty() || onRead(received);
}

bool intake_meter::onRead(std::string_view bytes)
{
    if (!m_account) {
        return true;
    }
    std::size_t lines = 0;
    for (auto at = bytes.begin(); at != bytes.end() && m_headEndMatched < headEnd.size(); ++at) {
        lines += *at == '\n' ? 1 : 0;
        if (*at == headEnd[m_headEndMatched]) {
            ++m_headEndMatched;
        } else {
            m_headEndMatched = *at == headEnd.front() ? 1 : 0;
        }
    }
    return m_account->addHead(bytes.size(), lines, now());
}

bool intake_meter::mayHave(const boost::beast::http::fields &fields) const
{
    return !m_account || m_account->mayHaveFields(static_cast<std::size_t>(std::distance(fields.begin(), fields.end())));
}

bool intake_meter::add(std::size_t bytes)
{
    return !m_account || m_account->add(bytes, now());
}

void intake_meter::release(std::size_t bytes)
{
    if (m_account) {
        m_account->release(bytes);
    }
}

void intake_meter::onProgress(std::size_t bytes)
{
    if (m_account) {
        m_account->onProgress(bytes, now());
    }
}

void intake_meter::setServing(bool isServing)
{
    if (m_account) {
        m_account->setServing(isServing, now());
    }
}

} // namespace hornbeampick
