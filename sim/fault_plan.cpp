#include "sim/fault_plan.hpp"

#include "stand_ins/deployment_defaults.hpp"
#include "tallyfold/base/common/hash.hpp"

namespace tallyfold::sim {

namespace {

constexpr duration injection_period = std::chrono::seconds(18);

}  // namespace

std::string_view to_string(plan_kind kind) {
    switch (kind) {
        case plan_kind::crashes:
            return "crashes";
        case plan_kind::silence:
            return "silence";
        case plan_kind::disks:
            return "disks";
        case plan_kind::back_ends:
            return "back_ends";
        case plan_kind::planned_stops:
            return "planned_stops";
        case plan_kind::operators:
            return "operators";
        case plan_kind::everything:
            return "everything";
    }
    return "invalid";
}

plan_kind plan_of(std::uint64_t seed) {
    return static_cast<plan_kind>(seed % plan_kinds);
}

world_settings fault_world(std::uint64_t seed, const std::map<std::string, std::string>& policies) {
    const plan_kind kind = plan_of(seed);
    world_settings settings;
    settings.seed = seed;
    settings.workload.seed = combine_hash(seed, 7);
    settings.workload.profile =
        seed / plan_kinds % 2 == 0 ? stand_ins::deployment::huayin : stand_ins::deployment::hobart;
    settings.workload.programs = 16;
    settings.workload.span = std::chrono::seconds(10);
    settings.workload.pause_scale = 0.25;
    settings.workload.token_scale = 0.25;
    settings.schedulers = 3;
    settings.engines = 4;
    settings.apps = 3;
    settings.engine.cache_tokens = 30'000;
    settings.engine.event_loss = 0.02;
    settings.policies = policies;
    settings.classes = stand_ins::default_classes(settings.workload.profile);
    for (auto& [name, each] : settings.classes) {
        each.idle_timeout_ms = 15'000;
        each.turn_limit = 60;
        each.tool_timeout_ms = 1'500;
    }
    settings.settle = std::chrono::seconds(30);
    settings.limit = std::chrono::seconds(240);
    const bool with_back_end_faults = kind == plan_kind::back_ends || kind == plan_kind::everything;
    if (with_back_end_faults) {
        settings.tool_hang_share = 0.1;
        settings.workload.endless_programs = 1;
    }
    if (kind != plan_kind::planned_stops) {
        settings.workload.abandoned_share = 0.1;
    }
    return settings;
}

fault_plan::fault_plan(world& target, std::uint64_t seed)
    : world_(target), kind_(plan_of(seed)), random_(combine_hash(seed, 99)) {}

void fault_plan::start() {
    end_ = world_.events().now() + injection_period;
    if (world_.settings().workload.abandoned_share > 0) {
        world_.count("abandoned_program");
    }
    if (world_.settings().tool_hang_share > 0) {
        world_.count("hung_tool");
        world_.count("endless_program");
    }
    schedule_next();
}

void fault_plan::schedule_next() {
    world_.events().after(std::chrono::milliseconds(random_.between(400, 1800)), [this] {
        if (world_.events().now() < end_) {
            inject();
            schedule_next();
        }
    });
}

void fault_plan::inject() {
    switch (kind_) {
        case plan_kind::crashes:
            inject_crash();
            break;
        case plan_kind::silence:
            inject_silence();
            break;
        case plan_kind::disks:
            if (random_.chance(0.5)) {
                inject_disk_loss();
            } else {
                inject_crash();
            }
            break;
        case plan_kind::back_ends:
            inject_back_end_fault();
            break;
        case plan_kind::planned_stops:
            inject_planned_stop();
            break;
        case plan_kind::operators:
            inject_operator_action();
            if (random_.chance(0.3)) {
                inject_crash();
            }
            break;
        case plan_kind::everything:
            inject_any();
            break;
    }
}

void fault_plan::inject_any() {
    switch (random_.below(5)) {
        case 0:
            inject_crash();
            break;
        case 1:
            inject_silence();
            break;
        case 2:
            inject_disk_loss();
            break;
        case 3:
            inject_back_end_fault();
            break;
        default:
            inject_operator_action();
            break;
    }
}

}  // namespace tallyfold::sim
