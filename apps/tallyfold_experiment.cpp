/// @file
/// Measures one strategy on one seed, or sweeps strategies, loads and seeds into a report.

#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "sim/experiment_report.hpp"
#include "sim/policy_files.hpp"

namespace {

using namespace tallyfold;

nlohmann::json render(const sim::experiment_settings& settings,
                      const sim::experiment_result& result) {
    nlohmann::json classes;
    for (const auto& [name, summary] : result.classes) {
        classes[name] = {
            {"programs", summary.programs}, {"p50_ms", summary.p50_ms}, {"p99_ms", summary.p99_ms}};
    }
    return {{"policy", sim::strategy_name(settings.strategy)},
            {"profile", stand_ins::to_string(settings.profile)},
            {"seed", settings.seed},
            {"programs", settings.programs},
            {"finished", result.finished},
            {"program_p50_ms", result.all.p50_ms},
            {"program_p99_ms", result.all.p99_ms},
            {"program_p999_ms", result.all.p999_ms},
            {"first_token_p95_ms", result.first_token_p95_ms},
            {"wasted_tokens", result.wasted_tokens},
            {"prefill_tokens", result.prefill_tokens},
            {"wasted_ratio", result.wasted_ratio()},
            {"lost", result.lost},
            {"refusals", result.refusals},
            {"classes", classes}};
}

}  // namespace

int main(int argument_count, char** arguments) {
    TCLAP::CmdLine line("Program latency and wasted cache on the simulated deployment", ' ',
                        "0.1.0");
    TCLAP::ValueArg<std::string> profile("", "profile", "huayin or hobart", false, "huayin", "name",
                                         line);
    TCLAP::ValueArg<std::string> policy(
        "", "policy", "tallyfold, round_robin, least_outstanding or affinity_fcfs", false,
        "tallyfold", "name", line);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed", false, 1, "S", line);
    TCLAP::ValueArg<std::size_t> programs("", "programs", "Programs", false, 120, "N", line);
    TCLAP::ValueArg<unsigned> span("", "span-seconds", "Programs start within", false, 60, "s",
                                   line);
    TCLAP::ValueArg<std::string> folder("", "policies", "Folder of the shipped policies", false,
                                        "policies", "folder", line);
    TCLAP::ValueArg<std::string> report("", "report", "Sweep all strategies into this HTML file",
                                        false, "", "file", line);
    TCLAP::ValueArg<std::uint64_t> seeds("", "seeds", "Seeds of a sweep", false, 3, "N", line);
    TCLAP::MultiArg<std::size_t> loads("", "load", "A load of a sweep: programs in the span", false,
                                       "N", line);
    line.parse(argument_count, arguments);
    const auto deployment = stand_ins::parse_deployment(profile.getValue());
    const auto strategy = scheduling::parse_strategy(policy.getValue());
    if (!deployment || !strategy) {
        std::cerr << "unknown profile or policy\n";
        return 2;
    }
    sim::experiment_settings settings;
    settings.profile = *deployment;
    settings.strategy = *strategy;
    settings.seed = seed.getValue();
    settings.programs = programs.getValue();
    settings.span = std::chrono::seconds(span.getValue());
    settings.policies = tallyfold::sim::read_policies(folder.getValue());
    if (report.isSet()) {
        const auto points = sim::sweep(settings, loads.getValue(), seeds.getValue());
        std::ofstream(report.getValue()) << sim::render_report(settings, points);
        sim::print_table(std::cout, points);
        return 0;
    }
    const sim::experiment_result result = sim::run_experiment(settings);
    std::cout << render(settings, result).dump() << '\n';
    return result.finished && result.lost == 0 ? 0 : 1;
}
