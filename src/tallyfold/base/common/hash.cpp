#include "tallyfold/base/common/hash.hpp"

#include <xxhash.h>

#include <array>

namespace tallyfold {

std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed) {
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t combine_hash(std::uint64_t left, std::uint64_t right) {
    const std::array<std::uint64_t, 2> pair{left, right};
    return XXH3_64bits(pair.data(), sizeof(pair));
}

}  // namespace tallyfold
