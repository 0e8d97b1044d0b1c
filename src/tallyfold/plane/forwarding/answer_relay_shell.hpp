#pragma once
/// @file
/// Relays back ends' answers to one caller, over all attempts of its request. Small answers are
/// buffered, so that the request can be retried if one breaks off; others are streamed. An event
/// stream of a resumable route may be continued by a further attempt. Settles the turn before the
/// end of its answer is written, and writes that end only for a body which may be whole
/// (http::received_body). Used on the loop thread only.

#include <asio/awaitable.hpp>
#include <functional>
#include <optional>
#include <string>

#include "tallyfold/plane/forwarding/answer_memory.hpp"
#include "tallyfold/plane/forwarding/attempt_result.hpp"
#include "tallyfold/plane/forwarding/caller_channel_shell.hpp"
#include "tallyfold/plane/forwarding/forwarded_request.hpp"
#include "tallyfold/plane/forwarding/stream_pace.hpp"
#include "tallyfold/plane/forwarding/stream_session_shell.hpp"
#include "tallyfold/plane/forwarding/turn_session_shell.hpp"
#include "tallyfold/plane/http/body_completeness.hpp"
#include "tallyfold/plane/http/event_boundary_filter.hpp"
#include "tallyfold/plane/http/event_stream.hpp"

namespace tallyfold::forwarding {

class answer_relay {
  public:
    /// @param request, `caller`, `client`, `turn` and `stream` must outlive the relay
    /// @param client has reserved the memory of the request
    /// @param turn null when the request is not a turn of a program
    /// @param stream null when the route's answers can't be resumed
    answer_relay(forwarder_context& context, const forwarded_request& request,
                 caller_channel& caller, resources::client_session& client, turn_session* turn,
                 stream_session* stream);

    /// Records status and first-byte time of an answer that is about to be relayed.
    void record_first_byte(unsigned status, instant now);
    /// Relays the answer whose head was read from `connection`.
    /// @param backend that answers
    /// @param until deadline of a buffered answer; streams have the request's deadline
    asio::awaitable<attempt_result> relay(http::connection_pointer connection,
                                          chosen_backend backend, instant until);
    /// Adds a completely answered call to the pace statistics of its engine service.
    /// @param sent when the call was sent
    void record_pace(instant sent, instant now);

    [[nodiscard]] answer_progress progress() const;
    /// Software version of the back end whose answer the caller has the beginning of; empty when
    /// unknown. Requires progress() to be other than `none`.
    [[nodiscard]] const std::string& started_version() const { return started_version_; }
    /// True when the whole answer was received, so that only its write or the confirmation of its
    /// turn is pending.
    [[nodiscard]] bool is_received() const { return received_; }
    /// True when the caller received only a part of an answer.
    [[nodiscard]] bool is_partly_relayed() const { return started_ && !fully_relayed_; }
    /// Body of the last answer that was read; nothing without one.
    [[nodiscard]] const std::optional<http::received_body>& body() const { return body_; }
    /// Status of the last relayed answer; 0 without one.
    [[nodiscard]] unsigned status() const { return status_; }
    /// Time from the request's last byte to the answer's first byte; zero without an answer.
    [[nodiscard]] duration first_byte() const { return first_byte_; }
    [[nodiscard]] std::uint64_t events() const { return events_.events(); }
    /// Sets a handler that is called when a whole answer was received, before its turn is settled.
    void on_received(std::function<void()> handler) { received_handler_ = std::move(handler); }
    /// Pace of the answer's event stream.
    [[nodiscard]] const stream_pace& pace() const { return pace_; }
    /// Identifier of the last event relayed to the caller; empty without one.
    [[nodiscard]] const std::string& last_event() const { return relayed_events_.last_id(); }
    [[nodiscard]] token_count generated_tokens() const;
    /// Prefixes of the request and its answer that an engine has cached by now; empty for services
    /// that aren't engines.
    [[nodiscard]] turns::cached_prompt cached_prompt_of(const backend_name& backend) const;

  private:
    /// Reads the next piece of the answer's body.
    asio::awaitable<tl::expected<std::string, http::io_failure>> read_piece(
        http::connection_pointer connection, instant until);
    /// Reads the body into `body` until it is complete or exceeds the buffer.
    /// @return whether it is complete
    asio::awaitable<tl::expected<bool, http::io_failure>> read_into_buffer(
        http::connection_pointer connection, instant until, std::string& body);
    /// Writes an answer whose body was received to its end.
    asio::awaitable<attempt_result> write_buffered(http::connection_pointer connection,
                                                   std::string body);
    /// @param received beginning of the body, which was read before
    asio::awaitable<attempt_result> relay_stream(http::connection_pointer connection,
                                                 chosen_backend backend, std::string received);
    /// Reduces a piece of a stream to what the caller is to receive, and records it. Settles the
    /// turn with the last piece.
    /// @param piece, `head` and `backend` must outlive the call
    /// @return why the stream can't go on; nothing when it can
    asio::awaitable<std::optional<failure_kind>> process_piece(std::string& piece,
                                                               const http::message_head& head,
                                                               bool complete,
                                                               const backend_name& backend);
    /// Makes room for a piece beside the events that are kept of the stream.
    /// @return false when there is none
    [[nodiscard]] bool reserve_piece(std::size_t piece_bytes);
    /// True when the body, whose end was read, can't be whole.
    [[nodiscard]] bool is_truncated() const;
    /// Records that the whole answer was received.
    void mark_received();
    /// Writes a part of a stream to the caller. @return false when the caller has left
    asio::awaitable<bool> write_to_caller(std::string bytes, const chosen_backend& backend);
    /// Prepares for the stream of one attempt. @return the head to write; empty when the caller has
    /// already received one
    std::string begin_stream(const http::message_head& head);
    /// Frames a piece of the body for the caller.
    /// @param complete true for the last piece
    [[nodiscard]] std::string render_piece(const std::string& piece, bool complete) const;
    /// Reduces a piece to complete events that the caller doesn't have yet.
    /// @return false when an event is missing in the stream
    bool retain_complete_events(std::string& piece, bool complete);
    /// Counts the events of a piece and updates the engine's pace.
    /// @return false when the events exceed what can be stored of a turn
    bool record_events(const std::string& piece, const backend_name& backend);
    /// Stores the end of the turn durably, if one is open. @return false when that failed
    /// @param backend must outlive the call
    asio::awaitable<bool> settle_turn(const backend_name& backend);

    forwarder_context& context_;
    const forwarded_request& request_;
    caller_channel& caller_;
    turn_session* turn_;
    stream_session* stream_;
    answer_memory memory_;
    std::optional<http::received_body> body_;
    http::event_stream_reader events_;
    /// Complete events of a resumable stream that were relayed to the caller.
    http::event_boundary_filter relayed_events_;
    stream_pace pace_;
    std::function<void()> received_handler_;
    bool received_ = false;
    bool started_ = false;
    std::string started_version_;
    bool fully_relayed_ = false;
    /// True when the caller's answer is chunked; determined by the first relayed head.
    bool chunked_ = true;
    unsigned status_ = 0;
    duration first_byte_{};
};

}  // namespace tallyfold::forwarding
