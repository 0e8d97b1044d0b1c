#pragma once
/// @file
/// Parses a caller's HTTP request into a typed call, or into the answer that rejects it.

#include <string>
#include <tl/expected.hpp>

#include "tallyfold/program_api/transport/messages.hpp"

namespace tallyfold::gateway {

struct caller_request {
    protocol::scheduler_call call;
    /// Whether to stream the answer as server-sent events.
    bool stream = false;
    /// Model name, echoed in OpenAI-compatible answers.
    std::string model;
};

/// @param idempotency_key the header of that name; request_identity in the body takes precedence
/// @return the call, or a final answer with ran: no
tl::expected<caller_request, journal::outcome> parse_request(const std::string& method,
                                                             const std::string& path,
                                                             const std::string& body,
                                                             const std::string& idempotency_key);

/// Identifier of the program that an open request creates; the same for a resend.
program_id identifier_of_program(const std::string& tenant, const std::string& request_identity);
/// Identifier of a sub-agent's program; the same for a resend.
program_id identifier_of_child(const program_id& parent, const std::string& request_identity);

/// Estimated number of tokens of a text, for callers that don't state it.
token_count estimate_tokens(const std::string& text);

}  // namespace tallyfold::gateway
