#pragma once
/// @file
/// Catalogue of log events: number, level and name. Operators' tools match these, so numbers and
/// names are stable. A test checks that each event is documented.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace tallyfold::logging {

enum class event_level : std::uint8_t { debug, info, warning, error };

enum class event_id : std::uint16_t {
    process_started = 1001,
    process_stopping = 1002,
    process_stopped = 1003,
    settings_refused = 1004,
    client_refused = 1005,
    client_evicted = 1006,
    peer_connected = 1101,
    peer_lost = 1102,
    peer_refused = 1103,
    frame_refused = 1104,
    keys_reloaded = 1105,
    settings_reloaded = 1106,
    lines_left_out = 1107,
    directory_lost = 1108,
    directory_regained = 1109,
    frame_skipped = 1110,
    message_withheld = 1111,
    node_format = 1112,
    storage_opened = 2001,
    storage_failed = 2002,
    storage_tail_cut = 2003,
    leadership_gained = 2101,
    leadership_lost = 2102,
    membership_joined = 2103,
    membership_changed = 2104,
    store_map_changed = 2105,
    store_copied = 2106,
    identity_renewed = 2107,
    store_change_open = 2108,
    leader_uncommitted = 2109,
    store_majority_lost = 2110,
    entry_unreadable = 2111,
    format_awaited = 2112,
    voters_silent = 2113,
    store_groups_unrepaired = 2114,
    store_repaired = 2115,
    shard_assigned = 2201,
    shard_released = 2202,
    shard_loaded = 2203,
    shard_lost = 2204,
    configuration_changed = 2301,
    configuration_applied = 2302,
    configuration_lease_expired = 2303,
    policy_failed = 2304,
    policy_applied = 2305,
    configuration_fetched = 2306,
    configuration_fetch_failed = 2307,
    configuration_spread = 2308,
    zone_evacuation_changed = 2309,
    crashes_told = 2310,
    admin_request = 2401,
    admin_denied = 2402,
    store_retirement_decided = 2403,
    call_refused = 3001,
    call_retried = 3002,
    call_resumed = 3003,
    outcome_open = 3004,
    outcome_resolved = 3005,
    program_reaped = 3006,
    backend_ejected = 3101,
    backend_leaving = 3102,
    cache_events_lost = 3103,
    cache_release_repeated = 3104,
    backend_list_changed = 3105,
    backend_list_lost = 3106,
    backend_list_regained = 3107,
    calls_bounded = 3108,
    calls_unbounded = 3109,
    backend_doubted = 3110,
    backend_entries_rejected = 3111,
    backend_list_fetch_failed = 3112,
    backend_answer_malformed = 3113,
    dispatcher_lost = 3120,
    dispatcher_regained = 3121,
    place_refused = 3122,
    place_forced = 3123,
    place_message_ignored = 3124,
    engine_room = 3125,
    request_finished = 3201,
    attempt_failed = 3202,
    requests_cut_off = 3203,
    request_cut_off = 3204,
    accept_failed = 3205,
    stream_resumed = 3206,
    backend_ended_under_request = 3207,
    poison_request_refused = 3208,
    content_released = 3209,
    unmatched_answer = 3210,
    turn_admitted = 3301,
    turn_refused = 3302,
    turn_settled = 3303,
    turn_unsettled = 3304,
    caller_refused = 3401,
    quota_keeper_started = 3402,
    quota_keeper_lost = 3403,
    quota_keeper_regained = 3404,
    route_unknown = 3405,
    permit_given_back = 3406,
    permit_node_heard = 3407,
};

struct event_entry {
    event_id id;
    event_level level;
    std::string_view name;
};

/// All events, ordered by number.
const std::vector<event_entry>& event_catalogue();
const event_entry& find_event(event_id id);

/// Occurrence of an event. State machines return it; the I/O code that drives them logs it.
struct event_record {
    event_id id;
    /// Pairs "key=value", separated by spaces.
    std::string fields;
};

}  // namespace tallyfold::logging
