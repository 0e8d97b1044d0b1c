#pragma once
/// @file
/// Rendezvous hashing: nodes with the same list of back ends select the same back end for a key
/// without communication, and a back end that joins or leaves changes the target of few keys. Pure.

#include <cstdint>

#include "tallyfold/base/common/hash.hpp"
#include "tallyfold/base/common/types.hpp"

namespace tallyfold::scheduling {

/// Weight of a back end for a key; back ends are ordered by it. Must be equal on every node and in
/// every version, since nodes of different versions run side by side.
/// @param key_hash stable_hash() of the key
/// @param name_hash stable_hash() of the back end's name
inline std::uint64_t rendezvous_weight(std::uint64_t key_hash, std::uint64_t name_hash) {
    return combine_hash(key_hash, name_hash);
}

}  // namespace tallyfold::scheduling
