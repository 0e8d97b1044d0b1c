#include "tallyfold/base/logging/event_catalogue.hpp"

#include <algorithm>

namespace tallyfold::logging {

const std::vector<event_entry>& event_catalogue() {
    static const std::vector<event_entry> entries = {
        {event_id::process_started, event_level::info, "process_started"},
        {event_id::process_stopping, event_level::info, "process_stopping"},
        {event_id::process_stopped, event_level::info, "process_stopped"},
        {event_id::settings_refused, event_level::error, "settings_refused"},
        {event_id::peer_connected, event_level::info, "peer_connected"},
        {event_id::peer_lost, event_level::warning, "peer_lost"},
        {event_id::peer_refused, event_level::warning, "peer_refused"},
        {event_id::frame_refused, event_level::warning, "frame_refused"},
        {event_id::keys_reloaded, event_level::info, "keys_reloaded"},
        {event_id::settings_reloaded, event_level::info, "settings_reloaded"},
        {event_id::lines_left_out, event_level::warning, "lines_left_out"},
        {event_id::directory_lost, event_level::warning, "directory_lost"},
        {event_id::directory_regained, event_level::info, "directory_regained"},
        {event_id::frame_skipped, event_level::warning, "frame_skipped"},
        {event_id::message_withheld, event_level::warning, "message_withheld"},
        {event_id::node_format, event_level::info, "node_format"},
        {event_id::storage_opened, event_level::info, "storage_opened"},
        {event_id::storage_failed, event_level::error, "storage_failed"},
        {event_id::storage_tail_cut, event_level::warning, "storage_tail_cut"},
        {event_id::leadership_gained, event_level::info, "leadership_gained"},
        {event_id::leadership_lost, event_level::info, "leadership_lost"},
        {event_id::membership_joined, event_level::info, "membership_joined"},
        {event_id::membership_changed, event_level::info, "membership_changed"},
        {event_id::store_map_changed, event_level::info, "store_map_changed"},
        {event_id::store_copied, event_level::info, "store_copied"},
        {event_id::identity_renewed, event_level::warning, "identity_renewed"},
        {event_id::store_change_open, event_level::warning, "store_change_open"},
        {event_id::leader_uncommitted, event_level::warning, "leader_uncommitted"},
        {event_id::store_majority_lost, event_level::warning, "store_majority_lost"},
        {event_id::entry_unreadable, event_level::error, "entry_unreadable"},
        {event_id::format_awaited, event_level::warning, "format_awaited"},
        {event_id::shard_assigned, event_level::info, "shard_assigned"},
        {event_id::shard_released, event_level::info, "shard_released"},
        {event_id::shard_loaded, event_level::info, "shard_loaded"},
        {event_id::shard_lost, event_level::warning, "shard_lost"},
        {event_id::configuration_changed, event_level::info, "configuration_changed"},
        {event_id::configuration_applied, event_level::info, "configuration_applied"},
        {event_id::configuration_lease_expired, event_level::warning,
         "configuration_lease_expired"},
        {event_id::policy_failed, event_level::error, "policy_failed"},
        {event_id::policy_applied, event_level::info, "policy_applied"},
        {event_id::configuration_fetched, event_level::info, "configuration_fetched"},
        {event_id::configuration_fetch_failed, event_level::warning, "configuration_fetch_failed"},
        {event_id::configuration_spread, event_level::info, "configuration_spread"},
        {event_id::admin_request, event_level::info, "admin_request"},
        {event_id::admin_denied, event_level::warning, "admin_denied"},
        {event_id::call_refused, event_level::info, "call_refused"},
        {event_id::call_retried, event_level::warning, "call_retried"},
        {event_id::call_resumed, event_level::info, "call_resumed"},
        {event_id::outcome_open, event_level::warning, "outcome_open"},
        {event_id::outcome_resolved, event_level::info, "outcome_resolved"},
        {event_id::program_reaped, event_level::info, "program_reaped"},
        {event_id::backend_ejected, event_level::warning, "backend_ejected"},
        {event_id::backend_leaving, event_level::info, "backend_leaving"},
        {event_id::cache_events_lost, event_level::info, "cache_events_lost"},
        {event_id::cache_release_repeated, event_level::info, "cache_release_repeated"},
        {event_id::backend_list_changed, event_level::info, "backend_list_changed"},
        {event_id::backend_list_lost, event_level::warning, "backend_list_lost"},
        {event_id::backend_list_regained, event_level::info, "backend_list_regained"},
        {event_id::calls_bounded, event_level::info, "calls_bounded"},
        {event_id::calls_unbounded, event_level::info, "calls_unbounded"},
        {event_id::backend_doubted, event_level::info, "backend_doubted"},
        {event_id::request_finished, event_level::info, "request_finished"},
        {event_id::attempt_failed, event_level::warning, "attempt_failed"},
        {event_id::turn_admitted, event_level::info, "turn_admitted"},
        {event_id::turn_refused, event_level::warning, "turn_refused"},
        {event_id::turn_settled, event_level::info, "turn_settled"},
        {event_id::turn_unsettled, event_level::warning, "turn_unsettled"},
        {event_id::caller_refused, event_level::warning, "caller_refused"},
        {event_id::quota_keeper_started, event_level::info, "quota_keeper_started"},
        {event_id::quota_keeper_lost, event_level::warning, "quota_keeper_lost"},
        {event_id::quota_keeper_regained, event_level::info, "quota_keeper_regained"},
        {event_id::route_unknown, event_level::info, "route_unknown"},
        {event_id::permit_given_back, event_level::info, "permit_given_back"},
        {event_id::permit_node_heard, event_level::info, "permit_node_heard"},
    };
    return entries;
}

const event_entry& find_event(event_id id) {
    const auto& entries = event_catalogue();
    return *std::find_if(entries.begin(), entries.end(),
                         [id](const event_entry& entry) { return entry.id == id; });
}

}  // namespace tallyfold::logging
