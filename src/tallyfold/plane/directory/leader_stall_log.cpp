#include "tallyfold/plane/directory/leader_stall_log.hpp"

namespace tallyfold::directory {

namespace {

/// Duration after which a stall is logged, and interval at which it is logged again. Longer than an
/// election.
constexpr duration report_interval = std::chrono::seconds(2);

/// The last index known to be durable at each member, joined by commas.
std::string matched_indexes(const consensus::replica_fsm& replica) {
    std::string matched;
    for (const auto& [id, member] : replica.members().members) {
        if (!matched.empty()) {
            matched += ',';
        }
        matched += std::to_string(replica.match_index(id));
    }
    return matched;
}

}  // namespace

void leader_stall_log::start(instant now) {
    leadership_start_ = now;
    changes_open_since_.reset();
    next_report_ = now + report_interval;
}

logging::event_record leader_stall_log::uncommitted_event(const consensus::replica_fsm& replica,
                                                          consensus::replica_id self,
                                                          instant now) const {
    return {logging::event_id::leader_uncommitted,
            "term=" + std::to_string(replica.term()) +
                " led_ms=" + std::to_string(to_milliseconds(now - leadership_start_)) +
                " last=" + std::to_string(replica.log().last_index()) +
                " commit=" + std::to_string(replica.commit_index()) + " durable=" +
                std::to_string(replica.match_index(self)) + " matched=" + matched_indexes(replica)};
}

std::vector<logging::event_record> leader_stall_log::check(const consensus::replica_fsm& replica,
                                                           consensus::replica_id self,
                                                           const stall_observation& observed,
                                                           instant now) {
    if (observed.open_changes.empty()) {
        changes_open_since_.reset();
    } else if (!changes_open_since_.has_value()) {
        changes_open_since_ = now;
        next_report_ = now + report_interval;
    }
    if (now < next_report_) {
        return {};
    }
    next_report_ = now + report_interval;
    if (!replica.has_committed_in_term()) {
        return {uncommitted_event(replica, self, now)};
    }
    std::vector<logging::event_record> events;
    events.reserve(observed.open_changes.size() + 2);
    if (observed.silent_voters > 0) {
        events.push_back({logging::event_id::voters_silent,
                          "term=" + std::to_string(replica.term()) +
                              " voters=" + std::to_string(replica.members().voter_count()) +
                              " silent=" + std::to_string(observed.silent_voters)});
    }
    if (observed.unrepaired.count > 0) {
        events.push_back({logging::event_id::store_groups_unrepaired,
                          "groups=" + std::to_string(observed.unrepaired.count) + " " +
                              observed.unrepaired.first});
    }
    for (const std::string& fields : observed.open_changes) {
        events.push_back(
            {logging::event_id::store_change_open,
             fields + " open_ms=" + std::to_string(to_milliseconds(now - *changes_open_since_))});
    }
    return events;
}

}  // namespace tallyfold::directory
