#pragma once
/// @file
/// Sends one request to back ends until one answers or decisions/retry_policy allows no further
/// attempt: waits for admission, selects a back end, attempts and backs off. Used on the loop
/// thread only.

#include <asio/awaitable.hpp>
#include <optional>

#include "tallyfold/plane/decisions/execution_record.hpp"
#include "tallyfold/plane/decisions/local_answer.hpp"
#include "tallyfold/plane/decisions/retry_policy.hpp"
#include "tallyfold/plane/forwarding/answer_relay_shell.hpp"
#include "tallyfold/plane/forwarding/backend_attempt_shell.hpp"
#include "tallyfold/plane/forwarding/call_place_shell.hpp"
#include "tallyfold/plane/forwarding/finished_request.hpp"
#include "tallyfold/plane/forwarding/poison_check_shell.hpp"

namespace tallyfold::forwarding {

class send_loop {
  public:
    /// @param request, `execution`, `poison`, `caller` and `answer` must outlive the loop
    /// @param used_tokens tokens that the program used before the request
    send_loop(forwarder_context& context, const forwarded_request& request,
              execution_record& execution, poison_check& poison, caller_channel& caller,
              answer_relay& answer, token_count used_tokens);

    /// Must be called at most once, and be followed by leave_admission().
    /// @return the outcome, and the answer to write if none was relayed
    asio::awaitable<request_result> run();
    /// Cancels the current attempt, or the wait for a place.
    void abort_attempt();
    /// Releases the admission slot, if held, so that the next waiting call can be sent.
    void leave_admission();

    [[nodiscard]] bool has_open_attempt() const { return attempt_.has_value(); }
    [[nodiscard]] const send_statistics& statistics() const { return statistics_; }

  private:
    [[nodiscard]] selection_request make_selection_request() const;
    [[nodiscard]] std::int32_t urgency_of(const scheduling::call_features& call) const;
    /// Obtains a place of a dispatcher for the next attempt if one is needed, and waits for
    /// admission otherwise or when the dispatcher does not answer.
    /// @return false when the request is refused
    asio::awaitable<bool> obtain_place(const selection_request& question);
    /// True when the next attempt has a place of a dispatcher.
    [[nodiscard]] bool has_place() const;
    /// The engine of the place; nothing when it has left.
    [[nodiscard]] std::optional<chosen_backend> dispatched_backend() const;
    /// Gives back a place that is not used.
    void give_back_place();
    /// Back end for the next attempt: the dispatcher's, or one selected here.
    std::optional<chosen_backend> select_backend(const selection_request& question);
    void record_place();
    void log_refused_place() const;
    [[nodiscard]] request_result refused_place() const;
    asio::awaitable<void> wait_for_admission(const scheduling::call_features& call);
    /// Releases the admission slot and pauses before full back ends are tried again. @return false
    /// when the request must not be retried
    asio::awaitable<bool> back_off();
    asio::awaitable<attempt_result> attempt(chosen_backend backend);
    /// Finds out whether the back end ended under the request.
    asio::awaitable<void> examine(chosen_backend backend, attempt_result failed, instant sent);
    /// Result of a request that must not be sent, or not again, since back ends end under it.
    [[nodiscard]] request_result poison_result(attempt_result last);
    /// Logs a failed attempt and determines the next step.
    next_step handle_failure(const chosen_backend& backend, const attempt_result& failed);
    [[nodiscard]] request_result make_request_result(const attempt_result& last) const;

    forwarder_context& context_;
    const forwarded_request& request_;
    execution_record& execution_;
    poison_check& poison_;
    caller_channel& caller_;
    answer_relay& answer_;
    retry_policy policy_;
    /// The current attempt.
    std::optional<backend_attempt> attempt_;
    call_place place_;
    /// Latest answer of a dispatcher.
    place_result placed_;
    /// True while the call holds a slot of the admission queue.
    bool admitted_ = false;
    send_statistics statistics_;
};

}  // namespace tallyfold::forwarding
