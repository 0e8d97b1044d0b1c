#pragma once
/// @file
/// Serves one request of a caller: route, turn, back end, answer. Belongs to the loop thread.

#include <asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>

#include "tallyfold/plane/decisions/retry_policy.hpp"
#include "tallyfold/plane/forwarding/answer_rendering.hpp"
#include "tallyfold/plane/forwarding/forwarder_context.hpp"
#include "tallyfold/plane/forwarding/stream_pace.hpp"
#include "tallyfold/plane/forwarding/turn_session_shell.hpp"
#include "tallyfold/plane/http/event_stream.hpp"
#include "tallyfold/plane/http/whole_events.hpp"

namespace tallyfold::forwarding {

/// A request that was read whole.
struct caller_request {
    http::message_head head;
    std::string body;
    /// When its last byte was read.
    instant received{};
};

class request_relay : public std::enable_shared_from_this<request_relay> {
  public:
    request_relay(forwarder_context& context, http::connection_pointer caller,
                  caller_request request);

    /// @return true when the caller's connection may serve another request
    asio::awaitable<bool> serve();
    /// Ends what is under way: the process has to go.
    void cut_off();

  private:
    /// How one send to a back end ended.
    struct send_result {
        attempt_end end = attempt_end::not_sent;
        std::string reason;
        bool timed_out = false;
        /// The back end's connection ended: it doesn't work on the request any more.
        bool broke_off = false;
    };

    [[nodiscard]] duration time_left() const { return deadline_ - http::steady_now(); }
    /// Finds the route. @return false when the caller has its answer: there is none
    asio::awaitable<bool> find_route();
    /// Finds who calls. @return false when the caller has its answer: nobody may with its key
    asio::awaitable<bool> identify_caller();
    /// Gets the tenant's permit. @return false when the caller has its answer: there is none now
    asio::awaitable<bool> take_permit();
    /// The permit of a request that has run nowhere goes back.
    void give_back_unused_permit();
    /// Asks the directory for a newer configuration and takes it over. @return false when the
    /// directory is silent: what this node doesn't know may exist all the same
    asio::awaitable<bool> refresh_table();
    /// For log lines: by which configuration a call is decided, and what proves that it is new.
    [[nodiscard]] std::string describe_proof(duration waited) const;
    /// The route by the configuration at hand; null for none.
    [[nodiscard]] const routing::route* known_route() const;
    asio::awaitable<void> refuse_caller(unsigned status, std::string reason, retry_after again,
                                        duration waited);
    [[nodiscard]] tenants::tenant_name tenant_name() const;
    asio::awaitable<bool> begin_turn();
    asio::awaitable<void> run_attempts();
    [[nodiscard]] backend_question describe_for_choice() const;
    /// True when the request may go to a further back end.
    [[nodiscard]] bool may_move_on(const send_result& last) const;
    /// Waits until the node may send the call.
    asio::awaitable<void> enter_gate(const scheduling::call_features& call);
    void leave_gate();
    /// Waits a moment when every back end was full. @return false when it is given up instead
    asio::awaitable<bool> wait_for_room(const scheduling::call_features& call);
    /// Waits a moment for what a node that has just started still has to learn.
    asio::awaitable<void> wait_until_known();
    [[nodiscard]] bool knows_enough() const;
    /// Reads on to the end of an answer that isn't passed on, and keeps its connection.
    asio::awaitable<void> read_over(http::connection_pointer backend, std::string address,
                                    const answer_facts& facts);
    /// The request as it goes to a back end.
    [[nodiscard]] std::string render_for_backend(const attempt_marks& marks) const;
    asio::awaitable<send_result> send_to(chosen_backend backend);
    /// Relays an answer whose head is this request's own and says that it was run.
    asio::awaitable<send_result> take_answer(http::connection_pointer opened,
                                             chosen_backend backend, answer_facts facts,
                                             instant until);
    asio::awaitable<http::connection_pointer> open(const chosen_backend& backend,
                                                   send_result& result);
    /// The back end broke the call off before any byte of its answer.
    void note_break(const chosen_backend& backend);
    asio::awaitable<bool> read_matching_head(http::connection_pointer backend, instant until,
                                             answer_facts& facts, send_result& result);
    asio::awaitable<send_result> relay_answer(http::connection_pointer backend,
                                              const answer_facts& facts, instant until);
    asio::awaitable<send_result> relay_whole(http::connection_pointer backend, instant until);
    asio::awaitable<send_result> relay_stream(http::connection_pointer backend);
    asio::awaitable<void> answer(unsigned status, std::string reason, retry_after again);
    asio::awaitable<bool> write_to_caller(std::string bytes);
    [[nodiscard]] bool keeps_connection() const;
    void caller_left();
    void log_finish();
    [[nodiscard]] bool is_turn() const;
    [[nodiscard]] token_count generated_tokens() const;
    /// What the engine of the attempt under way holds of the request now.
    [[nodiscard]] turns::held_prompt held_now() const;
    void note_held();

    forwarder_context& context_;
    http::connection_pointer caller_;
    http::connection_pointer backend_;
    caller_request request_;
    request_facts facts_;
    std::shared_ptr<const routing::route_table> table_;
    const routing::route* route_ = nullptr;
    const routing::service* service_ = nullptr;
    /// Who calls; null where callers need no key.
    const routing::tenant* tenant_ = nullptr;
    bool holds_permit_ = false;
    instant deadline_{};
    /// The attempt under way.
    backend_call call_;
    std::optional<retry_policy> policy_;
    /// Level at which engines rank the request.
    std::int32_t urgency_ = 0;
    /// Body as it goes to back ends: with the line of turns before it.
    std::string outgoing_body_;
    http::event_stream_reader events_;
    /// What of a resumable stream the caller has.
    http::whole_events passed_;
    std::uint32_t continued_ = 0;
    std::optional<turn_session> turn_;
    bool gone_ = false;
    bool answer_started_ = false;
    bool answer_whole_ = false;
    /// The caller's answer has chunks, as its first back end's had.
    bool chunked_answer_ = true;
    bool caller_usable_ = true;
    /// For the log line.
    std::string backend_name_;
    std::uint32_t sends_ = 0;
    std::uint32_t waits_for_room_ = 0;
    bool in_gate_ = false;
    duration waited_{};
    stream_pace pace_;
    std::string outcome_ = "unknown";
    std::string reason_;
    unsigned status_ = 0;
    duration first_byte_{};
    token_count cached_tokens_ = 0;
};

}  // namespace tallyfold::forwarding
