#pragma once
/// @file
/// Runs many callers in one process against gateways over HTTP.

#include <atomic>
#include <string>
#include <vector>

#include "stand_ins/caller_core.hpp"
#include "stand_ins/program_script.hpp"

namespace tallyfold::stand_ins {

struct caller_process {
    workload_settings workload;
    /// Each as "ip:port".
    std::vector<std::string> gateways;
    /// Prefix that makes request identities unique to this run.
    std::string run;
    /// Maximum duration of the run.
    duration limit = std::chrono::minutes(5);
};

struct caller_results {
    std::vector<caller_report> reports;
    /// False if the run ended at the limit.
    bool finished = false;
};

/// Runs the workload's programs until all have ended, the limit is reached or `stop` is set.
caller_results run_callers(const caller_process& settings, const std::atomic<bool>& stop);

}  // namespace tallyfold::stand_ins
