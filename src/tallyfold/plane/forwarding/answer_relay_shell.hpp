#pragma once
/// @file
/// The way of back ends' answers to one caller, over all attempts of its request: small answers
/// whole, so that one that breaks off can be tried again; streams as they come. A stream of whole
/// events may be resumed by a further answer. Settles the turn before its answer ends. Belongs to
/// the loop thread.

#include <asio/awaitable.hpp>
#include <string>

#include "tallyfold/plane/forwarding/attempt_result.hpp"
#include "tallyfold/plane/forwarding/caller_channel_shell.hpp"
#include "tallyfold/plane/forwarding/forwarded_request.hpp"
#include "tallyfold/plane/forwarding/stream_pace.hpp"
#include "tallyfold/plane/forwarding/turn_session_shell.hpp"
#include "tallyfold/plane/http/event_stream.hpp"
#include "tallyfold/plane/http/whole_events.hpp"

namespace tallyfold::forwarding {

class answer_relay {
  public:
    /// @param request, `caller` and `turn` have to outlive the relay
    /// @param turn null for a request that is none
    answer_relay(forwarder_context& context, const forwarded_request& request,
                 caller_channel& caller, turn_session* turn);

    /// A back end has begun an answer that will be relayed.
    void note_first_byte(unsigned status, instant now);
    /// Relays the answer whose head `connection` has read.
    /// @param backend gives it
    /// @param until an answer that is relayed whole may take so long
    asio::awaitable<attempt_result> relay(http::connection_pointer connection, backend_name backend,
                                          instant until);
    /// Tells the engines' learned pace of a call that was answered whole. @param sent when
    void learn_pace(instant sent, instant now);

    [[nodiscard]] answer_progress progress() const;
    /// True when the caller has a part of an answer and gets no more.
    [[nodiscard]] bool cut_short() const { return started_ && !whole_; }
    /// Of the last answer that was relayed; 0 for none.
    [[nodiscard]] unsigned status() const { return status_; }
    /// From the request's last byte to the answer's first; zero without an answer.
    [[nodiscard]] duration first_byte() const { return first_byte_; }
    [[nodiscard]] std::uint64_t events() const { return events_.events(); }
    /// Identifier of the last event that the caller has; empty without one.
    [[nodiscard]] const std::string& last_event() const { return passed_.last_id(); }
    [[nodiscard]] token_count generated_tokens() const;
    /// What an engine that reads and answers the request holds of it now; empty for other services.
    [[nodiscard]] turns::cached_prompt held_by(const backend_name& backend) const;

  private:
    asio::awaitable<attempt_result> relay_whole(http::connection_pointer connection, instant until);
    asio::awaitable<attempt_result> relay_stream(http::connection_pointer connection,
                                                 backend_name backend);
    /// Makes ready for a back end's stream. @return the head, when it is the caller's first
    std::string begin_stream(const http::message_head& head);
    /// The piece in the form in which the caller's answer is framed.
    /// @param complete it is the last one
    [[nodiscard]] std::string render_piece(const std::string& piece, bool complete) const;
    /// Leaves of a piece what the caller can have now. @return false when an event is missing
    bool keep_whole_events(std::string& piece, bool complete);
    /// Counts the piece's events.
    void learn_events(const std::string& piece, const backend_name& backend);
    /// Makes the end of the turn durable, if one is open. @return false when that failed
    /// @param backend has to outlive the call
    asio::awaitable<bool> settle_turn(const backend_name& backend);

    forwarder_context& context_;
    const forwarded_request& request_;
    caller_channel& caller_;
    turn_session* turn_;
    http::event_stream_reader events_;
    /// What of a resumable stream the caller has.
    http::whole_events passed_;
    stream_pace pace_;
    bool started_ = false;
    bool whole_ = false;
    /// The caller's answer has chunks, as its first back end's had.
    bool chunked_ = true;
    unsigned status_ = 0;
    duration first_byte_{};
};

}  // namespace tallyfold::forwarding
