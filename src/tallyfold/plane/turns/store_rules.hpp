#pragma once
/// @file
/// The rules by which one store takes writes and gives copies. Pure functions.
///
/// Together they keep a change of a group's members from losing a write: a store that has sent a
/// copy under a map takes no write under an older one any more, also after a restart.

#include "tallyfold/plane/turns/types.hpp"

namespace tallyfold::turns {

/// True when a store that serves under `own` takes a request that was made under `request_epoch`. A
/// request under an older map may count towards a majority of members that are no longer in force.
[[nodiscard]] constexpr bool accepts_epoch(map_epoch store_epoch, map_epoch request_epoch) {
    return store_epoch <= request_epoch;
}

/// True when a store may send a copy under the map `request_epoch`.
/// @param durable epoch of the newest map on the store's disk: while it is older, a restart would
/// let a write under an older map follow the copy
[[nodiscard]] constexpr bool may_send_copy(map_epoch durable_epoch, map_epoch request_epoch) {
    return durable_epoch >= request_epoch;
}

/// True when the map of a group concerns a store: it lists the store, or is of the group that the
/// store belonged to so far and says that it has left.
[[nodiscard]] inline bool concerns_store(const store_map& map, store_id self,
                                         const store_map& known) {
    const bool was_member = known.epoch > 0 && map.group == known.group;
    return map.holds(self) || was_member;
}

}  // namespace tallyfold::turns
