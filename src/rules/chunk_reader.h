#pragma once

#include "rules/rule_document.h"
#include "rules/rule_parser.h"
#include "rules/rule_set.h"

#include <memory>
#include <string_view>
#include <vector>

namespace hornbeampick
{

/// The rules of one chunk of a file, but for its client blocks. Lines count from 1 within the chunk.
struct parsed_chunk {
    std::shared_ptr<const text_chunk> source;
    // Whether the file's version was read before this chunk, and before the next.
    bool versionBefore = false;
    bool versionAfter = false;
    // 0: it stands in another chunk.
    std::uint64_t version = 0;
    std::vector<capacity_rule> capacities;
    std::vector<link_rule> links;
    std::vector<shift_rule> shifts;
    std::vector<drain_rule> drains;
    std::vector<rest_rule> rests;
    // The first use of each home.
    std::vector<home_use> homes;
};

/// One line of client blocks.
struct parsed_client {
    client_block block;
    // Position in the chunk's homes.
    std::size_t home = 0;
    std::uint32_t line = 0;
};

/// All that stands in one chunk.
struct chunk_reading {
    parsed_chunk chunk;
    std::vector<parsed_client> clients;
    std::vector<rule_error> errors;
};

/// Reads each line of a chunk by itself; what concerns several lines is for the caller to check.
chunk_reading readChunk(std::shared_ptr<const text_chunk> source, std::string_view file, bool versionBefore);

} // namespace hornbeampick
