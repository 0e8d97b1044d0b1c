#pragma once
/// @file
/// Many callers in one process, over HTTP, against real gateways.

#include <atomic>
#include <string>
#include <vector>

#include "stand_ins/caller_core.hpp"
#include "stand_ins/program_script.hpp"

namespace tallyfold::stand_ins {

struct caller_process {
    workload_settings workload;
    /// "ip:port" each.
    std::vector<std::string> gateways;
    /// Makes the identities of this run's requests unique.
    std::string run;
    /// The run is given up after this long.
    duration limit = std::chrono::minutes(5);
};

struct caller_results {
    std::vector<caller_report> reports;
    /// False when the limit was reached first.
    bool finished = false;
};

/// Runs the workload's programs to their end.
caller_results run_callers(const caller_process& settings, const std::atomic<bool>& stop);

}  // namespace tallyfold::stand_ins
