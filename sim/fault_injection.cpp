/// @file
/// Injection and repair of the faults of a simulated run. All choices come from the plan's random
/// source.

#include "sim/fault_plan.hpp"

namespace tallyfold::sim {

namespace {

/// Poll interval for a repaired node to become a voter, or a draining node to become idle.
constexpr duration repair_poll = std::chrono::milliseconds(50);

duration milliseconds(std::int64_t count) {
    return std::chrono::milliseconds(count);
}

}  // namespace

std::string fault_plan::pick(const std::string& prefix) {
    const std::vector<std::string> names = world_.names(prefix);
    return names[random_.below(names.size())];
}

std::size_t fault_plan::unavailable_controls() const {
    std::size_t count = 0;
    for (const std::string& name : world_.names("control-")) {
        count +=
            !world_.alive(name) || world_.frozen(name) || disrupted_nodes_.contains(name) ? 1 : 0;
    }
    return count;
}

bool fault_plan::may_disrupt_control() const {
    return unavailable_controls() == 0 && !repairing_;
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
        // Occasionally allows several control nodes to be down at once, up to all of them.
        const bool allowed = may_disrupt_control() || random_.chance(0.15);
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
    switch (random_.below(6)) {
        case 0:
            freeze_scheduler();
            break;
        case 1:
            freeze_leader();
            break;
        case 2:
            cut_off_control();
            break;
        case 3:
            cut_one_way();
            break;
        case 4:
            slow_links();
            break;
        default:
            jump_clock();
            break;
    }
}

void fault_plan::freeze_scheduler() {
    const std::string victim = pick("scheduler-");
    if (world_.alive(victim)) {
        world_.count("freeze_scheduler");
        world_.freeze(victim);
        world_.events().after(milliseconds(random_.between(1500, 9000)),
                              [this, victim] { world_.thaw(victim); });
    }
}

void fault_plan::freeze_leader() {
    const std::string leader = world_.leader_of(
        static_cast<group_id>(random_.below(world_.settings().journal_groups + 1)));
    if (!leader.empty() && may_disrupt_control()) {
        world_.count("freeze_control");
        world_.freeze(leader);
        world_.events().after(milliseconds(random_.between(1500, 9000)),
                              [this, leader] { world_.thaw(leader); });
    }
}

void fault_plan::cut_off_control() {
    // Isolates one control node; messages are dropped without an error.
    const std::string victim = pick("control-");
    if (!may_disrupt_control()) {
        return;
    }
    world_.count("cut_silent");
    disrupted_nodes_.insert(victim);
    for (const char* prefix : {"control-", "scheduler-", "gateway-"}) {
        for (const std::string& other : world_.names(prefix)) {
            world_.cut(victim, other, true);
        }
    }
    world_.events().after(milliseconds(random_.between(2000, 8000)), [this, victim] {
        disrupted_nodes_.erase(victim);
        world_.heal_links();
    });
}

void fault_plan::cut_one_way() {
    const std::string from = pick(random_.chance(0.5) ? "control-" : "scheduler-");
    const std::string to = pick(random_.chance(0.5) ? "control-" : "gateway-");
    if (from == to) {
        return;
    }
    world_.count("cut_one_way");
    world_.cut(from, to, false);
    world_.events().after(milliseconds(random_.between(2000, 5000)),
                          [this] { world_.heal_links(); });
}

void fault_plan::slow_links() {
    const std::string victim = pick(random_.chance(0.5) ? "control-" : "scheduler-");
    world_.count("slow_link");
    world_.slow(victim, milliseconds(random_.between(20, 120)));
    world_.set_chaotic(true);
    world_.count("chaotic_network");
    world_.events().after(milliseconds(random_.between(1000, 4000)),
                          [this] { world_.heal_links(); });
}

void fault_plan::jump_clock() {
    const std::string victim = pick(random_.chance(0.5) ? "control-" : "scheduler-");
    world_.count("clock_jump");
    world_.jump_clock(victim, milliseconds(random_.between(500, 60'000)));
}

void fault_plan::inject_disk_loss() {
    const std::string victim = pick("control-");
    if (!may_disrupt_control() || !world_.control_serves()) {
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
    // A second node fails right after the repair and may lose its disk.
    std::string second = pick("control-");
    if (second == repaired || !world_.alive(second) || !may_disrupt_control()) {
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
        // Always the same back end, so that others remain to serve.
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
    if (!world_.alive(victim) || disrupted_nodes_.contains(victim)) {
        return;
    }
    disrupted_nodes_.insert(victim);
    world_.count(scheduler ? "drain_scheduler" : "drain_gateway");
    world_.drain(victim);
    await_drain(victim);
}

void fault_plan::await_drain(const std::string& victim) {
    if (!world_.drained(victim)) {
        world_.events().after(repair_poll, [this, victim] { await_drain(victim); });
        return;
    }
    // The drained process exits and a new one replaces it.
    world_.kill(victim);
    disrupted_nodes_.erase(victim);
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
    // Two operators submit a change to the same version; each retries until it gets a response.
    const std::uint64_t version = next_command_ / 2;
    world_.count("operator_race");
    world_.count("operator_resend");
    world_.submit_change(make(1.0 + random_.unit(), version));
    world_.submit_change(make(3.0 + random_.unit(), version));
    if (random_.chance(0.3)) {
        // A node is down while many changes are committed.
        const std::string lagging_node = pick(random_.chance(0.5) ? "scheduler-" : "gateway-");
        if (!world_.alive(lagging_node)) {
            return;
        }
        world_.count("far_behind");
        world_.kill(lagging_node);
        restart_later(lagging_node, 2000, 6000);
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
