#include "tallyfold/plane/directory/member_planner.hpp"

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
    join_requests_[request.replica] = {request.address, now};
}

bool member_planner::is_silent(replica_id id, duration limit, instant now) const {
    const auto found = last_message_.find(id);
    const instant last = found == last_message_.end() ? leading_since_ : found->second;
    return now - last > limit;
}

std::optional<replica_id> member_planner::lost_disk(const membership& members, instant now) const {
    // A different replica that joins from a member's address means that the member's disk was
    // replaced.
    for (const auto& [id, joining] : join_requests_) {
        if (now - joining.requested_at > join_lifetime) {
            continue;
        }
        for (const auto& [other, member] : members.members) {
            if (other != id && member.node == joining.address) {
                return other;
            }
        }
    }
    return std::nullopt;
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
    if (const auto lost = lost_disk(next, now); lost && *lost != self) {
        next.members.erase(*lost);
        return next;
    }
    for (const auto& [id, joining] : join_requests_) {
        if (now - joining.requested_at <= join_lifetime && !next.members.contains(id)) {
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

std::optional<replica_id> member_planner::removable_member(const membership& members,
                                                           bool has_successor, replica_id self,
                                                           instant now) const {
    const bool may_lose_voter = has_successor || members.voter_count() > settings_.min_voters;
    for (const auto& [id, member] : members.members) {
        const duration limit =
            member.learner ? settings_.learner_silence_timeout : settings_.silence_timeout;
        const bool is_removable = member.learner || may_lose_voter;
        if (id != self && is_removable && is_silent(id, limit, now)) {
            return id;
        }
    }
    return std::nullopt;
}

}  // namespace tallyfold::directory
