#include "sim/run.hpp"

namespace tallyfold::sim {

run_result run_with_faults(std::uint64_t seed, const std::map<std::string, std::string>& policies,
                           const std::function<void(const std::string& line)>& trace) {
    run_result result;
    result.seed = seed;
    result.plan = to_string(plan_of(seed));
    world_settings settings = fault_world(seed, policies);
    settings.trace = trace;
    world deployment(std::move(settings));
    result.booted = deployment.boot();
    if (!result.booted) {
        result.violations["whole_answers"].push_back("the cluster did not become ready");
        return result;
    }
    fault_plan plan(deployment, seed);
    plan.start();
    deployment.run();
    observations seen = deployment.finish();
    seen.only_planned_stops = plan_of(seed) == plan_kind::planned_stops;
    result.finished = seen.finished;
    result.faults = seen.faults;
    result.leader_gaps = seen.leader_gaps;
    for (const property& each : properties()) {
        std::vector<std::string> found = each.check(seen);
        if (!found.empty()) {
            result.violations[each.name] = std::move(found);
        }
    }
    return result;
}

}  // namespace tallyfold::sim
