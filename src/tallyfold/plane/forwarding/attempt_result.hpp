#pragma once
/// @file
/// How one attempt at a back end ended. Pure.

#include "tallyfold/plane/decisions/attempt_failure.hpp"
#include "tallyfold/plane/decisions/retry_policy.hpp"

namespace tallyfold::forwarding {

struct attempt_result {
    attempt_end end = attempt_end::not_sent;
    /// Means nothing of an attempt that was answered.
    attempt_failure failure = {};
    /// The attempt's time was over; the back end may still work on it.
    bool timed_out = false;
    /// The back end's connection was closed: it doesn't work on the request any more.
    bool broke_off = false;
};

}  // namespace tallyfold::forwarding
