#pragma once
/// @file
/// Rules by which a group recovers after losing more disks than its majority tolerates, and
/// readmits members that were unreachable during the recovery. Pure functions of a store_view.
///
/// - Disks lost one after another, each during the change for the previous one, can leave fewer
///   members than a majority for good.
/// - The group then recovers from all surviving disks, since each may hold the only copy of a turn.

#include <optional>

#include "tallyfold/plane/directory/store_view.hpp"

namespace tallyfold::directory {

/// True for a member that is no longer waited for, because one of these holds:
/// - it is silent, and the open change leaves it out;
/// - it has been silent for longer than the retention;
/// - an earlier recovery left it out, and it is not live.
[[nodiscard]] bool is_given_up(const store_view& view, const turns::store_map& map,
                               const turns::store_member& member);

/// True when disks were lost and the members that may still answer are no majority. Never true
/// while the unreachable members could form a majority by themselves, since they may be
/// acknowledging turns elsewhere.
[[nodiscard]] bool needs_recovery(const store_view& view, const turns::store_map& map);

/// A change from the surviving disks to new members. Empty while an unreachable member may still
/// return, or while there are too few spare stores.
[[nodiscard]] std::optional<turns::store_map> recover_from_survivors(const store_view& view,
                                                                     const turns::store_map& map);

/// A change that copies the data of absent members that are live again; empty when there is none.
[[nodiscard]] std::optional<turns::store_map> readmit_absent(const store_view& view,
                                                             const turns::store_map& map);

}  // namespace tallyfold::directory
