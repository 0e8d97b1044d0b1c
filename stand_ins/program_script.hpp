#pragma once
/// @file
/// Programs that the caller stand-in runs, drawn from the stated distributions of a profile.

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
    /// Time that the program takes before it makes the call.
    duration pause{};
    /// Model calls: what is added to the history, and how much is generated.
    std::vector<journal::message> messages;
    token_count max_tokens = 0;
    /// App and tool calls.
    std::string operation;
    std::string argument;
    bool repeatable = true;
    /// Sub-agents, run side by side; the program goes on when all have ended.
    std::vector<program_script> children;
};

struct program_script {
    std::string tenant;
    std::string program_class;
    token_count budget = 0;
    /// When the program starts, from the start of the run.
    duration start{};
    std::vector<script_step> steps;
    /// The caller vanishes after the last step, without closing the program.
    bool abandoned = false;
};

struct workload_settings {
    deployment profile = deployment::huayin;
    std::size_t programs = 40;
    /// Programs start spread over this time.
    duration span = std::chrono::seconds(10);
    /// Multiplies every pause and, in token counts, every length (small runs of real processes).
    double pause_scale = 1.0;
    double token_scale = 1.0;
    /// Share of programs whose caller vanishes.
    double abandoned_share = 0.0;
    /// Programs that loop far beyond any class's turn limit.
    std::size_t endless_programs = 0;
    std::uint64_t seed = 1;
};

/// Programs by the profile's distributions (docs/WORKLOADS.md), in order of their start.
std::vector<program_script> make_workload(const workload_settings& settings);

/// Names of the tenants of a profile.
std::vector<std::string> tenants_of(deployment profile);

}  // namespace tallyfold::stand_ins
