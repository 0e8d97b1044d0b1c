#pragma once
/// @file
/// Result of one attempt at a back end.

#include "tallyfold/base/net/http_syntax.hpp"
#include "tallyfold/plane/decisions/attempt_failure.hpp"
#include "tallyfold/plane/decisions/retry_policy.hpp"

namespace tallyfold::forwarding {

struct attempt_result {
    attempt_end end = attempt_end::not_sent;
    /// Meaningless when the attempt was answered.
    attempt_failure failure = {};
    /// The attempt reached its deadline; the back end may still be processing the request.
    bool timed_out = false;
    /// The back end closed the connection, so it no longer processes the request.
    bool connection_closed = false;
    /// The body of an answer was read, in part or whole.
    bool has_body = false;
    /// What made the answer malformed.
    net::syntax_defect defect = net::syntax_defect::none;
};

}  // namespace tallyfold::forwarding
