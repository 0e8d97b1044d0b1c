#pragma once
/// @file
/// Computes the prefix hashes of a conversation from its messages.

#include "tallyfold/program_api/journal/types.hpp"
#include "tallyfold/scheduling/cache_map.hpp"

namespace tallyfold::journal {

/// Prefix point of the conversation that ends at `before` and is extended by `added`.
scheduling::prefix_point extend_prefix(const scheduling::prefix_point& before,
                                       const message& added);

}  // namespace tallyfold::journal
