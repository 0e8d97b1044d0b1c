#pragma once
/// @file
/// Messages between forwarders and the directory nodes that dispatch calls to engines. All need
/// format v4. A lost message costs at most the length of a lease.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "tallyfold/base/common/types.hpp"
#include "tallyfold/scheduling/cache_map.hpp"

namespace tallyfold::dispatch {

/// Number of a call within one process of a forwarder; rises with each request for a place.
using call_number = std::uint64_t;

/// Time left of a program without a time objective, in milliseconds.
constexpr std::int32_t no_objective_ms = 3'600'000;
/// Maximum number of engines in each list of a place_request.
constexpr std::size_t max_listed_engines = 8;

/// Asks for a place (a slot of an engine) for one call. A repeated request gets the same answer.
struct place_request {
    node_name node;
    /// Identifies the node's process; differs after each restart.
    std::uint64_t process_id = 0;
    call_number call = 0;
    std::string service;
    /// Zone of the forwarder.
    std::string zone;
    /// Empty when callers need no key.
    std::string tenant;
    double tenant_weight = 1;
    /// 0 is the highest priority; the tenant's is compared first.
    std::int32_t tenant_priority = 0;
    std::string route;
    std::int32_t route_priority = 0;
    /// Hash of the program's identifier; 0 when the call belongs to none.
    std::uint64_t program = 0;
    /// True when an earlier turn of the program has run.
    bool program_running = false;
    /// Time until the program's objective, in milliseconds; negative when it is late.
    std::int32_t time_left_ms = no_objective_ms;
    /// Longest time that the call may wait for a place, in milliseconds.
    std::uint32_t longest_wait_ms = 0;
    std::uint32_t prompt_tokens = 0;
    /// Upper bound of the tokens that the call generates.
    std::uint32_t max_tokens = 0;
    /// Tokens that the program has used before this call.
    std::uint64_t used_tokens = 0;
    /// End points of the prompt's prefixes, shortest first.
    std::vector<scheduling::prefix_point> prompt;
    /// Engines known to hold a prefix of the prompt, longest first.
    std::vector<scheduling::cached_prefix> holders;
    /// Engines that must not be selected: tried or ejected ones.
    std::vector<backend_name> excluded;
    /// Engines to which the forwarder has an idle connection.
    std::vector<backend_name> connected;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(node, process_id, call, service, zone, tenant, tenant_weight, tenant_priority,
                route, route_priority, program, program_running, time_left_ms, longest_wait_ms,
                prompt_tokens, max_tokens, used_tokens, prompt, holders, excluded, connected);
    }
};

enum class place_outcome : std::uint8_t {
    /// The call may be sent to `engine` now.
    granted,
    /// The call is queued; another answer follows.
    waiting,
    refused,
    /// The directory node knows no engines of the service, or, with `slots` above 0, none that the
    /// call may use; the forwarder decides alone.
    unknown_service,
};

enum class place_reason : std::uint8_t {
    none,
    /// The expected wait exceeds the call's longest wait.
    wait_too_long,
    /// The expected wait exceeds what the objective of a new program allows.
    new_program,
    /// The queue has reached its maximum length.
    queue_full,
    /// Granted beyond the engine's slots, because the call has waited its longest wait.
    longest_wait_reached,
};

/// Text of the reason in logs.
constexpr std::string_view text_of(place_reason reason) {
    switch (reason) {
        case place_reason::wait_too_long:
            return "wait_too_long";
        case place_reason::new_program:
            return "new_program";
        case place_reason::queue_full:
            return "queue_full";
        case place_reason::longest_wait_reached:
            return "longest_wait_reached";
        case place_reason::none:
            break;
    }
    return "none";
}

/// Answer to a place_request.
struct place_answer {
    std::uint64_t process_id = 0;
    call_number call = 0;
    place_outcome outcome = place_outcome::unknown_service;
    place_reason reason = place_reason::none;
    /// Set with `granted`.
    backend_name engine;
    /// Tokens of the prompt that the engine is estimated to have cached.
    std::uint32_t cached_tokens = 0;
    /// Expected time until the call gets a place, in milliseconds; set with `waiting` and
    /// `refused`.
    std::uint32_t expected_wait_ms = 0;
    /// Time that the call has waited, in milliseconds.
    std::uint32_t waited_ms = 0;
    /// Set with `refused`; the forwarder adds jitter.
    std::uint32_t retry_after_ms = 0;
    /// Running calls and slots of the engine group.
    std::uint32_t running = 0;
    std::uint32_t slots = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(process_id, call, outcome, reason, engine, cached_tokens, expected_wait_ms,
                waited_ms, retry_after_ms, running, slots);
    }
};

enum class release_outcome : std::uint8_t {
    answered,
    failed,
    /// The call was not sent, or its request for a place is withdrawn.
    not_sent,
};

/// End of one call, and what was observed of its engine.
struct released_call {
    call_number call = 0;
    std::string service;
    release_outcome outcome = release_outcome::not_sent;
    /// Empty when the call was not sent.
    backend_name engine;
    std::uint32_t generated_tokens = 0;
    std::uint32_t events = 0;
    /// Time from the sending to the first event, in microseconds; 0 without one.
    std::uint32_t first_event_us = 0;
    /// Mean time between two events, in microseconds; 0 when unknown.
    std::uint32_t gap_us = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(call, service, outcome, engine, generated_tokens, events, first_event_us, gap_us);
    }
};

/// Releases places. Calls that the receiver doesn't know are ignored.
struct place_release {
    node_name node;
    std::uint64_t process_id = 0;
    std::vector<released_call> calls;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(node, process_id, calls);
    }
};

/// A call that runs at an engine.
struct running_call {
    call_number call = 0;
    std::string service;
    backend_name engine;
    /// Hash of the program's identifier, as in place_request.
    std::uint64_t program = 0;
    /// Tokens of the prompt and the longest answer.
    std::uint32_t tokens = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(call, service, engine, program, tokens);
    }
};

/// Renews the leases of running calls, and makes calls known that were sent without a grant.
struct place_renewal {
    node_name node;
    std::uint64_t process_id = 0;
    std::vector<running_call> calls;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(node, process_id, calls);
    }
};

}  // namespace tallyfold::dispatch
