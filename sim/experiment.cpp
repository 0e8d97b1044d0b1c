#include "sim/experiment.hpp"

#include <algorithm>
#include <numeric>

#include "stand_ins/deployment_defaults.hpp"
#include "tallyfold/base/common/hash.hpp"

namespace tallyfold::sim {

namespace {

/// Baselines queue calls at the engines, so that long waits there are no faults in these runs.
constexpr duration longest_engine_wait = std::chrono::minutes(10);
constexpr std::uint32_t longest_queue_wait_ms = 600'000;
constexpr std::uint32_t wide_queue = 100'000;

world_settings deployment_of(const experiment_settings& settings) {
    world_settings made;
    made.seed = settings.seed;
    made.workload.profile = settings.profile;
    made.workload.programs = settings.programs;
    made.workload.span = settings.span;
    made.workload.seed = combine_hash(settings.seed, stable_hash("experiment"));
    made.strategy = settings.strategy;
    made.engines = settings.engines;
    made.apps = 10;
    made.tools = 4;
    made.shard_count = 32;
    made.policies = settings.policies;
    made.classes = stand_ins::default_classes(settings.profile);
    for (auto& [name, each] : made.classes) {
        each.queue_timeout_ms = longest_queue_wait_ms;
        each.queue_limit = wide_queue;
    }
    made.tenant.queue_limit = wide_queue;
    made.stream_stall = longest_engine_wait;
    made.caller_patience = longest_engine_wait;
    made.limit = std::chrono::minutes(30);
    made.settle = std::chrono::seconds(1);
    return made;
}

double percentile(std::vector<double>& sorted, double share) {
    if (sorted.empty()) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
    return sorted[index];
}

latency_summary summarise(std::vector<double> milliseconds) {
    std::sort(milliseconds.begin(), milliseconds.end());
    latency_summary summary;
    summary.programs = milliseconds.size();
    summary.p50_ms = percentile(milliseconds, 0.5);
    summary.p99_ms = percentile(milliseconds, 0.99);
    summary.p999_ms = percentile(milliseconds, 0.999);
    if (!milliseconds.empty()) {
        summary.mean_ms = std::accumulate(milliseconds.begin(), milliseconds.end(), 0.0) /
                          static_cast<double>(milliseconds.size());
    }
    return summary;
}

double to_ms(duration value) {
    return static_cast<double>(value.count()) / 1000.0;
}

}  // namespace

experiment_result run_experiment(const experiment_settings& settings) {
    experiment_result result;
    world deployment(deployment_of(settings));
    if (!deployment.boot()) {
        return result;
    }
    deployment.run();
    const observations seen = deployment.finish();
    result.finished = seen.finished;
    std::vector<double> all;
    std::vector<double> first_tokens;
    std::map<std::string, std::vector<double>> by_class;
    for (const stand_ins::caller_report& report : seen.callers) {
        const double latency = to_ms(report.ended - report.started);
        all.push_back(latency);
        by_class[report.program_class].push_back(latency);
        result.lost += report.lost;
        result.refusals += report.refusals;
        for (const duration first : report.first_pieces) {
            first_tokens.push_back(to_ms(first));
        }
    }
    result.all = summarise(std::move(all));
    for (auto& [name, latencies] : by_class) {
        result.classes[name] = summarise(std::move(latencies));
    }
    std::sort(first_tokens.begin(), first_tokens.end());
    result.first_token_p95_ms = percentile(first_tokens, 0.95);
    result.prefill_tokens = seen.prefilled;
    result.wasted_tokens = seen.rebuilt;
    return result;
}

std::string strategy_name(scheduling::strategy strategy) {
    switch (strategy) {
        case scheduling::strategy::policy:
            return "tallyfold";
        case scheduling::strategy::round_robin:
            return "round_robin";
        case scheduling::strategy::least_outstanding:
            return "least_outstanding";
        case scheduling::strategy::affinity_fcfs:
            return "affinity_fcfs";
    }
    return "invalid";
}

}  // namespace tallyfold::sim
