#include "sim/fault_plan.hpp"

#include "stand_ins/deployment_defaults.hpp"
#include "tallyfold/base/common/hash.hpp"

namespace tallyfold::sim {

namespace {

constexpr duration fault_span = std::chrono::seconds(18);
constexpr duration repair_poll = std::chrono::milliseconds(50);

duration milliseconds(std::int64_t count) {
    return std::chrono::milliseconds(count);
}

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
    const bool rough = kind == plan_kind::back_ends || kind == plan_kind::everything;
    if (rough) {
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
    end_ = world_.events().now() + fault_span;
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
    world_.events().after(milliseconds(random_.between(400, 1800)), [this] {
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
        case plan_kind::everything: {
            const std::uint64_t draw = random_.below(5);
            if (draw == 0) {
                inject_crash();
            } else if (draw == 1) {
                inject_silence();
            } else if (draw == 2) {
                inject_disk_loss();
            } else if (draw == 3) {
                inject_back_end_fault();
            } else {
                inject_operator_action();
            }
            break;
        }
    }
}

std::string fault_plan::pick(const std::string& prefix) {
    const std::vector<std::string> names = world_.names(prefix);
    return names[random_.below(names.size())];
}

std::size_t fault_plan::controls_in_trouble() const {
    std::size_t count = 0;
    for (const std::string& name : world_.names("control-")) {
        count += !world_.alive(name) || world_.frozen(name) || troubled_.contains(name) ? 1 : 0;
    }
    return count;
}

bool fault_plan::may_harm_control() const {
    return controls_in_trouble() == 0 && !repairing_;
}

void fault_plan::restart_later(const std::string& node, std::int64_t low_ms, std::int64_t high_ms) {
    world_.events().after(milliseconds(random_.between(low_ms, high_ms)),
                          [this, node] { world_.restart(node); });
}

void fault_plan::inject_crash() {
    const std::uint64_t draw = random_.below(4);
    if (draw <= 1) {
        const std::string leader = world_.leader_of(
            static_cast<group_id>(random_.below(world_.settings().journal_groups + 1)));
        const std::string victim = draw == 0 && !leader.empty() ? leader : pick("control-");
        // Short blackouts of all control nodes are part of it, too.
        const bool allowed = may_harm_control() || random_.chance(0.15);
        if (allowed && world_.alive(victim) && !repairing_) {
            world_.count("kill_control");
            world_.kill(victim);
            restart_later(victim, 300, 4000);
        }
    } else if (draw == 2) {
        const std::string victim = pick("scheduler-");
        if (world_.alive(victim)) {
            world_.count("kill_scheduler");
            world_.kill(victim);
            restart_later(victim, 200, 5000);
        }
    } else {
        const std::string victim = pick("gateway-");
        if (world_.alive(victim)) {
            world_.count("kill_gateway");
            world_.kill(victim);
            restart_later(victim, 200, 2000);
        }
    }
}

void fault_plan::inject_silence() {
    const std::uint64_t draw = random_.below(6);
    if (draw == 0) {
        const std::string victim = pick("scheduler-");
        if (world_.alive(victim)) {
            world_.count("freeze_scheduler");
            world_.freeze(victim);
            world_.events().after(milliseconds(random_.between(1500, 9000)),
                                  [this, victim] { world_.thaw(victim); });
        }
    } else if (draw == 1) {
        const std::string leader = world_.leader_of(
            static_cast<group_id>(random_.below(world_.settings().journal_groups + 1)));
        if (!leader.empty() && may_harm_control()) {
            world_.count("freeze_control");
            world_.freeze(leader);
            world_.events().after(milliseconds(random_.between(1500, 9000)),
                                  [this, leader] { world_.thaw(leader); });
        }
    } else if (draw == 2) {
        // One control node cut off from everybody, without any error.
        const std::string victim = pick("control-");
        if (!may_harm_control()) {
            return;
        }
        world_.count("cut_silent");
        troubled_.insert(victim);
        for (const char* prefix : {"control-", "scheduler-", "gateway-"}) {
            for (const std::string& other : world_.names(prefix)) {
                world_.cut(victim, other, true);
            }
        }
        world_.events().after(milliseconds(random_.between(2000, 8000)), [this, victim] {
            troubled_.erase(victim);
            world_.heal_links();
        });
    } else if (draw == 3) {
        const std::string from = pick(random_.chance(0.5) ? "control-" : "scheduler-");
        const std::string to = pick(random_.chance(0.5) ? "control-" : "gateway-");
        if (from == to) {
            return;
        }
        world_.count("cut_one_way");
        world_.cut(from, to, false);
        world_.events().after(milliseconds(random_.between(2000, 5000)),
                              [this] { world_.heal_links(); });
    } else if (draw == 4) {
        const std::string victim = pick(random_.chance(0.5) ? "control-" : "scheduler-");
        world_.count("slow_link");
        world_.slow(victim, milliseconds(random_.between(20, 120)));
        world_.set_chaotic(true);
        world_.count("chaotic_network");
        world_.events().after(milliseconds(random_.between(1000, 4000)),
                              [this] { world_.heal_links(); });
    } else {
        const std::string victim = pick(random_.chance(0.5) ? "control-" : "scheduler-");
        world_.count("clock_jump");
        world_.jump_clock(victim, milliseconds(random_.between(500, 60'000)));
    }
}

void fault_plan::inject_disk_loss() {
    const std::string victim = pick("control-");
    if (!may_harm_control() || !world_.control_serves()) {
        return;
    }
    world_.count("lose_disk");
    repairing_ = true;
    world_.lose_disk(victim);
    const std::int64_t away = random_.between(100, 2000);
    world_.events().after(milliseconds(away), [this, victim] {
        world_.restart(victim);
        await_repair(victim);
    });
}

void fault_plan::await_repair(const std::string& repaired) {
    if (!world_.is_voter_everywhere(repaired)) {
        world_.events().after(repair_poll, [this, repaired] { await_repair(repaired); });
        return;
    }
    repairing_ = false;
    if (world_.events().now() > end_ || !random_.chance(0.7)) {
        return;
    }
    // A second machine fails right after the repair, some of the time with its disk.
    std::string second = pick("control-");
    if (second == repaired || !world_.alive(second) || !may_harm_control()) {
        return;
    }
    world_.count("second_failure");
    if (random_.chance(0.5)) {
        repairing_ = true;
        world_.lose_disk(second);
        world_.events().after(milliseconds(random_.between(100, 1500)), [this, second] {
            world_.restart(second);
            await_repair(second);
        });
        return;
    }
    world_.kill(second);
    restart_later(second, 500, 3000);
}

void fault_plan::inject_back_end_fault() {
    const std::uint64_t draw = random_.below(5);
    if (draw == 0) {
        const std::string victim = pick("engine-");
        if (world_.alive(victim)) {
            world_.count("kill_engine");
            world_.count("lose_cache");
            world_.kill(victim);
            restart_later(victim, 500, 4000);
        }
    } else if (draw == 1) {
        const std::string victim = pick("app-");
        if (world_.alive(victim)) {
            world_.count("kill_app");
            world_.kill(victim);
            restart_later(victim, 300, 3000);
        }
    } else if (draw == 2) {
        const std::string victim = pick("engine-");
        if (world_.alive(victim)) {
            world_.count("freeze_engine");
            world_.freeze(victim);
            world_.events().after(milliseconds(random_.between(1000, 7000)),
                                  [this, victim] { world_.thaw(victim); });
        }
    } else if (draw == 3) {
        // Never the last ones: somebody has to serve.
        world_.count("leave_engine");
        world_.leave("engine-1");
    } else {
        world_.count("leave_app");
        world_.leave("app-1");
    }
}

void fault_plan::inject_planned_stop() {
    const bool scheduler = random_.chance(0.6);
    const std::string victim = scheduler ? "scheduler-1" : "gateway-1";
    if (scheduler && random_.chance(0.4)) {
        world_.count("leave_engine");
        world_.leave("engine-1");
        return;
    }
    if (!world_.alive(victim) || troubled_.contains(victim)) {
        return;
    }
    troubled_.insert(victim);
    world_.count(scheduler ? "drain_scheduler" : "drain_gateway");
    world_.drain(victim);
    await_drain(victim);
}

void fault_plan::await_drain(const std::string& victim) {
    if (!world_.drained(victim)) {
        world_.events().after(repair_poll, [this, victim] { await_drain(victim); });
        return;
    }
    // The process has ended, and a new one takes its place.
    world_.kill(victim);
    troubled_.erase(victim);
    restart_later(victim, 200, 1500);
}

void fault_plan::inject_operator_action() {
    const auto make = [&](double weight, std::uint64_t version) {
        configuration::change_command command;
        command.command_identity = "op-" + std::to_string(next_command_++);
        command.operator_name = "operator";
        command.key = {configuration::item_kind::tenant, "race"};
        command.expected_version = version;
        command.body = configuration::tenant_settings{weight, 100};
        return command;
    };
    // Two operators submit from equal versions; each repeats until an answer arrives.
    const std::uint64_t version = next_command_ / 2;
    world_.count("operator_race");
    world_.count("operator_resend");
    world_.submit_change(make(1.0 + random_.unit(), version));
    world_.submit_change(make(3.0 + random_.unit(), version));
    if (random_.chance(0.3)) {
        // A process sleeps through hundreds of changes.
        const std::string sleeper = pick(random_.chance(0.5) ? "scheduler-" : "gateway-");
        if (!world_.alive(sleeper)) {
            return;
        }
        world_.count("far_behind");
        world_.kill(sleeper);
        restart_later(sleeper, 2000, 6000);
        for (int change = 0; change < 150; ++change) {
            configuration::change_command command;
            command.command_identity = "bulk-" + std::to_string(next_command_++);
            command.operator_name = "operator";
            command.key = {configuration::item_kind::tenant, "bulk-" + command.command_identity};
            command.body = configuration::tenant_settings{};
            world_.submit_change(command);
        }
        next_command_ += next_command_ % 2 == 0 ? 1 : 0;
    }
}

}  // namespace tallyfold::sim
