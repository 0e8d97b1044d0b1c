#pragma once
/// @file
/// How a group goes on after more of its disks were lost than a majority bears, and takes back
/// members that were out of reach meanwhile. Pure rules over a store_view.
///
/// Disks that are lost one after the other, each while the change for the one before is open, can
/// leave fewer of a group's members than a majority, for good. The group then goes on from all
/// disks that survive, each of which may hold the only copy of a turn.

#include <optional>

#include "tallyfold/plane/directory/store_view.hpp"

namespace tallyfold::directory {

/// True for a member that isn't waited for any more: it is silent and the open change leaves it
/// out, or it has been silent for longer than turns are kept, or the group has gone on without it
/// before and it isn't back.
[[nodiscard]] bool is_given_up(const store_view& view, const turns::store_map& map,
                               const turns::store_member& member);

/// True when the group can't go on by majorities: disks were lost, and the members that may still
/// answer don't suffice. Never while those out of reach would suffice by themselves: they may be
/// acknowledging turns elsewhere.
[[nodiscard]] bool needs_recovery(const store_view& view, const turns::store_map& map);

/// A change from the disks that survive to new members; nothing while a member that is out of reach
/// may be back any moment, or while too few stores stand by.
[[nodiscard]] std::optional<turns::store_map> recover_from_survivors(const store_view& view,
                                                                     const turns::store_map& map);

/// A change that copies what members hold that the group went on without and that are back; nothing
/// when none is.
[[nodiscard]] std::optional<turns::store_map> readmit_absent(const store_view& view,
                                                             const turns::store_map& map);

}  // namespace tallyfold::directory
