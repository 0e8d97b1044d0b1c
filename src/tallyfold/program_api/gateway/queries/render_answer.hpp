#pragma once
/// @file
/// Turns final answers and pieces into what callers read.

#include <string>

#include "tallyfold/program_api/gateway/commands/parse_request.hpp"

namespace tallyfold::gateway {

/// HTTP status of an answer.
int status_of(const journal::outcome& result);
/// Whole seconds for the header Retry-After; 0 when there is none.
unsigned retry_after_seconds(const journal::outcome& result);

/// The JSON body of an answer that is not streamed.
std::string render_answer(const caller_request& request, const journal::outcome& result);
/// One server-sent event with a piece of a completion.
std::string render_piece(const caller_request& request, const std::string& piece);
/// The closing events of a stream: usage or error, then [DONE].
std::string render_stream_end(const caller_request& request, const journal::outcome& result);

}  // namespace tallyfold::gateway
