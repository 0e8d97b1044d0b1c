#pragma once
/// @file
/// Renders the bytes of a request to a back end. Does no I/O.

#include <string>

#include "tallyfold/plane/http/message.hpp"

namespace tallyfold::forwarding {

/// @param head of the caller's request; method and target are forwarded unchanged
/// @param headers fields to send, without those that frame the body
/// @param body the complete body; when it is empty and the caller's request had no body,
/// Content-Length is omitted
[[nodiscard]] std::string render_backend_request(const http::message_head& head,
                                                 const http::header_list& headers,
                                                 const std::string& body);

}  // namespace tallyfold::forwarding
