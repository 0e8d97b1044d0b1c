#pragma once
/// @file
/// Value of the Retry-After header of a refused request. Pure functions.

#include <chrono>
#include <optional>

#include "tallyfold/base/common/time.hpp"

namespace tallyfold::forwarding {

struct retry_after {
    /// Upper bound of the jitter, as a fraction of the delay.
    static constexpr double max_jitter = 0.5;

    /// Delay before the retry; nothing if a retry is useless.
    std::optional<duration> after;

    static retry_after never() { return {}; }
    /// For requests that another node or back end may serve immediately. Longer than max_back_off
    /// of retry_policy.
    static retry_after soon() { return {std::chrono::milliseconds(200)}; }
    /// For a missing configuration, leader or majority, until it is restored.
    static retry_after after_recovery() { return {std::chrono::milliseconds(400)}; }

    /// Adds up to half of the delay, so that callers that were refused together do not retry
    /// together. @param jitter 0 to 1
    [[nodiscard]] retry_after with_jitter(double jitter) const {
        if (!after) {
            return *this;
        }
        return {std::chrono::duration_cast<duration>(*after * (1 + max_jitter * jitter))};
    }
};

}  // namespace tallyfold::forwarding
