#pragma once
/// @file
/// Rules for the members of a store group: how groups are formed, which members a group should
/// have, and when a change of members is complete. Pure functions of a store_view.
///
/// - A group has 2f+1 members to tolerate f losses, spread over zones.
/// - Other stores are spares without a group. They replace lost or retired members.
/// - A spare begins to copy as soon as a member stops reporting, and takes the member's place once
///   it holds a complete copy. If the member returns earlier, the change is withdrawn.
/// - Without a spare, a retired member remains and the group is still repaired after losses; the
///   member leaves once a successor is available.

#include <optional>

#include "tallyfold/plane/directory/store_view.hpp"

namespace tallyfold::directory {

/// The groups of a new system; empty while too few stores have reported or reports are still being
/// collected. The number of groups never changes afterwards, because a program's group is derived
/// from it.
[[nodiscard]] std::optional<change_store_groups> form_groups(const store_view& view);

/// The members that the group should have: the current ones, without replaced and retired disks.
/// Live spare stores fill up the group and replace members that are not live; retired members
/// replace silent ones where there are too few spares. The result is smaller than the group size
/// when those don't suffice either.
[[nodiscard]] store_list choose_members(const store_view& view, const turns::store_map& map);

/// What a group lacks while there are too few live stores to repair it.
struct member_shortage {
    /// Members that are missing, silent, and retired.
    std::size_t missing = 0;
    std::size_t silent = 0;
    std::size_t retired = 0;

    [[nodiscard]] bool any() const { return missing + silent + retired > 0; }
};

/// Shortage that remains with the best members that can be chosen now.
[[nodiscard]] member_shortage shortage_of(const store_view& view, const turns::store_map& map);

/// True when these members tolerate fewer losses than the current ones. The group then keeps its
/// members until a spare store is available.
[[nodiscard]] bool has_too_few_members(const store_view& view, const store_list& members,
                                       const turns::store_map& map);

/// Begins a change to the members that the group should have. Empty when it has them, when there
/// are too few spare stores, or while this leader has not led long enough to tell which stores are
/// silent.
[[nodiscard]] std::optional<turns::store_map> begin_change(const store_view& view,
                                                           const turns::store_map& map);

/// True when the open change can be completed: each joining store holds a complete copy, and so do
/// enough of the new members that every majority of them includes one.
[[nodiscard]] bool has_enough_copies(const store_view& view, const turns::store_map& map);

/// True when all members that an open change was to replace have returned, so that the change can
/// be withdrawn: every write under it is on a majority of the current members.
[[nodiscard]] bool is_needless_change(const store_view& view, const turns::store_map& map);

/// Completes an open change that has enough copies, withdraws a needless one, or restarts it when a
/// joining store stopped reporting before it had copied. Empty while the change has to wait.
[[nodiscard]] std::optional<turns::store_map> continue_change(const store_view& view,
                                                              const turns::store_map& map);

}  // namespace tallyfold::directory
