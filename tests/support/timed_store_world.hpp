#pragma once
/// @file
/// Simulation of one deployment in real proportions of time: stores report, the directory plans and
/// machines restart at the intervals of the product. Derived worlds cause the faults.

#include <chrono>
#include <set>
#include <vector>

#include "tests/support/store_world.hpp"

namespace tallyfold::tests {

class timed_store_world : public store_world {
  public:
    timed_store_world(std::uint64_t seed, std::size_t machine_count, std::uint32_t losses_borne,
                      injected_defect fault)
        : store_world(seed, machine_count, fault, disk_losses::in_series, losses_borne),
          starts_at_(machine_count) {}

    /// Describes the groups' maps, for the report of a failed run.
    [[nodiscard]] std::string describe_groups() const {
        std::string text;
        for (const turns::store_map& map : state_.stores().groups) {
            text += turns::describe(map) + "; ";
        }
        return text;
    }
    /// Number of recoveries of a group that had lost a majority.
    [[nodiscard]] int recoveries() const { return recoveries_; }

  protected:
    static constexpr duration report_interval = std::chrono::milliseconds(300);
    static constexpr duration plan_interval = std::chrono::milliseconds(100);

    [[nodiscard]] bool directory_works() const { return now_ >= directory_back_at_; }

    void start_due_machines() {
        for (std::size_t number = 0; number < fleet_.size(); ++number) {
            const store_machine& machine = fleet_.machine(number);
            if (!machine.store && !machine.removed && now_ >= starts_at_[number]) {
                fleet_.start(number);
            }
        }
    }

    /// Advances the time by some milliseconds.
    void step() {
        now_ += std::chrono::milliseconds(random_.between(5, 15));
        start_due_machines();
        act_as_directory();
        for (std::size_t number = 0; number < fleet_.size(); ++number) {
            if (random_.chance(0.5)) {
                fleet_.flush(number);
            }
            if (random_.chance(copy_chance_)) {
                fleet_.continue_copy(number);
                fleet_.continue_repair(number);
            }
        }
        act_as_forwarder();
        fleet_.deliver_some(random_.below(40 * groups()), drop_chance_);
    }

    void act_as_directory() {
        if (!directory_works()) {
            return;
        }
        if (now_ >= report_at_) {
            report_at_ = now_ + report_interval;
            report_all();
            deliver_tables();
        }
        if (now_ >= plan_at_) {
            plan_at_ = now_ + plan_interval;
            const std::set<turns::map_epoch> before = recovering_epochs();
            plan();
            recoveries_ += recovering_epochs() == before ? 0 : 1;
        }
    }

    [[nodiscard]] std::set<turns::map_epoch> recovering_epochs() const {
        std::set<turns::map_epoch> epochs;
        for (const turns::store_map& map : state_.stores().groups) {
            if (map.after_loss && map.changing()) {
                epochs.insert(map.epoch);
            }
        }
        return epochs;
    }

    void deliver_tables() {
        for (std::size_t number = 0; number < fleet_.size(); ++number) {
            if (fleet_.machine(number).store && random_.chance(0.8)) {
                fleet_.machine(number).store->learn_table(state_.stores());
            }
        }
        if (random_.chance(0.5) || !forwarder_.has_group_maps()) {
            forwarder_.learn_table(state_.stores());
        }
    }

    void act_as_forwarder() {
        if (!forwarder_.has_group_maps()) {
            return;
        }
        if (random_.chance(0.25)) {
            forwarder_.begin_turn();
        }
        for (int attempt = 0; attempt < 3; ++attempt) {
            if (forwarder_.has_unfinished_begins()) {
                forwarder_.continue_random_begin();
            }
            if (forwarder_.has_unfinished_settlements() && random_.chance(0.5)) {
                forwarder_.resend_random_settlement();
            }
        }
    }

    [[nodiscard]] instant later(std::uint64_t least_ms, std::uint64_t most_ms) {
        return now_ + std::chrono::milliseconds(
                          random_.between(static_cast<int>(least_ms), static_cast<int>(most_ms)));
    }

    std::vector<instant> starts_at_;
    instant directory_back_at_{};
    instant report_at_{};
    instant plan_at_{};
    /// Probability that a message is lost.
    double drop_chance_ = 0.2;
    /// Probability that a store continues its copy and its repair in a step. Slow enough for a
    /// change to be open for a second or more.
    double copy_chance_ = 0.05;
    int recoveries_ = 0;
};

}  // namespace tallyfold::tests
