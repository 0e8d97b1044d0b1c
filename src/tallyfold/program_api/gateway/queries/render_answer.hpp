#pragma once
/// @file
/// Renders final answers and pieces of streamed answers for callers.

#include <string>

#include "tallyfold/program_api/gateway/commands/parse_request.hpp"

namespace tallyfold::gateway {

/// HTTP status code of an outcome.
int status_of(const journal::outcome& result);
/// Value of the header Retry-After in whole seconds, rounded up; 0 for none.
unsigned retry_after_seconds(const journal::outcome& result);

/// JSON body of an answer that is not streamed.
std::string render_answer(const caller_request& request, const journal::outcome& result);
/// One server-sent event with a piece of a completion.
std::string render_piece(const caller_request& request, const std::string& piece);
/// Last events of a stream: usage and [DONE], or the error, which no [DONE] follows.
std::string render_stream_end(const caller_request& request, const journal::outcome& result);

}  // namespace tallyfold::gateway
