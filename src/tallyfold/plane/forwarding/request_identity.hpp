#pragma once
/// @file
/// Key of a forwarded request's content, by which its attempts are recognized. Pure.

#include "tallyfold/plane/forwarding/forwarded_request.hpp"
#include "tallyfold/plane/poison/content_key.hpp"

namespace tallyfold::forwarding {

/// Hashes the whole body, so it is called only once something is known to be wrong.
[[nodiscard]] poison::content_key content_key_of(const forwarded_request& request);

}  // namespace tallyfold::forwarding
