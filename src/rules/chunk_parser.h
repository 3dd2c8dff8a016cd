#pragma once

#include "rules/rule_document.h"
#include "rules/rule_parser.h"
#include "rules/rule_set.h"

#include <memory>
#include <string_view>
#include <vector>

namespace hornbeampick
{

/// The parsed rules of one chunk of a file, except its client blocks. Lines count from 1 within the chunk.
struct parsed_chunk {
    std::shared_ptr<const text_chunk> source;
    // Whether the version line of the file precedes this chunk, and the next chunk.
    bool versionKnownBefore = false;
    bool versionKnownAfter = false;
    // 0 when the version line is in another chunk.
    std::uint64_t version = 0;
    std::vector<capacity_rule> capacities;
    std::vector<link_rule> links;
    std::vector<shift_rule> shifts;
    std::vector<drain_rule> drains;
    std::vector<rest_rule> rests;
    // The first reference to each home region.
    std::vector<home_reference> homes;
};

/// A client block rule.
struct parsed_client {
    client_block block;
    // Index in `parsed_chunk::homes`.
    std::size_t home = 0;
    std::uint32_t line = 0;
};

/// The result of parsing one chunk.
struct chunk_parse {
    parsed_chunk chunk;
    std::vector<parsed_client> clients;
    std::vector<rule_error> errors;
};

/// Parses each line of a chunk independently. The caller checks the constraints across lines.
chunk_parse parseChunk(std::shared_ptr<const text_chunk> source, std::string_view file, bool versionKnownBefore);

} // namespace hornbeampick
