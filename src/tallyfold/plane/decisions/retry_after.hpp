#pragma once
/// @file
/// When a refused caller is asked to retry (the Retry-After header). Pure.

#include <chrono>
#include <optional>

#include "tallyfold/base/common/time.hpp"

namespace tallyfold::forwarding {

struct retry_after {
    /// Part of the time that jitter adds at most. Chosen, not measured: spreads the retries of
    /// callers who were refused together without delaying any of them much.
    static constexpr double max_jitter = 0.5;

    /// Nothing: a retry is of no use.
    std::optional<duration> after;

    static retry_after never() { return {}; }
    /// Another node or back end may serve it at once. Chosen, not measured: longer than a back-off
    /// of this node, short beside the seconds that callers wait.
    static retry_after soon() { return {std::chrono::milliseconds(200)}; }
    /// A configuration, a leader or a majority is missing. 400 ms in place of a second, which kept
    /// callers of restarted nodes away for longer than the node needed
    /// (docs/DECISIONS-UNDER-LOAD.md, "What bound"); the figure itself is chosen, not measured.
    static retry_after after_recovery() { return {std::chrono::milliseconds(400)}; }

    /// The same time or up to half as much again, so that callers who were refused together don't
    /// retry together. @param jitter 0 to 1
    [[nodiscard]] retry_after with_jitter(double jitter) const {
        if (!after) {
            return *this;
        }
        return {std::chrono::duration_cast<duration>(*after * (1 + max_jitter * jitter))};
    }
};

}  // namespace tallyfold::forwarding
