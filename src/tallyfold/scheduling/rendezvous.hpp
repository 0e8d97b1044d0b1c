#pragma once
/// @file
/// Rendezvous hashing: nodes that see the same list of back ends derive the same back end for a key
/// without a word between them, and one that joins or leaves changes the target of few keys. Pure.

#include <cstdint>

#include "tallyfold/base/common/hash.hpp"
#include "tallyfold/base/common/types.hpp"

namespace tallyfold::scheduling {

/// Weight of a back end for a key; back ends are ordered by it. Equal on every node and across
/// versions: nodes of two versions that run side by side have to agree.
/// @param key_hash stable_hash() of the key
inline std::uint64_t rendezvous_weight(std::uint64_t key_hash, const backend_name& name) {
    return combine_hash(key_hash, stable_hash(name));
}

}  // namespace tallyfold::scheduling
