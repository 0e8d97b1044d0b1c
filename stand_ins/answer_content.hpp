#pragma once
/// @file
/// Deterministic answers of the stand-in back ends. An answer depends on the program, the call
/// and the whole history, so that callers detect truncated answers and answers of other calls.

#include <cstdint>
#include <string>

#include "tallyfold/base/common/types.hpp"
#include "tallyfold/scheduling/cache_map.hpp"

namespace tallyfold::stand_ins {

/// Piece of a completion at index `position`.
std::string completion_piece(const program_id& program, sequence_number sequence,
                             scheduling::prefix_hash history, std::uint64_t position);

/// Full text of a completion of `length` pieces.
std::string completion_text(const program_id& program, sequence_number sequence,
                            scheduling::prefix_hash history, std::uint64_t length);

/// Answer of an app or tool service to a call.
std::string service_answer(const program_id& program, sequence_number sequence,
                           const std::string& operation, const std::string& argument);

}  // namespace tallyfold::stand_ins
