#pragma once

#include "fakes/scripted_upstream.h"

#include <string>
#include <vector>

namespace hornbeampick::testing
{

/// A message of which the sender sends only the beginning.
struct cut_message {
    std::string name;
    std::string bytes;
};

/// Returns `firstLine`, which has no CRLF, and `fieldLines`, each terminated by CRLF, cut at each place where a head can end too early.
std::vector<cut_message> cutsOf(const std::string &firstLine, const std::string &fieldLines);

enum class response_forms {
    /// Responses without a length, with one, and in chunks, and a refusal.
    common,
    /// Also interim responses, other framings, and responses without a body.
    all,
};

/// Returns heads of responses to the request with this id, cut at each place where a head can end too early.
std::vector<cut_message> cutResponseHeads(const std::string &id, response_forms forms);

/// Returns responses to the request with this id that are cut after their head. `bodyBytes` is the length of the body, or of the part of
/// it that comes.
std::vector<cut_message> cutResponseBodies(const std::string &id, std::size_t bodyBytes);

/// Returns `body`, which is not empty, as one chunk.
std::string chunkOf(const std::string &body);

enum class connection_end {
    closed,
    reset,
};

std::string textOf(connection_end end);

/// Writes `bytes` and ends the sender's direction of the connection; a reset ends both.
void writeAndEnd(scripted_upstream::socket &to, const std::string &bytes, connection_end end);

} // namespace hornbeampick::testing
