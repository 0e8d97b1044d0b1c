#pragma once
/// @file
/// What the stand-ins answer: a function of the program, the call and the whole history, so that
/// a caller can tell its own whole answer from a lost, mixed or shortened one.

#include <cstdint>
#include <string>

#include "tallyfold/base/common/types.hpp"
#include "tallyfold/scheduling/cache_map.hpp"

namespace tallyfold::stand_ins {

/// Piece number `position` of a completion.
std::string completion_piece(const program_id& program, sequence_number sequence,
                             scheduling::prefix_hash history, std::uint64_t position);

/// The whole completion of `length` pieces.
std::string completion_text(const program_id& program, sequence_number sequence,
                            scheduling::prefix_hash history, std::uint64_t length);

/// Answer of an app or tool service.
std::string service_answer(const program_id& program, sequence_number sequence,
                           const std::string& operation, const std::string& argument);

}  // namespace tallyfold::stand_ins
