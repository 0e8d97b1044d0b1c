#pragma once
/// @file
/// Stand-in for the platform: a delayed membership list and a rate-limited weight store.

#include <atomic>
#include <string>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/program_api/scheduler/backend_messages.hpp"

namespace tallyfold::stand_ins {

struct platform_process {
    /// "ip:port".
    std::string listen;
    scheduler::members_answered members;
    /// Delay until a change shows in the list.
    duration list_lag = std::chrono::milliseconds(1500);
    /// Rate limit of the weight store over all clients.
    double bytes_per_second = 1e9;
    double bytes_per_model = 2e9;
};

int run_platform(const platform_process& settings, const std::atomic<bool>& stop);

}  // namespace tallyfold::stand_ins
