#pragma once
/// @file
/// Seeded fault plans for simulated runs.

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "sim/world.hpp"

namespace tallyfold::sim {

enum class plan_kind : std::uint8_t {
    crashes,
    silence,
    disks,
    back_ends,
    planned_stops,
    operators,
    everything,
};
constexpr std::uint64_t plan_kinds = 7;

std::string_view to_string(plan_kind kind);

/// Kind of plan that a seed selects.
plan_kind plan_of(std::uint64_t seed);

/// World settings of a fault run for a seed: sizes, workload and program classes.
world_settings fault_world(std::uint64_t seed, const std::map<std::string, std::string>& policies);

/// Schedules the faults of a seed in a world. Must outlive the run.
class fault_plan {
  public:
    fault_plan(world& target, std::uint64_t seed);
    void start();

  private:
    void schedule_next();
    void inject();
    void inject_crash();
    void inject_any();
    void inject_silence();
    void freeze_scheduler();
    void freeze_leader();
    void cut_off_control();
    void cut_one_way();
    void slow_links();
    void jump_clock();
    void inject_disk_loss();
    void inject_back_end_fault();
    void inject_planned_stop();
    void inject_operator_action();
    void await_repair(const std::string& repaired);
    void await_drain(const std::string& victim);
    void restart_later(const std::string& node, std::int64_t low_ms, std::int64_t high_ms);
    [[nodiscard]] std::string pick(const std::string& prefix);
    [[nodiscard]] bool may_disrupt_control() const;
    /// Number of control nodes that are down, frozen or isolated.
    [[nodiscard]] std::size_t unavailable_controls() const;

    world& world_;
    plan_kind kind_;
    random_source random_;
    instant end_{};
    std::set<std::string> disrupted_nodes_;
    bool repairing_ = false;
    std::uint64_t next_command_ = 1;
};

}  // namespace tallyfold::sim
