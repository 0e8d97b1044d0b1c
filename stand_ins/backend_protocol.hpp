#pragma once
/// @file
/// Back-end side of the HTTP interface between schedulers and back ends, as the stand-ins
/// implement it: parses requests into orders and renders responses. Stateless. The scheduler side
/// is program_api/scheduler/backend_http_codec.

#include <optional>
#include <string>
#include <string_view>

#include "tallyfold/program_api/scheduler/backend_json.hpp"
#include "tallyfold/program_api/scheduler/backend_messages.hpp"

namespace tallyfold::stand_ins {

/// @param after value of the query parameter `after`
scheduler::codec_result<scheduler::backend_order> parse_order(const std::string& method,
                                                              const std::string& path,
                                                              const std::string& after,
                                                              const std::string& body);

/// Renders stream events in text/event-stream format.
std::string render_stream_event(const scheduler::stream_pieces& pieces);
std::string render_stream_event(const scheduler::stream_finished& finished);
/// Last event of a stream that was accepted and queued but did not start by its start limit.
std::string render_stream_refused();

std::string render_status(const scheduler::status_answered& status);
std::string render_members(const scheduler::members_answered& members);

/// Parses "program/sequence/attempt".
std::optional<scheduler::attempt_key> parse_attempt_key(std::string_view text);

}  // namespace tallyfold::stand_ins
