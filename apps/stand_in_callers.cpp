/// @file
/// Runs a workload's programs against gateways, checks the answers and the back ends' ledgers, and
/// prints the results as one JSON object on the last line.

#include <tclap/CmdLine.h>

#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

#include "sim/checkers.hpp"
#include "stand_ins/caller_process.hpp"
#include "stand_ins/ledger_file.hpp"
#include "tallyfold/base/settings/program_flags.hpp"
#include "tallyfold/program_api/http/blocking_http.hpp"
#include "tallyfold/program_api/transport/cluster_keys.hpp"

namespace {

using namespace tallyfold;

std::int64_t percentile_ms(std::vector<duration> values, double share) {
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    return to_milliseconds(values[index]);
}

std::size_t count_violations(const sim::observations& seen, const std::string& name) {
    for (const sim::property& property : sim::properties()) {
        if (property.name == name) {
            const auto violations = property.check(seen);
            for (const std::string& violation : violations) {
                std::cerr << name << ": " << violation << '\n';
            }
            return violations.size();
        }
    }
    return 0;
}

/// Number of tokens that an engine still caches for ended programs of this run.
token_count fetch_held_tokens(const std::string& engine,
                              const std::vector<stand_ins::caller_report>& reports) {
    net::blocking_request request;
    request.url = "http://" + engine + "/v1/cache";
    const auto answer = nlohmann::json::parse(net::fetch(request).body, nullptr, false);
    if (!answer.is_object()) {
        return 0;  // An unreachable engine counts as empty.
    }
    token_count held = 0;
    for (const stand_ins::caller_report& report : reports) {
        for (const auto& [program, ended] : report.members) {
            held += report.abandoned ? 0 : answer.at("held").value(program, token_count{0});
        }
    }
    return held;
}

/// Waits until the engines have released the tokens of ended programs.
/// @return the number of tokens that they still hold at the deadline
token_count wait_for_releases(const std::vector<std::string>& engines,
                              const std::vector<stand_ins::caller_report>& reports) {
    constexpr int rounds = 60;
    constexpr auto pause = std::chrono::milliseconds(250);
    token_count held = 0;
    for (int round = 0; round < rounds; ++round) {
        held = 0;
        for (const std::string& engine : engines) {
            held += fetch_held_tokens(engine, reports);
        }
        if (held == 0) {
            break;
        }
        std::this_thread::sleep_for(pause);
    }
    return held;
}

nlohmann::json summarise(const sim::observations& seen, const std::string& profile) {
    std::vector<duration> latencies;
    std::vector<duration> first_tokens;
    std::uint64_t completed = 0;
    std::uint64_t calls = 0;
    std::uint64_t lost = 0;
    std::uint64_t mixed = 0;
    std::uint64_t refusals = 0;
    std::uint64_t disturbances = 0;
    for (const stand_ins::caller_report& report : seen.callers) {
        completed += report.completed ? 1 : 0;
        calls += report.calls;
        lost += report.lost;
        mixed += report.wrong_answers;
        refusals += report.refusals;
        disturbances += report.disturbances;
        if (report.completed && !report.abandoned) {
            latencies.push_back(report.ended - report.started);
        }
        first_tokens.insert(first_tokens.end(), report.first_pieces.begin(),
                            report.first_pieces.end());
        for (const std::string& note : report.notes) {
            std::cerr << "note: " << note << '\n';
        }
    }
    return {{"profile", profile},
            {"programs", seen.callers.size()},
            {"completed", completed},
            {"calls", calls},
            {"lost", lost},
            {"doubled", count_violations(seen, "at_most_once")},
            {"mixed", mixed},
            {"out_of_order", count_violations(seen, "order")},
            {"over_budget", count_violations(seen, "budget")},
            {"not_run_but_ran", count_violations(seen, "not_run")},
            {"refusals", refusals},
            {"disturbances", disturbances},
            {"first_token_p95_ms", percentile_ms(first_tokens, 0.95)},
            {"program_p50_ms", percentile_ms(latencies, 0.5)},
            {"program_p99_ms", percentile_ms(latencies, 0.99)}};
}

}  // namespace

int main(int argument_count, char** arguments) {
    TCLAP::CmdLine line("Stand-in callers", ' ', "0.1.0");
    TCLAP::MultiArg<std::string> gateways("", "gateway", "A gateway", true, "ip:port", line);
    TCLAP::ValueArg<std::string> profile("", "profile", "huayin or hobart", false, "huayin", "name",
                                         line);
    TCLAP::ValueArg<std::size_t> programs("", "programs", "Programs to run", false, 24, "N", line);
    TCLAP::ValueArg<unsigned> span("", "span-seconds", "Period in which programs start", false, 8,
                                   "s", line);
    TCLAP::ValueArg<double> pauses("", "pause-scale", "Factor of every pause", false, 0.1, "x",
                                   line);
    TCLAP::ValueArg<double> tokens("", "token-scale", "Factor of every token count", false, 0.25,
                                   "x", line);
    TCLAP::ValueArg<std::string> ledgers("", "ledgers", "Folder of the back ends' ledgers", false,
                                         "", "folder", line);
    TCLAP::MultiArg<std::string> engines("", "engine", "An engine whose cache is checked", false,
                                         "ip:port", line);
    TCLAP::ValueArg<unsigned> limit("", "limit-seconds", "Maximum duration of the run", false, 240,
                                    "s", line);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed", false, 1, "S", line);
    line.parse(argument_count, arguments);
    const auto deployment = stand_ins::parse_deployment(profile.getValue());
    if (!deployment) {
        std::cerr << "profile must be huayin or hobart\n";
        return 2;
    }
    stand_ins::caller_process settings;
    settings.workload.profile = *deployment;
    settings.workload.programs = programs.getValue();
    settings.workload.span = std::chrono::seconds(span.getValue());
    settings.workload.pause_scale = pauses.getValue();
    settings.workload.token_scale = tokens.getValue();
    settings.workload.seed = seed.getValue();
    settings.gateways = gateways.getValue();
    settings.run = std::to_string(net::random_number());
    settings.limit = std::chrono::seconds(limit.getValue());
    stand_ins::caller_results results =
        stand_ins::run_callers(settings, settings::stop_requested());
    sim::observations seen;
    seen.callers = std::move(results.reports);
    if (!ledgers.getValue().empty()) {
        seen.ledger = stand_ins::read_ledgers(ledgers.getValue());
    }
    nlohmann::json summary = summarise(seen, profile.getValue());
    summary["held_after_end"] = wait_for_releases(engines.getValue(), seen.callers);
    std::cout << summary.dump() << std::endl;
    const bool clean = summary["lost"] == 0 && summary["doubled"] == 0 && summary["mixed"] == 0 &&
                       summary["out_of_order"] == 0 && summary["over_budget"] == 0 &&
                       summary["not_run_but_ran"] == 0 && summary["held_after_end"] == 0;
    return clean && results.finished && summary["completed"] == summary["programs"] ? 0 : 1;
}
