#pragma once
/// @file
/// Simulation of turn stores, a forwarder and the store planner on a network that delays, reorders
/// and drops messages by a seeded generator. Machines crash, lose their disks, and are retired.
/// Programs continue their own turns and those of others.

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "tallyfold/plane/directory/store_planner.hpp"
#include "tests/support/simulated_forwarder.hpp"
#include "tests/support/store_fleet.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

/// When a machine may lose its disk.
enum class disk_losses : std::uint8_t {
    /// Only when every group is complete again after the previous loss.
    one_at_a_time,
    /// At any time, also during a membership change, as long as each acknowledged turn and each
    /// admitted request is on the disk of another member of a group. Power losses of all machines
    /// occur too.
    in_series,
};

class store_world {
  public:
    store_world(std::uint64_t seed, std::size_t machine_count,
                injected_defect fault = injected_defect::nothing,
                disk_losses losses = disk_losses::one_at_a_time, std::uint32_t losses_borne = 1)
        : random_(seed),
          fault_(fault),
          losses_(losses),
          losses_borne_(losses_borne),
          fleet_(machine_count, random_, now_),
          forwarder_(fleet_, fault, random_, now_),
          planner_(planner_settings(losses_borne)) {
        planner_.start(now_);
        report_all();
        now_ += std::chrono::seconds(2);
        report_all();
        plan();
        forwarder_.learn_table(state_.stores());
    }

    void run(int steps) {
        for (int step = 0; step < steps; ++step) {
            now_ += std::chrono::milliseconds(random_.between(1, 12));
            perform_random_action();
        }
        run_until_settled();
    }

