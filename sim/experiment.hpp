#pragma once
/// @file
/// Measurements on a simulated deployment without faults: program latency and wasted cache of one
/// strategy under one load, on one seed.

#include <map>
#include <string>
#include <vector>

#include "sim/world.hpp"

namespace tallyfold::sim {

struct experiment_settings {
    stand_ins::deployment profile = stand_ins::deployment::huayin;
    scheduling::strategy strategy = scheduling::strategy::policy;
    std::uint64_t seed = 1;
    std::size_t programs = 120;
    /// Programs start within this time; together with their number it is the load.
    duration span = std::chrono::seconds(60);
    std::size_t engines = 10;
    std::map<std::string, std::string> policies;
};

struct latency_summary {
    std::size_t programs = 0;
    double p50_ms = 0;
    double p99_ms = 0;
    double p999_ms = 0;
    double mean_ms = 0;
};

struct experiment_result {
    /// False when the run hit its limit; nothing else counts then.
    bool finished = false;
    latency_summary all;
    std::map<std::string, latency_summary> classes;
    double first_token_p95_ms = 0;
    token_count prefill_tokens = 0;
    token_count wasted_tokens = 0;
    std::uint64_t lost = 0;
    std::uint64_t refusals = 0;

    [[nodiscard]] double wasted_ratio() const {
        return prefill_tokens == 0
                   ? 0.0
                   : static_cast<double>(wasted_tokens) / static_cast<double>(prefill_tokens);
    }
};

experiment_result run_experiment(const experiment_settings& settings);

/// Name of a strategy as the command line has it.
std::string strategy_name(scheduling::strategy strategy);

}  // namespace tallyfold::sim
