#pragma once
/// @file
/// Serves one request of a caller in stages: waits until the node is ready, admits the caller
/// (caller_admission), begins the turn (turn_session), sends the request (send_loop, one
/// backend_attempt at a time), relays the answer (answer_relay) and logs the outcome. Used on the
/// loop thread only.

#include <asio/awaitable.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>

#include "tallyfold/plane/decisions/local_answer.hpp"
#include "tallyfold/plane/forwarding/answer_relay_shell.hpp"
#include "tallyfold/plane/forwarding/answer_rendering.hpp"
#include "tallyfold/plane/forwarding/caller_admission_shell.hpp"
#include "tallyfold/plane/forwarding/caller_channel_shell.hpp"
#include "tallyfold/plane/forwarding/cut_off_request.hpp"
#include "tallyfold/plane/forwarding/forwarded_request.hpp"
#include "tallyfold/plane/forwarding/poison_check_shell.hpp"
#include "tallyfold/plane/forwarding/send_loop_shell.hpp"
#include "tallyfold/plane/forwarding/stream_session_shell.hpp"
#include "tallyfold/plane/forwarding/turn_session_shell.hpp"

namespace tallyfold::forwarding {

/// A completely read request.
struct caller_request {
    http::message_head head;
    std::string body;
    /// When the last byte was read.
    instant received{};
    /// Connection that the request came from, with the memory reserved for it.
    resources::client_session_pointer client;
    /// Reserved memory of the connection and the request without its body, in bytes.
    std::uint64_t fixed_bytes = 0;
};

/// Must be owned by a shared pointer before serve() is called.
class request_relay : public std::enable_shared_from_this<request_relay> {
  public:
    request_relay(forwarder_context& context, http::connection_pointer caller,
                  caller_request request);

    /// Must be called at most once.
    /// @return true when the caller's connection may serve another request
    asio::awaitable<bool> serve();
    /// Ends the request at the cut-off of a shutdown as decisions/request_cut_off decides. A
    /// request that is not awaited is never sent to a back end afterwards.
    /// @return state and decision for the log
    cut_off_request cut_off();
    /// Aborts the request at the end of a shutdown, without an answer.
    void abort_request();

  private:
    /// Runs the stages of the request.
    asio::awaitable<void> run_stages();
    [[nodiscard]] pending_request_state pending_state() const;
    asio::awaitable<void> write_cut_off_answer(local_answer answer);
    asio::awaitable<void> wait_for_cut_off_answer();
    /// True once the node has a configuration, a list of back ends and a store table.
    [[nodiscard]] bool is_ready() const;
    /// Waits for is_ready(), at most time_budget::startup_wait.
    asio::awaitable<void> wait_until_ready();
    /// Serves a request whose route and tenant were found.
    asio::awaitable<void> serve_admitted();
    /// False when a shutdown would cut the request off before its deadline.
    [[nodiscard]] bool may_send_before_cut_off() const;
    /// Finds out where the request may go on with the stream that it resumes, if it resumes one.
    /// @return the answer when the request is refused
    asio::awaitable<std::optional<local_answer>> find_stream_origin();
    [[nodiscard]] forwarded_request make_forwarded_request();
    /// Name of the service that serves the request.
    [[nodiscard]] const std::string& choose_service();
    void watch_caller();
    void on_client_disconnected();
    /// Begins the turn and acquires the tenant's permit.
    /// @return the answer when the request is refused
    asio::awaitable<std::optional<local_answer>> begin_turn_and_take_permit();
    asio::awaitable<std::optional<local_answer>> begin_turn();
    /// Reserves the memory of a turn whose history is known.
    [[nodiscard]] bool reserve_turn(std::size_t history_bytes);
    [[nodiscard]] bool is_turn() const;
    asio::awaitable<void> send();
    asio::awaitable<void> refuse(const local_answer& answer);
    /// Returns the permit of a request that did not run, and settles a turn that is still open.
    void release_reservations();
    void log_finish() const;

    forwarder_context& context_;
    caller_request request_;
    request_metadata facts_;
    execution_record execution_;
    caller_channel caller_;
    caller_admission admission_;
    /// The following members are set as their stage is reached.
    std::optional<stream_session> stream_;
    std::optional<forwarded_request> forwarded_;
    std::optional<poison_check> poison_;
    std::optional<turn_session> turn_;
    std::optional<answer_relay> answer_;
    std::optional<send_loop> send_loop_;
    request_result end_;
    /// The request was ended by cut_off(), and logged.
    bool cut_off_ = false;
    bool writes_cut_off_answer_ = false;
    asio::steady_timer cut_off_answer_written_;
};

}  // namespace tallyfold::forwarding
