#pragma once

#include "core/clock.h"
#include "steering/dispatcher.h"

#include <optional>
#include <string>
#include <string_view>

namespace hornbeampick
{

/// The header fields of one message.
class header_view
{
public:
    virtual ~header_view() = default;
    /// The first value of a field, by name in any case; empty when absent.
    [[nodiscard]] virtual std::string_view value(std::string_view name) const = 0;
};

/// What a request says beyond HTTP itself. Views refer to the message.
struct call_head {
    // Of this attempt of the caller; empty when it names none.
    std::string_view id;
    // How long the caller waits for the answer.
    std::optional<milliseconds> timeLimit;
    // The object that the request is about; empty when it names none.
    std::string_view object;
};

/// What an upstream's answer says beyond HTTP itself. Views refer to the message.
struct answer_head {
    // Of the request that it answers.
    std::string_view id;
    // The upstream says that the request has not run.
    bool notRun = false;
    // The upstream's mark is there, without which an answer is not its own.
    bool isMarked = false;
    std::optional<load_report> load;
    // How long the upstream stays cold.
    std::optional<milliseconds> coldFor;
};

/// What is said to the upstream beside the caller's own header.
struct upstream_note {
    instance_name instance;
    milliseconds timeLeft {0};
};

/// How callers and upstreams name what the relay needs to know. Implementations are safe to call from any thread.
class message_dialect
{
public:
    virtual ~message_dialect() = default;

    [[nodiscard]] virtual call_head readCall(const header_view &header) const = 0;
    [[nodiscard]] virtual answer_head readAnswer(const header_view &header) const = 0;
    /// True for fields of a request that `writeNote` replaces.
    [[nodiscard]] virtual bool replaces(std::string_view field) const = 0;
    /// Appends header lines, each with its line end.
    virtual void writeNote(const upstream_note &note, std::string &header) const = 0;
};

} // namespace hornbeampick
