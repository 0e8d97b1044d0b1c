#pragma once
/// @file
/// Reason why an attempt at a back end failed: typed for decisions, as text for the log, the
/// metrics and the answer to the caller. Pure functions.

#include <cstdint>
#include <string>
#include <string_view>

namespace tallyfold::forwarding {

enum class failure_kind : std::uint8_t {
    /// The client disconnected before anything was sent; has no text.
    none,
    /// No attempt was made: no back end of the service is eligible for the request.
    no_backend,
    /// Connection failures: while connecting, sending the request, reading the head of the answer,
    /// reading its body.
    connect,
    write,
    answer_head,
    body,
    /// The deadline of the request passed before it was sent.
    no_time_left,
    /// The back end refused to resume a stream.
    resume_refused,
    /// A successful answer lacked the signature of the back end.
    unsigned_answer,
    /// An answer to another request preceded the expected one and was incomplete.
    unmatched_answer_incomplete,
    /// Too many answers to other requests preceded the expected one.
    too_many_unmatched_answers,
    /// The body of the answer ended where it can't be whole.
    body_truncated,
    /// An event is missing from the stream.
    event_missing,
    /// No room for the events of the stream that have to be kept.
    no_memory,
    /// No majority of the stores confirmed the end of the turn.
    turn_end_unconfirmed,
    /// The client disconnected while its answer was being relayed.
    client_disconnected,
    /// A process other than the selected incarnation answered; it did not run the request.
    other_incarnation,
    /// The back end proved that it did not run the request.
    not_executed,
    /// The node reached the cut-off of its shutdown.
    shutdown,
    /// Several back ends ended while they ran the request.
    poison_request,
};

struct attempt_failure {
    failure_kind kind = failure_kind::none;
    /// Name of the connection error, from http::name_of(); empty for other kinds. Used only in the
    /// text.
    std::string_view connection = {};
};

/// True when the connection failed after the request was sent, so that its back end may have ended.
[[nodiscard]] bool is_connection_loss(failure_kind kind);

/// Text of the failure in log lines, in the label of the attempt counter and in answers.
[[nodiscard]] std::string text_of(const attempt_failure& failure);

}  // namespace tallyfold::forwarding
