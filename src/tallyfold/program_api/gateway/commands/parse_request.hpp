#pragma once
/// @file
/// Turns a caller's HTTP request into a typed call, or into the answer that refuses it.

#include <string>
#include <tl/expected.hpp>

#include "tallyfold/program_api/transport/messages.hpp"

namespace tallyfold::gateway {

struct caller_request {
    protocol::scheduler_call call;
    /// The caller wants the answer as server-sent events.
    bool stream = false;
    /// Echoed in OpenAI-shaped answers.
    std::string model;
};

/// @param idempotency_key the header of that name; a request_identity in the body goes first
/// @return the call, or a final answer with ran: no
tl::expected<caller_request, journal::outcome> parse_request(const std::string& method,
                                                             const std::string& path,
                                                             const std::string& body,
                                                             const std::string& idempotency_key);

/// Identifier of the program that an open request makes; a repeat gives the same.
program_id identifier_of_program(const std::string& tenant, const std::string& request_identity);
/// Identifier of a sub-agent.
program_id identifier_of_child(const program_id& parent, const std::string& request_identity);

/// Tokens that a text is taken to have when the caller does not say.
token_count estimate_tokens(const std::string& text);

}  // namespace tallyfold::gateway
