#pragma once
/// @file
/// How the hashes that identify a conversation's beginnings come from its messages.

#include "tallyfold/program_api/journal/types.hpp"
#include "tallyfold/scheduling/cache_map.hpp"

namespace tallyfold::journal {

/// Point after `added`, which follows a conversation that ends at `before`.
scheduling::prefix_point extend_prefix(const scheduling::prefix_point& before,
                                       const message& added);

}  // namespace tallyfold::journal
