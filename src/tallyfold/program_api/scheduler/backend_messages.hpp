#pragma once
/// @file
/// Orders from a scheduler to back ends, and reports from back ends to the scheduler.
/// backend_client transports them over HTTP; the simulator passes them directly.

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "tallyfold/base/common/types.hpp"
#include "tallyfold/program_api/journal/types.hpp"
#include "tallyfold/scheduling/backend_pool.hpp"
#include "tallyfold/scheduling/cache_map.hpp"

namespace tallyfold::scheduler {

/// Globally unique key of one attempt of one call.
struct attempt_key {
    program_id program;
    sequence_number sequence = 0;
    std::uint32_t attempt = 0;

    auto operator<=>(const attempt_key&) const = default;
    /// Key in the form "program/sequence/attempt", as sent to back ends.
    [[nodiscard]] std::string text() const {
        return program + "/" + std::to_string(sequence) + "/" + std::to_string(attempt);
    }
};

/// Fencing token: a back end refuses an epoch lower than the highest it has received.
struct ownership_fence {
    shard_id shard = 0;
    lease_epoch epoch = 0;
};

/// Time on a back end's monotonic clock, in microseconds. Limits the start
/// of an attempt: a delayed attempt must not start after a later attempt has begun.
using backend_clock = std::int64_t;
constexpr backend_clock no_start_deadline = 0;

struct start_stream {
    backend_name backend;
    attempt_key key;
    ownership_fence fence;
    std::string model;
    std::shared_ptr<const std::vector<journal::message>> prompt;
    /// Pieces of the answer already delivered; generation continues after them.
    std::vector<std::string> prefix;
    token_count max_tokens = 0;
    std::int32_t priority = 0;
    backend_clock not_after = no_start_deadline;
};

/// Requests the rest of a stream. An engine without this attempt must not start it.
struct resume_stream {
    backend_name backend;
    attempt_key key;
    /// Number of pieces already received.
    std::uint64_t offset = 0;
};

struct cancel_stream {
    backend_name backend;
    attempt_key key;
};

struct run_request {
    backend_name backend;
    attempt_key key;
    ownership_fence fence;
    journal::call_kind kind = journal::call_kind::app;
    std::string operation;
    std::string argument;
    bool repeatable = true;
    duration timeout{};
    backend_clock not_after = no_start_deadline;
};

/// Asks whether an attempt ran, and prevents it from starting if it has not.
struct seal_request {
    backend_name backend;
    attempt_key key;
};

struct retain_cache {
    backend_name backend;
    program_id program;
    double value = 0;
    /// Time after which the engine may discard the hint.
    duration lease{};
};

struct release_cache {
    backend_name backend;
    std::vector<program_id> programs;
};

struct poll_status {
    backend_name backend;
    /// Number of the newest cache event received.
    std::uint64_t after_event = 0;
};

struct poll_members {};

using backend_order =
    std::variant<start_stream, resume_stream, cancel_stream, run_request, seal_request,
                 retain_cache, release_cache, poll_status, poll_members>;

struct stream_pieces {
    attempt_key key;
    std::uint64_t offset = 0;
    std::vector<std::string> pieces;
};

struct stream_finished {
    attempt_key key;
    token_count prompt_tokens = 0;
    token_count completion_tokens = 0;
    token_count cached_tokens = 0;
};

enum class failure_kind : std::uint8_t {
    /// The back end reported that it did not start the work.
    refused,
    /// The back end did not start the work because it is shutting down.
    leaving,
    /// No connection was made, so the work was not delivered.
    unreachable,
    /// The connection failed or timed out after the work was delivered.
    broken,
    /// The back end reported that the work failed.
    failed,
    /// The back end has no stream to resume for this attempt.
    unknown_stream,
};

struct attempt_failed {
    attempt_key key;
    failure_kind kind = failure_kind::broken;
};

struct request_answered {
    attempt_key key;
    std::string answer;
};

struct seal_answered {
    attempt_key key;
    /// False if the attempt has not run and can no longer start.
    bool ran = false;
    std::string answer;
};

struct seal_failed {
    attempt_key key;
};

struct release_confirmed {
    backend_name backend;
    std::vector<program_id> programs;
};

struct cache_event {
    std::uint64_t number = 0;
    bool stored = false;
    scheduling::prefix_point point;
};

struct status_answered {
    backend_name backend;
    scheduling::load_report load;
    std::vector<cache_event> events;
    /// Clock of the back end at the time of the response.
    backend_clock clock = 0;
};

struct status_failed {
    backend_name backend;
};

struct members_answered {
    std::vector<scheduling::backend_member> members;
};

using backend_report =
    std::variant<stream_pieces, stream_finished, attempt_failed, request_answered, seal_answered,
                 seal_failed, release_confirmed, status_answered, status_failed, members_answered>;

}  // namespace tallyfold::scheduler
