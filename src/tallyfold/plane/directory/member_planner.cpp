#include "tallyfold/plane/directory/member_planner.hpp"

#include <algorithm>

namespace tallyfold::directory {

using consensus::membership;
using consensus::replica_id;

namespace {

/// Age up to which a join request is valid; several request intervals. An older one is from a
/// process that has ended.
constexpr duration join_lifetime = std::chrono::milliseconds(1500);
/// Maximum number of entries by which a learner may lag when it is promoted to voter; a few changes
/// in flight.
constexpr consensus::log_index max_learner_lag = 4;
/// Time for which the removal of a lost voter is deferred when too few voters would remain. Several
/// times what its successor needs to join and catch up.
constexpr duration removal_deferral = std::chrono::milliseconds(1500);

}  // namespace

replication_view view_of(const consensus::replica_fsm& replica) {
    replication_view view;
    view.members = replica.members();
    view.commit_index = replica.commit_index();
    for (const auto& [id, member] : view.members.members) {
        view.matched[id] = replica.match_index(id);
    }
    return view;
}

void member_planner::start(instant now) {
    leading_since_ = now;
    last_message_.clear();
    join_requests_.clear();
}

void member_planner::on_join(const join_request& request, instant now) {
    const auto [entry, is_new] = join_requests_.try_emplace(request.replica);
    joining_replica& joining = entry->second;
    on_message(request.replica, now);
    joining.address = request.address;
    joining.requested_at = now;
    joining.first_requested_at = is_new ? now : joining.first_requested_at;
}

bool member_planner::is_silent(replica_id id, duration limit, instant now) const {
    return now - last_heard(id) > limit;
}

instant member_planner::last_heard(replica_id id) const {
    const auto found = last_message_.find(id);
    return found == last_message_.end() ? leading_since_ : found->second;
}

bool member_planner::is_current(const joining_replica& joining, const membership& members,
                                replica_id id, instant now) const {
    const auto has_answered_since = [&](const auto& entry) {
        const auto& [other, member] = entry;
        return other != id && member.node == joining.address &&
               last_heard(other) > joining.requested_at;
    };
    return now - joining.requested_at <= join_lifetime &&
           std::none_of(members.members.begin(), members.members.end(), has_answered_since);
}

std::optional<replica_id> member_planner::lost_disk(const membership& members, replica_id self,
                                                    instant now) const {
    // A different replica that joins from a member's address means that the member's disk was
    // replaced.
    for (const auto& [id, joining] : join_requests_) {
        if (!is_current(joining, members, id, now)) {
            continue;
        }
        for (const auto& [other, member] : members.members) {
            const bool replaced = other != id && other != self && member.node == joining.address;
            if (replaced && may_remove_lost(members, other, joining.first_requested_at, now)) {
                return other;
            }
        }
    }
    return replaced_member(members, self, now);
}

std::optional<replica_id> member_planner::replaced_member(const membership& members,
                                                          replica_id self, instant now) const {
    // A replica that has joined sends no more requests. Of two members at one address, the one that
    // was heard last has the present disk.
    for (const auto& [id, member] : members.members) {
        for (const auto& [other, successor] : members.members) {
            const bool replaced = id != other && id != self && member.node == successor.node &&
                                  last_heard(id) < last_heard(other);
            const auto request = join_requests_.find(other);
            const instant known_since = request == join_requests_.end()
                                            ? leading_since_
                                            : request->second.first_requested_at;
            if (replaced && may_remove_lost(members, id, known_since, now)) {
                return id;
            }
        }
    }
    return std::nullopt;
}

bool member_planner::may_remove_lost(const membership& members, replica_id lost,
                                     instant known_since, instant now) const {
    // With fewer voters, a quorum has no more disks than may be lost at once. The removal isn't
    // deferred for longer, since a lost voter never votes again.
    const bool enough_remain =
        !members.is_voter(lost) || members.voter_count() >= settings_.min_voters;
    return enough_remain || now - known_since > removal_deferral;
}

std::optional<replica_id> member_planner::promotable_learner(const replication_view& view,
                                                             instant now) const {
    for (const auto& [id, member] : view.members.members) {
        const auto found = view.matched.find(id);
        const consensus::log_index matched = found == view.matched.end() ? 0 : found->second;
        const bool caught_up = matched > 0 && matched + max_learner_lag >= view.commit_index;
        if (member.learner && caught_up && !is_silent(id, join_lifetime, now)) {
            return id;
        }
    }
    return std::nullopt;
}

std::optional<membership> member_planner::plan(const replication_view& view, replica_id self,
                                               instant now) const {
    membership next = view.members;
    if (const auto lost = lost_disk(next, self, now)) {
        next.members.erase(*lost);
        return next;
    }
    for (const auto& [id, joining] : join_requests_) {
        if (is_current(joining, next, id, now) && !next.members.contains(id)) {
            next.members[id] = {joining.address, true};
            return next;
        }
    }
    const auto learner = promotable_learner(view, now);
    if (learner && next.voter_count() < settings_.max_voters) {
        next.members[*learner].learner = false;
        return next;
    }
    if (const auto removed = removable_member(view.members, learner.has_value(), self, now)) {
        next.members.erase(*removed);
        return next;
    }
    return std::nullopt;
}

std::size_t member_planner::silent_voter_count(const membership& members, replica_id self,
                                               instant now) const {
    const auto is_silent_voter = [&](const auto& entry) {
        const auto& [id, member] = entry;
        return id != self && !member.learner && is_silent(id, settings_.silence_timeout, now);
    };
    return static_cast<std::size_t>(
        std::count_if(members.members.begin(), members.members.end(), is_silent_voter));
}

std::optional<replica_id> member_planner::removable_member(const membership& members,
                                                           bool has_successor, replica_id self,
                                                           instant now) const {
    const bool has_surplus = members.voter_count() > settings_.min_voters;
    const bool may_lose_voter = has_successor || has_surplus;
    const duration voter_limit =
        has_surplus ? settings_.surplus_silence_timeout : settings_.silence_timeout;
    for (const auto& [id, member] : members.members) {
        const duration limit = member.learner ? settings_.learner_silence_timeout : voter_limit;
        const bool is_removable = member.learner || may_lose_voter;
        if (id != self && is_removable && is_silent(id, limit, now)) {
            return id;
        }
    }
    return std::nullopt;
}

}  // namespace tallyfold::directory
