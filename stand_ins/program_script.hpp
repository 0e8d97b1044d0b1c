#pragma once
/// @file
/// Generates the programs of the stand-in callers from the distributions of a deployment profile.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tallyfold/base/common/random.hpp"
#include "tallyfold/base/common/time.hpp"
#include "tallyfold/program_api/journal/types.hpp"

namespace tallyfold::stand_ins {

enum class deployment : std::uint8_t { huayin, hobart };

std::optional<deployment> parse_deployment(std::string_view name);

enum class step_kind : std::uint8_t { model, app, tool, spawn };

struct program_script;

struct script_step {
    step_kind kind = step_kind::model;
    /// Think time before the call.
    duration pause{};
    /// Model calls: messages appended to the history, and number of tokens to generate.
    std::vector<journal::message> messages;
    token_count max_tokens = 0;
    /// App and tool calls: operation and argument.
    std::string operation;
    std::string argument;
    bool repeatable = true;
    /// Sub-agents, run in parallel; the program continues when all have ended.
    std::vector<program_script> children;
};

struct program_script {
    std::string tenant;
    std::string program_class;
    token_count budget = 0;
    /// Start time, relative to the start of the run.
    duration start{};
    std::vector<script_step> steps;
    /// The caller disconnects after the last step without closing the program.
    bool abandoned = false;
};

struct workload_settings {
    deployment profile = deployment::huayin;
    std::size_t programs = 40;
    /// Period over which the programs' starts are distributed.
    duration span = std::chrono::seconds(10);
    /// Factors of every pause and of every token count, to scale a run down.
    double pause_scale = 1.0;
    double token_scale = 1.0;
    /// Fraction of programs that their caller abandons.
    double abandoned_share = 0.0;
    /// Number of programs that exceed every class's turn limit.
    std::size_t endless_programs = 0;
    std::uint64_t seed = 1;
};

/// Programs of the workload, ordered by start time.
std::vector<program_script> make_workload(const workload_settings& settings);

/// Tenant names of a profile.
std::vector<std::string> tenants_of(deployment profile);

}  // namespace tallyfold::stand_ins
