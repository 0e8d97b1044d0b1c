/// @file
/// Members of replica_fsm for membership changes, one at a time.

#include "tallyfold/base/protocol/binary_codec.hpp"
#include "tallyfold/consensus/replica_fsm.hpp"

namespace tallyfold::consensus {

namespace {

/// Number of replicas that are voters in exactly one of the two memberships.
std::size_t changed_voters(const membership& before, const membership& after) {
    std::size_t changed = 0;
    for (const auto& [id, member] : before.members) {
        changed += before.is_voter(id) != after.is_voter(id) ? 1 : 0;
    }
    for (const auto& [id, member] : after.members) {
        const bool is_new = !before.members.contains(id);
        changed += is_new && after.is_voter(id) ? 1 : 0;
    }
    return changed;
}

}  // namespace

tl::expected<log_index, replica_error> replica_fsm::propose_membership(const membership& next) {
    if (role_ != replica_role::leader) {
        return tl::unexpected(replica_error::not_leader);
    }
    // Only one change at a time, and only after an entry of this term is committed: otherwise two
    // leaders could have quorums that don't overlap.
    if (memberships_.back().index > commit_index_ || !has_committed_in_term()) {
        return tl::unexpected(replica_error::change_in_progress);
    }
    if (changed_voters(members(), next) > 1 || next.voter_count() == 0) {
        return tl::unexpected(replica_error::invalid_change);
    }
    append_new_entry(entry_kind::membership, protocol::encode(next));
    for (const auto& [id, member] : members().members) {
        progress_.try_emplace(id, log_.last_index(), last_leader_contact_);
    }
    broadcast_append(false);
    return log_.last_index();
}

const membership& replica_fsm::members_at(log_index index) const {
    const membership_entry* newest = &memberships_.front();
    for (const membership_entry& candidate : memberships_) {
        if (candidate.index <= index) {
            newest = &candidate;
        }
    }
    return newest->value;
}

}  // namespace tallyfold::consensus
