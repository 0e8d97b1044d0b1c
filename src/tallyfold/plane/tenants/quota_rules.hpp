#pragma once
/// @file
/// How limits are meant, the same on all nodes.

#include "tallyfold/base/common/time.hpp"

namespace tallyfold::tenants {

/// From the settings (quota_*), whose defaults these are.
struct quota_rules {
    /// Span of time over which limits hold.
    duration window = std::chrono::seconds(5);
    /// Allowance over a limit: a part of it, and some permits more.
    double overshoot = 0.1;
    double slack = 20;
    /// A node may spend what it was granted for this long after it asked. Longer than an election
    /// of another lender, so that permits at hand bridge it.
    duration lease = std::chrono::seconds(2);
};

}  // namespace tallyfold::tenants