    /// Wipes a disk and lets its replacement copy all data; then, before the replacement has
    /// reported this to the directory, loses power on all machines and wipes a second disk.
    void lose_second_disk_during_membership_change() {
        fleet_.machine(0).store.reset();
        fleet_.wipe_disk(0);
        fleet_.start(0);
        now_ += std::chrono::seconds(2);
        report_all();
        plan();
        const std::size_t open = static_cast<std::size_t>(
            std::count_if(state_.stores().groups.begin(), state_.stores().groups.end(),
                          [](const turns::store_map& map) { return map.changing(); }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, open);
        for (int round = 0; round < 60; ++round) {
            synchronize_stores();
        }
        CPPUNIT_ASSERT_EQUAL(state_.stores().epoch, fleet_.machine(0).store->copied_epoch());
        lose_power();
        fleet_.wipe_disk(2);
        planner_.start(now_);
        run_until_settled();
    }

    /// @return whether the first turn of a new program is admitted
    bool serves_new_programs() { return admits_continuation({}, "new-program"); }

    /// @return settled turns that can't be continued, by their own program or by another one
    std::vector<std::string> lost_turns() {
        std::vector<std::string> lost;
        for (const auto& [turn, program] : forwarder_.settled()) {
            for (const std::string& asker : {program, std::string("checker-" + turn)}) {
                if (!admits_continuation(turn, asker)) {
                    lost.push_back(turn);
                }
            }
        }
        return lost;
    }

    [[nodiscard]] const simulated_forwarder& forwarder() const { return forwarder_; }
    [[nodiscard]] std::size_t groups() const { return state_.stores().groups.size(); }
    [[nodiscard]] int wipes() const { return wipes_; }
    [[nodiscard]] int crashes() const { return crashes_; }
    [[nodiscard]] int power_losses() const { return power_losses_; }
    /// Number of disks lost while a group was incomplete or changing.
    [[nodiscard]] int wipes_in_change() const { return wipes_in_change_; }
    [[nodiscard]] int retired() const { return retired_; }

  protected:
    static directory::store_planner_settings planner_settings(std::uint32_t losses_borne) {
        directory::store_planner_settings settings;
        settings.losses = losses_borne;
        return settings;
    }

    void report(std::size_t number) {
        const store_machine& reporting = fleet_.machine(number);
        if (!reporting.store || reporting.is_cut_off) {
            return;
        }
        const bool claims =
            fault_ == injected_defect::copy_reported_early && reporting.store->map().changing();
        const turns::map_epoch copied =
            claims ? reporting.store->map().epoch : reporting.store->copied_epoch();
        planner_.on_report({fleet_.member_of(number), copied}, now_);
    }

    void report_all() {
        for (std::size_t number = 0; number < fleet_.size(); ++number) {
            report(number);
        }
    }

    /// Reports at about the product's interval of 300 ms: a store that reports more seldom would
    /// count as gone.
    void report_some() {
        for (std::size_t number = 0; number < fleet_.size(); ++number) {
            if (random_.chance(0.3)) {
                report(number);
            }
        }
    }

    void plan() {
        // Exceeds the retention of the simulated turns.
        planner_.update_incomplete_groups(state_, std::chrono::seconds(75), now_);
        if (const auto change = planner_.plan(state_, now_)) {
            state_.apply(*change);
        }
    }

    /// @return whether every group is complete, has no open change, and all its stores run
    [[nodiscard]] bool groups_are_complete() const {
        for (const turns::store_map& map : state_.stores().groups) {
            if (map.changing() ||
                map.current.size() != planner_settings(losses_borne_).group_size()) {
                return false;
            }
            for (const turns::store_member& member : map.current) {
                const store_machine& holder = fleet_.machine_at(member);
                if (!holder.store || holder.identity != member.id) {
                    return false;
                }
            }
        }
        return true;
    }

    /// @return whether the disk is a member of a group, also one listed as unreachable. A joining
    /// store is no member before its change ends: the change may be planned anew without it.
    [[nodiscard]] bool is_member(turns::store_id disk) const {
        const auto& groups = state_.stores().groups;
        return std::any_of(groups.begin(), groups.end(), [&](const turns::store_map& map) {
            return directory::has_id(map.current, disk) || directory::has_id(map.absent, disk);
        });
    }

    /// @return whether every admitted request and settled turn is also on the disk of another
    /// member. The disk of a store that left its group does not count: no group reads it any more.
    [[nodiscard]] bool data_survives_loss_of(std::size_t number) const {
        std::set<std::string> requests;
        std::set<std::string> turns;
        for (std::size_t other = 0; other < fleet_.size(); ++other) {
            if (other != number && is_member(fleet_.machine(other).identity)) {
                requests.merge(fleet_.requests_on(other));
                turns.merge(fleet_.turns_on(other));
            }
        }
        return std::includes(requests.begin(), requests.end(),
                             forwarder_.admitted_requests().begin(),
                             forwarder_.admitted_requests().end()) &&
               std::all_of(forwarder_.settled().begin(), forwarder_.settled().end(),
                           [&](const auto& entry) { return turns.contains(entry.first); });
    }

    void lose_power() {
        ++power_losses_;
        fleet_.lose_power();
    }

    void wipe_random_disk() {
        const std::size_t number = random_.below(fleet_.size());
        if (random_.chance(0.1)) {
            lose_power();
        }
        if (random_.chance(0.1)) {
            planner_.start(now_);
        }
        fleet_.machine(number).store.reset();
        if (!data_survives_loss_of(number)) {
            return;
        }
        ++wipes_;
        wipes_in_change_ += groups_are_complete() ? 0 : 1;
        fleet_.wipe_disk(number);
    }

    void fail_random_machine() {
        if (losses_ == disk_losses::in_series) {
            wipe_random_disk();
            return;
        }
        const std::size_t number = random_.below(fleet_.size());
        if (!groups_are_complete() || fleet_.machine(number).removed || random_.chance(0.3)) {
            return;
        }
        fleet_.machine(number).store.reset();
        if (random_.chance(0.6)) {
            ++wipes_;
            fleet_.wipe_disk(number);
        } else {
            ++crashes_;
        }
    }

    void retire_random_machine() {
        const std::size_t number = random_.below(fleet_.size());
        const std::string node = store_fleet::node_of(number);
        if (retired_ == 0 && groups_are_complete() &&
            planner_.assess_retirement(state_, node, {}, now_).verdict ==
                directory::retirement_verdict::allowed) {
            state_.apply(directory::retire_store{node, planner_.disks_of(state_, node, now_)});
        }
    }

    /// Removes retired machines that belong to no group any more, with their disks.
    void remove_retired_machines() {
        for (std::size_t number = 0; number < fleet_.size(); ++number) {
            store_machine& emptied = fleet_.machine(number);
            // A group also copies from a member that is listed as absent.
            const bool done = state_.retired().contains(emptied.identity) &&
                              !state_.stores().contains(emptied.identity) &&
                              !is_member(emptied.identity);
            if (done && !emptied.removed) {
                emptied.removed = true;
                emptied.store.reset();
                emptied.disk.clear();
                ++retired_;
            }
        }
    }

    void perform_random_action() {
        const std::uint64_t choice = random_.below(100);
        const std::size_t number = random_.below(fleet_.size());
        if (choice < 42) {
            // The delivery rate must exceed the rate of sends, or the queue grows without bound.
            fleet_.deliver_some(4 * groups());
        } else if (choice < 58) {
            fleet_.flush(number);
        } else if (choice < 65) {
            forwarder_.begin_turn();
        } else if (choice < 70 && forwarder_.has_unfinished_begins()) {
            forwarder_.continue_random_begin();
        } else if (choice < 74 && forwarder_.has_unfinished_settlements()) {
            forwarder_.resend_random_settlement();
        } else if (choice < 80) {
            fleet_.continue_copy(number);
            fleet_.continue_repair(number);
        } else if (choice < 88) {
            report_some();
        } else if (choice < 92) {
            plan();
            remove_retired_machines();
        } else if (choice < 95 && fleet_.machine(number).store) {
            fleet_.machine(number).store->learn_table(state_.stores());
        } else if (choice < 96) {
            forwarder_.learn_table(state_.stores());
        } else if (choice < 97) {
            fail_random_machine();
        } else if (choice < 98 && random_.chance(0.4)) {
            retire_random_machine();
        } else if (!fleet_.machine(number).store && !fleet_.machine(number).removed) {
            fleet_.start(number);
        }
    }

    /// Updates the group table of all stores, copies, and delivers all messages, without planning.
    void synchronize_stores() {
        now_ += std::chrono::milliseconds(20);
        for (std::size_t number = 0; number < fleet_.size(); ++number) {
            if (fleet_.machine(number).removed) {
                continue;
            }
            if (!fleet_.machine(number).store) {
                fleet_.start(number);
            }
            fleet_.machine(number).store->learn_table(state_.stores());
            fleet_.continue_copy(number);
            fleet_.continue_repair(number);
        }
        fleet_.deliver_all();
        for (std::size_t number = 0; number < fleet_.size(); ++number) {
            fleet_.flush(number);
        }
    }

    /// Stops the faults and runs until all pending changes and copies are complete.
    void run_until_settled() {
        // Messages in flight must not compensate for data that the stores lost.
        fleet_.lose_messages();
        forwarder_.stop();
        for (int round = 0; round < 400; ++round) {
            synchronize_stores();
            report_all();
            plan();
        }
    }

    /// @return a store's reply, computed directly from its turn table
    turns::store_reply answer_of(const turns::addressed_request& question) {
        const store_machine& asked = fleet_.machine_at(question.store);
        const turns::turn_table& table = asked.store->turns();
        if (const auto* begin = std::get_if<turns::begin_request>(&question.body)) {
            turns::begin_reply reply;
            reply.operation = begin->operation;
            reply.store = asked.identity;
            reply.durable = true;
            reply.holds_previous = table.holds_turn(begin->previous);
            if (begin->wants_history) {
                reply.history = table.history_up_to(begin->previous);
            }
            return reply;
        }
        if (const auto* history = std::get_if<turns::history_request>(&question.body)) {
            return turns::history_reply{history->operation, asked.identity,
                                        table.history_up_to(history->request)};
        }
        const auto& find = std::get<turns::find_request>(question.body);
        return turns::find_reply{
            find.operation, asked.identity, {}, table.holds_turn(find.request)};
    }

    bool admits_continuation(const std::string& turn, const std::string& program) {
        turns::begin_parameters question;
        question.reservation = {program, "c-" + turn, 1, 60'000};
        question.previous = turn;
        turns::begin_coordinator checked(1, question, state_.stores());
        const auto choose = [this](const turns::store_map& map) { return forwarder_.nearest(map); };
        for (int round = 0; round < 60 && checked.is_undecided(); ++round) {
            now_ += std::chrono::milliseconds(20);
            for (const turns::addressed_request& asked :
                 checked.take_due_requests(now_, state_.stores(), choose)) {
                if (!fleet_.machine_at(asked.store).store) {
                    continue;
                }
                std::visit(
                    [&](const auto& body) {
                        if constexpr (requires { checked.on_reply(body); }) {
                            checked.on_reply(body);
                        }
                    },
                    answer_of(asked));
            }
        }
        return checked.outcome().result == turns::begin_result::admitted;
    }

    random_source random_;
    injected_defect fault_;
    disk_losses losses_;
    std::uint32_t losses_borne_;
    instant now_{};
    store_fleet fleet_;
    simulated_forwarder forwarder_;
    directory::store_planner planner_;
    directory::directory_state state_;
    int wipes_ = 0;
    int crashes_ = 0;
    int power_losses_ = 0;
    int wipes_in_change_ = 0;
    int retired_ = 0;
};

}  // namespace tallyfold::tests
