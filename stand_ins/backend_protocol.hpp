#pragma once
/// @file
/// A back end's half of the HTTP interface in docs/BACKENDS.md, as the emulated ones speak it:
/// requests to orders, and what they answer as text. Owns nothing. The schedulers' half is
/// program_api/scheduler/backend_http_codec.

#include <optional>
#include <string>
#include <string_view>

#include "tallyfold/program_api/scheduler/backend_json.hpp"
#include "tallyfold/program_api/scheduler/backend_messages.hpp"

namespace tallyfold::stand_ins {

/// @param after the query parameter of the same name
scheduler::codec_result<scheduler::backend_order> parse_order(const std::string& method,
                                                              const std::string& path,
                                                              const std::string& after,
                                                              const std::string& body);

/// Events of a stream, framed as text/event-stream.
std::string render_stream_event(const scheduler::stream_pieces& pieces);
std::string render_stream_event(const scheduler::stream_finished& finished);
/// The last event of a stream that was taken, waited, and was not started in time.
std::string render_stream_refused();

std::string render_status(const scheduler::status_answered& status);
std::string render_members(const scheduler::members_answered& members);

/// Reads "program/sequence/attempt" back.
std::optional<scheduler::attempt_key> parse_attempt_key(std::string_view text);

}  // namespace tallyfold::stand_ins
