#pragma once
/// @file
/// Why one attempt at a back end failed: typed for decisions, turned into text for the log, the
/// metrics and the caller's answer. Pure.

#include <cstdint>
#include <string>
#include <string_view>

namespace tallyfold::forwarding {

enum class failure_kind : std::uint8_t {
    /// The client disconnected before anything was sent; has no text.
    none,
    /// There was no attempt: no back end of the service can be given the request.
    no_backend,
    /// Failures of the connection while connecting, sending the request, reading the answer's
    /// head, reading its body.
    connect,
    write,
    answer_head,
    body,
    /// The request's deadline was over before it was sent.
    no_time_left,
    /// The back end that was to resume a stream refused.
    resume_refused,
    /// A success without the back end's signature.
    unsigned_answer,
    /// An answer to another request stood before the one that was due, and broke off.
    surplus_answer,
    /// Too many answers to other requests stood before the one that was due.
    surplus_answers,
    /// The stream left an event out.
    event_missing,
    /// No majority of the stores took the end of the turn.
    unsettled,
    /// The client disconnected while its answer was relayed.
    client_disconnected,
    /// Another incarnation than the one that was chosen answered; it ran nothing.
    other_incarnation,
    /// The back end proved that it did not run the request.
    not_executed,
};

struct attempt_failure {
    failure_kind kind = failure_kind::none;
    /// Name of the connection's failure, as http::name_of() gives it; empty for kinds that have
    /// none. For the text alone.
    std::string_view connection = {};
};

/// The failure's text in log lines, in the label of the attempts' counter, and in answers.
[[nodiscard]] std::string text_of(const attempt_failure& failure);

}  // namespace tallyfold::forwarding
