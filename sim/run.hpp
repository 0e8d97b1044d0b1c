#pragma once
/// @file
/// One simulated fault run of a seed and its result.

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "sim/checkers.hpp"
#include "sim/fault_plan.hpp"

namespace tallyfold::sim {

struct run_result {
    std::uint64_t seed = 0;
    std::string plan;
    bool booted = false;
    bool finished = false;
    std::map<std::string, std::uint64_t> faults;
    /// Violations by property name.
    std::map<std::string, std::vector<std::string>> violations;
    std::vector<duration> leader_gaps;
};

/// Runs the seed's plan and checks every property.
/// @param trace receives a line for each message, order and fault; empty for no trace
run_result run_with_faults(std::uint64_t seed, const std::map<std::string, std::string>& policies,
                           const std::function<void(const std::string& line)>& trace = {});

}  // namespace tallyfold::sim
