#pragma once
/// @file
/// Rules by which a store accepts writes and sends copies. Pure functions.
///
/// They prevent the loss of writes during a membership change: a store that has sent a copy under a
/// map accepts no write under an older map afterwards, also after a restart.

#include "tallyfold/plane/turns/types.hpp"

namespace tallyfold::turns {

/// True when a store whose map has the epoch `store_epoch` accepts a request made under
/// `request_epoch`. A request under an older map might count towards a majority of members that are
/// no longer in force.
[[nodiscard]] constexpr bool accepts_epoch(map_epoch store_epoch, map_epoch request_epoch) {
    return store_epoch <= request_epoch;
}

/// True when a store may send a copy under the map of `request_epoch`.
/// @param durable_epoch epoch of the newest map on the store's disk; while it is older, a restart
/// could let a write under an older map follow the copy
[[nodiscard]] constexpr bool may_send_copy(map_epoch durable_epoch, map_epoch request_epoch) {
    return durable_epoch >= request_epoch;
}

/// True when a group's map concerns a store: it lists the store, or the store was a member of the
/// group so far and may have left it.
[[nodiscard]] inline bool concerns_store(const store_map& map, store_id self,
                                         const store_map& known_map) {
    const bool was_member = known_map.epoch > 0 && map.group == known_map.group;
    return map.contains(self) || was_member;
}

}  // namespace tallyfold::turns
