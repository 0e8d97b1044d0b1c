/// @file
/// Members of directory_core that answer node reports and track the formats that other nodes
/// support.

#include "tallyfold/plane/directory/directory_core.hpp"

namespace tallyfold::directory {

namespace {

/// Minimum interval between log lines about deferred changes.
constexpr duration format_log_interval = std::chrono::seconds(2);

}  // namespace

node_report_answer directory_core::receive(const node_report& report, instant now,
                                           protocol::format_version format) {
    for (const store_report& store : report.store) {
        store_planner_.on_report(store, now);
    }
    node_report_answer answer = answer_to(report);
    if (format < protocol::format_version::v2 && report.wants_configuration) {
        add_full_configuration(report, answer);
        if (answer.configuration > report.configuration && answer.newer_configuration.empty()) {
            log_format_wait("configuration=" + std::to_string(answer.configuration), report.node,
                            now);
        }
    }
    return answer;
}

void directory_core::add_full_configuration(const node_report& report, node_report_answer& answer) {
    const configuration_pointer& newest = newest_known_configuration();
    // Format v1 has no tenants: without them, the node would admit requests that have no key.
    if (newest->version > report.configuration && newest->tenants.empty()) {
        answer.newer_configuration.push_back(newest);
    }
}

void directory_core::record_peer_format(const node_name& node, protocol::format_version format,
                                        instant now) {
    if (formats_.record(node, format, now)) {
        log(logging::event_id::node_format,
            "peer=" + node + " format=" + protocol::to_string(format));
    }
}

bool directory_core::may_use_format(protocol::format_version format, instant now) const {
    if (state_.oldest_usable_format() >= format) {
        return true;
    }
    std::vector<node_name> others;
    for (const auto& [id, member] : replica_.members().members) {
        if (id != identity_) {
            others.push_back(member.node);
        }
    }
    return formats_.all_support(format, others) && !formats_.active_node_below(format, now);
}

evacuation_status directory_core::evacuations() const {
    const zone_evacuations& applied = state_.evacuations();
    const zone_evacuations& previous = previous_state_.evacuations();
    const zone_evacuations& newest = applied.revision() >= previous.revision() ? applied : previous;
    return {newest.revision(), newest.zones()};
}

void directory_core::log_format_wait(const std::string& what, const node_name& node, instant now) {
    if (now < next_format_log_) {
        return;
    }
    next_format_log_ = now + format_log_interval;
    log(logging::event_id::format_awaited, what + " peer=" + node);
}

configuration_part directory_core::receive(const configuration_request& request) {
    source_.publish(newest_known_configuration());
    return source_.answer(request);
}

const configuration_pointer& directory_core::newest_known_configuration() const {
    const bool has_newest =
        state_.configuration().version >= previous_state_.configuration().version;
    return has_newest ? state_.shared_configuration() : previous_state_.shared_configuration();
}

node_report_answer directory_core::answer_to(const node_report& report) const {
    const bool has_newest_stores = state_.stores().epoch >= previous_state_.stores().epoch;
    const turns::store_table& newest_stores =
        has_newest_stores ? state_.stores() : previous_state_.stores();
    node_report_answer answer;
    answer.configuration = newest_known_configuration()->version;
    if (newest_stores.epoch > report.stores) {
        answer.newer_stores.push_back(newest_stores);
    }
    for (const auto& [id, member] : replica_.members().members) {
        answer.directory_addresses.push_back(member.node);
    }
    answer.leader = leader_address();
    answer.term = replica_.term();
    return answer;
}

}  // namespace tallyfold::directory
