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
inline std::uint64_t rendezvous_weight(std::uint64_t key_hash, const backend_name& name) {
    return combine_hash(key_hash, stable_hash(name));
}

}  // namespace tallyfold::scheduling
