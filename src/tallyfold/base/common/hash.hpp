#pragma once
/// @file
/// 64-bit hashes (xxHash) that are the same on every node and across restarts.

#include <cstdint>
#include <string_view>

namespace tallyfold {

/// Hash of `bytes`. Independent uses pass different seeds, so that their results don't correlate.
std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed = 0);

/// Hash of an ordered pair of hashes.
std::uint64_t combine_hash(std::uint64_t left, std::uint64_t right);

}  // namespace tallyfold
