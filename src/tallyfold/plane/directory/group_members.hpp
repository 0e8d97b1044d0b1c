#pragma once
/// @file
/// Which stores belong to a group: how the groups are formed, which members a group should have,
/// and when a change of its members is complete. Pure rules over a store_view.
///
/// A group has as many members as outlive the losses to be borne (2f+1), spread over zones. Stores
/// beyond that stand by, without a group, and take the place of members that are lost or emptied.

#include <optional>

#include "tallyfold/plane/directory/store_view.hpp"

namespace tallyfold::directory {

/// The groups of a new system; nothing while too few stores have reported, or reports are still
/// being gathered. Their number is fixed from then on: a program's group follows from it.
[[nodiscard]] std::optional<change_store_groups> form_groups(const store_view& view);

/// The members that the group should have: those it has, but for disks that are gone or are to be
/// emptied; live stores that stand by fill it up, and take the place of silent members. Fewer than
/// a group's size when too few stand by.
[[nodiscard]] store_list choose_members(const store_view& view, const turns::store_map& map);

/// True when so few members bear fewer losses than the group does now: a group keeps the members it
/// has until a store stands by.
[[nodiscard]] bool has_too_few_members(const store_view& view, const store_list& members,
                                       const turns::store_map& map);

/// Begins a change to the members that the group should have; nothing when it has them, when too
/// few stores stand by, or while this leader hasn't listened long enough to judge who is silent.
[[nodiscard]] std::optional<turns::store_map> begin_change(const store_view& view,
                                                           const turns::store_map& map);

/// True when the open change may end: each store that joins holds a whole copy, and so many of all
/// new members do that each majority of them has one.
[[nodiscard]] bool has_enough_copies(const store_view& view, const turns::store_map& map);

/// Ends an open change whose copies suffice, or begins it anew when a store that joins has fallen
/// silent before it had copied; nothing when it has to wait.
[[nodiscard]] std::optional<turns::store_map> continue_change(const store_view& view,
                                                              const turns::store_map& map);

}  // namespace tallyfold::directory
