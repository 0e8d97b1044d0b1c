#pragma once
/// @file
/// Sends one request to back ends until one answers it or decisions/retry_policy gives it up:
/// waits for admission, chooses, attempts, backs off. Belongs to the loop thread.

#include <asio/awaitable.hpp>
#include <optional>

#include "tallyfold/plane/decisions/own_answer.hpp"
#include "tallyfold/plane/decisions/retry_policy.hpp"
#include "tallyfold/plane/forwarding/answer_relay_shell.hpp"
#include "tallyfold/plane/forwarding/backend_attempt_shell.hpp"
#include "tallyfold/plane/forwarding/finish_line.hpp"

namespace tallyfold::forwarding {

class send_loop {
  public:
    /// @param request, `caller` and `answer` have to outlive the loop
    send_loop(forwarder_context& context, const forwarded_request& request, caller_channel& caller,
              answer_relay& answer);

    /// To be called once; leave_admission() has to follow.
    /// @return how the request ended, and the answer that the caller still has to get
    asio::awaitable<request_end> run();
    /// Ends the attempt under way: nobody waits for its answer any more.
    void abort_attempt();
    /// Lets the next call that waits be sent.
    void leave_admission();

    [[nodiscard]] bool may_have_run() const { return policy_.may_have_run(); }
    [[nodiscard]] const send_statistics& statistics() const { return statistics_; }

  private:
    [[nodiscard]] backend_question describe_for_choice() const;
    [[nodiscard]] std::int32_t urgency_of(const scheduling::call_features& call) const;
    asio::awaitable<void> wait_for_admission(const scheduling::call_features& call);
    /// Waits until back ends that were full are asked again. @return false when the request is
    /// given up instead
    asio::awaitable<bool> back_off(const scheduling::call_features& call);
    asio::awaitable<attempt_result> attempt(chosen_backend backend);
    /// Logs a failed attempt and decides what follows.
    next_step note_failure(const chosen_backend& backend, const attempt_result& failed);
    [[nodiscard]] request_end end_with(const attempt_result& last) const;

    forwarder_context& context_;
    const forwarded_request& request_;
    caller_channel& caller_;
    answer_relay& answer_;
    retry_policy policy_;
    /// The attempt under way.
    std::optional<backend_attempt> attempt_;
    /// Counts among the calls that the node has sent.
    bool admitted_ = false;
    send_statistics statistics_;
};

}  // namespace tallyfold::forwarding
