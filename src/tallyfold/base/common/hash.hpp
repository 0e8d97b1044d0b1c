#pragma once
/// @file
/// Stable 64-bit hashes (xxHash) that are equal on every node and across restarts.

#include <cstdint>
#include <string_view>

namespace tallyfold {

/// Hash of `bytes`, seeded so that independent uses do not correlate.
std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed = 0);

/// Hash of a pair of hashes; order matters.
std::uint64_t combine_hash(std::uint64_t left, std::uint64_t right);

}  // namespace tallyfold
