#pragma once
/// @file
/// One attempt of a request at one back end: opens a connection, sends the request, reads the
/// matching answer and passes it to answer_relay. Reports the outcome to backend_registry. Used on
/// the loop thread only.

#include <asio/awaitable.hpp>
#include <string>

#include "tallyfold/plane/decisions/execution_record.hpp"
#include "tallyfold/plane/forwarding/answer_relay_shell.hpp"
#include "tallyfold/plane/forwarding/attempt_result.hpp"
#include "tallyfold/plane/forwarding/caller_channel_shell.hpp"
#include "tallyfold/plane/forwarding/forwarded_request.hpp"

namespace tallyfold::forwarding {

/// Parameters of one attempt.
struct attempt_parameters {
    chosen_backend backend;
    /// Priority level of the request at engines; 0 is the highest.
    std::int32_t urgency = 0;
    /// Reserves a part of the request's time for a further attempt.
    bool reserves_retry_time = false;
};

class backend_attempt {
  public:
    /// @param request, `execution`, `caller` and `answer` must outlive the attempt
    backend_attempt(forwarder_context& context, const forwarded_request& request,
                    execution_record& execution, caller_channel& caller, answer_relay& answer,
                    attempt_parameters parameters);

    /// Runs the attempt. Must be called at most once.
    asio::awaitable<attempt_result> run();
    /// Cancels a running attempt by aborting its connection.
    void abort();

  private:
    /// Takes an idle connection from the pool or opens a new one.
    /// @return null on failure; `result` holds the reason
    asio::awaitable<backend_connection_pointer> acquire_connection(attempt_result& result);
    /// Sends the request over the open connection and handles the answer.
    asio::awaitable<attempt_result> exchange();
    [[nodiscard]] std::string render_head(duration time_left) const;
    /// Reads answer heads until one matches this request. @return false when none did; `result`
    /// holds the reason
    asio::awaitable<bool> read_matching_head(instant until, answer_metadata& facts,
                                             attempt_result& result);
    /// Records an answer to another request.
    void log_unmatched_answer(const answer_metadata& facts) const;
    /// Reads and discards the rest of an answer. @return false when reading failed, or the answer
    /// is too long
    asio::awaitable<bool> drain_body(instant until);
    /// Handles an answer which proves that the back end did not run the request.
    asio::awaitable<attempt_result> handle_rejection(answer_metadata facts);
    /// Relays an answer to a request that may have run.
    asio::awaitable<attempt_result> handle_answer(answer_metadata facts, instant until);
    void finish_answered(const answer_metadata& facts);
    /// Returns the connection to the pool if it is reusable, and closes it otherwise.
    void keep_connection(const answer_metadata& facts);
    /// Aborts the connection after an attempt without an answer. Reports a connection that the back
    /// end closed to the directory, which relays the failure to other nodes.
    void discard_connection(attempt_result& result);
    void record_failure();
    /// Records in the registry which prefixes of the request the engine has cached.
    void record_cached_prompt();

    forwarder_context& context_;
    const forwarded_request& request_;
    execution_record& execution_;
    caller_channel& caller_;
    answer_relay& answer_;
    attempt_parameters parameters_;
    backend_connection_pointer connection_;
    backend_call call_;
};

}  // namespace tallyfold::forwarding
