#pragma once
/// @file
/// Serves one request of a caller, stage by stage: waits until the node is ready, admits the caller
/// (caller_admission), begins the turn (turn_session), sends (send_loop with a backend_attempt a
/// time), relays the answer (answer_relay) and logs how it ended. Belongs to the loop thread.

#include <asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>

#include "tallyfold/plane/decisions/own_answer.hpp"
#include "tallyfold/plane/forwarding/answer_relay_shell.hpp"
#include "tallyfold/plane/forwarding/answer_rendering.hpp"
#include "tallyfold/plane/forwarding/caller_admission_shell.hpp"
#include "tallyfold/plane/forwarding/caller_channel_shell.hpp"
#include "tallyfold/plane/forwarding/forwarded_request.hpp"
#include "tallyfold/plane/forwarding/send_loop_shell.hpp"
#include "tallyfold/plane/forwarding/turn_session_shell.hpp"

namespace tallyfold::forwarding {

/// A request that was read whole.
struct caller_request {
    http::message_head head;
    std::string body;
    /// When its last byte was read.
    instant received{};
};

/// Held by a shared pointer from before serve() until it ends.
class request_relay : public std::enable_shared_from_this<request_relay> {
  public:
    request_relay(forwarder_context& context, http::connection_pointer caller,
                  caller_request request);

    /// To be called once.
    /// @return true when the caller's connection may serve another request
    asio::awaitable<bool> serve();
    /// Ends what is under way: the process has to go.
    void cut_off();

  private:
    /// True once the node knows routes, back ends and stores.
    [[nodiscard]] bool is_ready() const;
    /// Waits a moment for what a node that has just started still has to learn.
    asio::awaitable<void> wait_until_ready();
    /// Serves a request whose route and caller are known.
    asio::awaitable<void> serve_admitted();
    [[nodiscard]] forwarded_request make_forwarded();
    void watch_caller();
    void on_client_disconnected();
    /// Begins the turn and takes the tenant's permit.
    /// @return the answer of a request that is refused
    asio::awaitable<std::optional<own_answer>> begin();
    asio::awaitable<std::optional<own_answer>> begin_turn();
    [[nodiscard]] bool is_turn() const;
    asio::awaitable<void> send();
    asio::awaitable<void> refuse(const own_answer& answer);
    /// Returns what a request that was not answered, or has not run, still holds.
    void release();
    void log_finish() const;

    forwarder_context& context_;
    caller_request request_;
    request_facts facts_;
    caller_channel caller_;
    caller_admission admission_;
    /// From here on set as the stages are reached.
    std::optional<forwarded_request> forwarded_;
    std::optional<turn_session> turn_;
    std::optional<answer_relay> answer_;
    std::optional<send_loop> sending_;
    request_end end_;
};

}  // namespace tallyfold::forwarding
