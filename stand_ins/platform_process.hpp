#pragma once
/// @file
/// The platform's membership list, which lags, and its weight store, which is rate-limited.

#include <atomic>
#include <string>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/program_api/scheduler/backend_messages.hpp"

namespace tallyfold::stand_ins {

struct platform_process {
    /// "ip:port".
    std::string listen;
    scheduler::members_answered members;
    /// How long a change takes to show in the list.
    duration list_lag = std::chrono::milliseconds(1500);
    /// Weight bytes given out per second, over all who ask.
    double bytes_per_second = 1e9;
    double bytes_per_model = 2e9;
};

int run_platform(const platform_process& settings, const std::atomic<bool>& stop);

}  // namespace tallyfold::stand_ins
