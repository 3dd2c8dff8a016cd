#pragma once

#include "http/message_reader.h"
#include "limits/intake_budget.h"

#include <memory>

namespace hornbeampick
{

/// Charges what is read of a connection's requests to its account. Without an account it limits nothing.
class intake_meter final : public read_meter
{
public:
    /// Sets the account; must be called at most once, before the first request.
    void setAccount(std::unique_ptr<intake_account> account);
    /// Returns null when there is none.
    [[nodiscard]] intake_account *account() const;

    /// Begins a request, of which `received` was already received. Returns false when there is no room for it.
    [[nodiscard]] bool begin(std::string_view received);
    [[nodiscard]] bool onRead(std::string_view bytes) override;
    /// Returns false when the head of the request has too many fields.
    [[nodiscard]] bool mayHave(const boost::beast::http::fields &fields) const;
    /// Adds `bytes` that the process holds for the connection. Returns false, and adds nothing, when there is no room.
    [[nodiscard]] bool add(std::size_t bytes);
    void release(std::size_t bytes);
    /// Records that the caller sent or read `bytes`.
    void onProgress(std::size_t bytes);
    /// Tells whether the process works on the request, so that the caller has nothing to send or read.
    void setServing(bool isServing);

private:
    std::unique_ptr<intake_account> m_account;
    // Number of characters of the empty line at the end of the head that were received in sequence.
    std::size_t m_headEndMatched = 0;
};

} // namespace hornbeampick
