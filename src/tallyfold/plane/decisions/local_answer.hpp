#pragma once
/// @file
/// Answers that a forwarder generates itself when it cannot relay one from a back end: status,
/// reason, Retry-After. Pure functions.
///
/// 502 and 504 mean that a back end may have run the request; all other generated answers mean that
/// none has.

#include <cstdint>
#include <optional>
#include <string>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/plane/decisions/attempt_failure.hpp"
#include "tallyfold/plane/decisions/request_outcome.hpp"
#include "tallyfold/plane/decisions/retry_after.hpp"
#include "tallyfold/plane/dispatch/messages.hpp"
#include "tallyfold/plane/tenants/permit_decision.hpp"
#include "tallyfold/plane/turns/begin_coordinator.hpp"

namespace tallyfold::forwarding {

/// Reason for which a request is refused before it is sent to a back end.
enum class refusal : std::uint8_t {
    no_configuration,
    /// No route matches, and the configuration is confirmed to be the newest.
    no_route,
    /// No route matches, but a newer configuration may have one.
    unconfirmed_route,
    /// The configuration was last confirmed too long ago, so any key may have been revoked.
    stale_keys,
    /// The key is unknown, and the configuration is confirmed to be the newest.
    unknown_key,
    /// The key is unknown, but a newer configuration may have it.
    unconfirmed_key,
    no_store,
    over_budget,
    unknown_turn,
    /// The turn stores did not answer in time.
    store_timeout,
    /// A resumed stream goes on only at the version that began it. No store knows which that is.
    unknown_stream,
    /// The stores did not tell the stream's version in time.
    stream_lookup_timeout,
    /// Streams of different versions have the identifier, or the content, of this one.
    ambiguous_stream,
    /// The route has no longer the service that began the stream.
    stream_service_replaced,
    /// No back end of the stream's version is listed.
    stream_version_gone,
    /// The requests of other callers take all memory that this node has for them.
    no_memory,
    /// The node stops before the request's deadline.
    stopping,
};

struct local_answer {
    unsigned status = 0;
    std::string reason;
    retry_after retry;
    /// Outcome of the request in the log and the metrics.
    request_outcome outcome = request_outcome::refused;
};

[[nodiscard]] local_answer answer_to(refusal why);
/// @param decision a decision that grants no permit
[[nodiscard]] local_answer answer_without_permit(const tenants::permit_decision& decision);

/// Refuses a request under which several back ends ended.
/// @param held time until it may be sent again
[[nodiscard]] local_answer answer_to_poison_request(duration held);
/// @param reason why the dispatcher refused the call a place at an engine
/// @param retry_after expected time until there is room
[[nodiscard]] local_answer answer_without_place(dispatch::place_reason reason,
                                                duration retry_after);

/// A route or key that this node does not have may exist in a newer configuration, so it is
/// reported as unknown only if the configuration is confirmed.
/// @param confirmed the configuration of this node is confirmed to be the newest
[[nodiscard]] refusal refusal_of_unknown_route(bool confirmed);
[[nodiscard]] refusal refusal_of_unknown_key(bool confirmed);
/// True if a revoked key could be accepted for longer than the operators allow.
/// @param proof_age time since the configuration was last confirmed to be the newest
/// @param revocation time within which a revoked key must be rejected
[[nodiscard]] bool keys_are_stale(duration proof_age, duration revocation);
/// @return nothing for an admitted turn
[[nodiscard]] std::optional<refusal> refusal_of(turns::begin_result begun);

/// State of a request after its last attempt.
struct final_request_state {
    /// A complete answer of a back end was relayed.
    bool answered = false;
    bool client_disconnected = false;
    /// The head of an answer was sent to the caller, so no other answer can follow.
    bool answer_started = false;
    /// A back end may have run the request.
    bool may_have_run = false;
    attempt_failure failure;
    /// The last attempt timed out.
    bool timed_out = false;
};

/// Outcome of a request for which sending was attempted.
struct request_result {
    request_outcome outcome = request_outcome::unknown;
    /// Reason for the log; may be empty.
    std::string reason;
    /// Generated answer; nothing if the caller already has an answer or has disconnected.
    std::optional<local_answer> answer;
};

[[nodiscard]] request_result result_after(const final_request_state& last);

}  // namespace tallyfold::forwarding
