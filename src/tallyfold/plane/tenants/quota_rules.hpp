#pragma once
/// @file
/// Parameters of the enforcement of limits, the same on all nodes.

#include "tallyfold/base/common/time.hpp"

namespace tallyfold::tenants {

/// From the settings quota_*, with their defaults.
struct quota_rules {
    /// Length of the sliding window over which limits apply.
    duration window = std::chrono::seconds(5);
    /// Allowance over a limit: a share of it, plus a number of permits.
    double overshoot = 0.1;
    double slack = 20;
    /// Time after the sending of a report in which the node may spend what its answer grants.
    /// Longer than the election of a lender, so that permits held in advance cover one.
    duration lease = std::chrono::seconds(2);
};

}  // namespace tallyfold::tenants
