#pragma once
/// @file
/// Key of a request's content, by which its attempts are recognized. Pure.

#include <string_view>

#include "tallyfold/plane/forwarding/forwarded_request.hpp"
#include "tallyfold/plane/poison/content_key.hpp"

namespace tallyfold::forwarding {

/// Hashes the whole body.
[[nodiscard]] poison::content_key content_key_of(const forwarded_request& request);
/// The same key before the request is prepared for forwarding.
/// @param tenant empty when callers need no key
/// @param body the caller's body, without history
[[nodiscard]] poison::content_key content_key_of(const http::message_head& head,
                                                 const request_metadata& facts,
                                                 std::string_view tenant, std::string_view body);

}  // namespace tallyfold::forwarding
