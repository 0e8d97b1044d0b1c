#pragma once
/// @file
/// One attempt of a request at one back end: opens a connection, sends the request, finds the
/// answer that is this request's own, and has it relayed. Tells the registry of back ends what the
/// attempt shows of the back end. Belongs to the loop thread.

#include <asio/awaitable.hpp>
#include <string>

#include "tallyfold/plane/forwarding/answer_relay_shell.hpp"
#include "tallyfold/plane/forwarding/attempt_result.hpp"
#include "tallyfold/plane/forwarding/caller_channel_shell.hpp"
#include "tallyfold/plane/forwarding/forwarded_request.hpp"

namespace tallyfold::forwarding {

/// What one attempt is to do.
struct attempt_order {
    chosen_backend backend;
    /// Level at which engines rank the request; 0 goes first.
    std::int32_t urgency = 0;
    /// A part of the request's time is to be left for a further attempt.
    bool leaves_time = false;
};

class backend_attempt {
  public:
    /// @param request, `caller` and `answer` have to outlive the attempt
    backend_attempt(forwarder_context& context, const forwarded_request& request,
                    caller_channel& caller, answer_relay& answer, attempt_order order);

    /// To be called once.
    asio::awaitable<attempt_result> run();
    /// Ends it from outside: nobody waits for the answer any more.
    void abort();

  private:
    /// @return null when no connection could be had: the result says why
    asio::awaitable<http::connection_pointer> open(attempt_result& result);
    /// Sends the request over the open connection and deals with the answer.
    asio::awaitable<attempt_result> exchange();
    [[nodiscard]] std::string render_request(duration time_left) const;
    /// Reads answers until one is this request's own. @return false when none came
    asio::awaitable<bool> read_matching_head(instant until, answer_facts& facts,
                                             attempt_result& result);
    /// Reads the rest of an answer that isn't relayed. @return false when it broke off
    asio::awaitable<bool> drain_body(instant until);
    /// The back end proved that it did not run the request.
    asio::awaitable<attempt_result> take_rejection(answer_facts facts);
    /// Relays an answer that says that the request was run.
    asio::awaitable<attempt_result> take_answer(answer_facts facts, instant until);
    void finish_answered(const answer_facts& facts);
    /// Keeps the connection for a further request where both ends allow it.
    void keep_connection(const answer_facts& facts);
    /// No answer came: gives the connection up, and tells other nodes of one that was closed.
    void give_up_connection(attempt_result& result);
    void note_failure();
    /// Tells the registry what the engine holds of the request now.
    void note_held_prompt();

    forwarder_context& context_;
    const forwarded_request& request_;
    caller_channel& caller_;
    answer_relay& answer_;
    attempt_order order_;
    http::connection_pointer connection_;
    backend_call call_;
};

}  // namespace tallyfold::forwarding
