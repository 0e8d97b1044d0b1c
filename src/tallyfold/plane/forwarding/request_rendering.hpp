#pragma once
/// @file
/// Bytes of a request that a forwarder sends to a back end. Pure.

#include <string>

#include "tallyfold/plane/http/message.hpp"

namespace tallyfold::forwarding {

/// @param head the caller's: method and target are passed on unchanged
/// @param headers the fields to send, without those that frame the body
/// @param body whole; a request that came without a body gets no Content-Length while this is empty
[[nodiscard]] std::string render_backend_request(const http::message_head& head,
                                                 const http::header_list& headers,
                                                 const std::string& body);

}  // namespace tallyfold::forwarding
