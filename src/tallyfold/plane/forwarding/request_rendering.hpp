#pragma once
/// @file
/// Renders the head of a request to a back end. Does no I/O.

#include <cstddef>
#include <string>

#include "tallyfold/plane/http/message.hpp"

namespace tallyfold::forwarding {

/// @param head of the caller's request; method and target are forwarded unchanged
/// @param headers fields to send, without those that frame the body
/// @param body_bytes size of the complete body, which follows the head; when it is 0 and the
/// caller's request had no body, Content-Length is omitted
[[nodiscard]] std::string render_backend_head(const http::message_head& head,
                                              const http::header_list& headers,
                                              std::size_t body_bytes);

}  // namespace tallyfold::forwarding
