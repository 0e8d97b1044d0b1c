#pragma once
/// @file
/// Simulation of losses that come one at a time: each one only after the machine of the previous
/// one has been back, or its successor has run, for the catch-up time. Restarts, short cuts,
/// planned and unplanned replacements by another machine, and lost disks follow each other in any
/// order. Where the data is at the time of a loss is not looked at: keeping it safe is up to the
/// stores.

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "tests/support/timed_store_world.hpp"

namespace tallyfold::tests {

/// The losses that a separate_losses_world draws.
enum class drawn_losses : std::uint8_t {
    /// Restarts, short cuts and lost disks: machines keep their names.
    of_returning_machines,
    /// These, and machines that are replaced by others.
    of_any_machine,
};

class separate_losses_world : public timed_store_world {
  public:
    separate_losses_world(std::uint64_t seed, std::size_t machine_count, std::uint32_t losses_borne,
                          drawn_losses drawn)
        : timed_store_world(seed, machine_count, losses_borne, injected_defect::nothing),
          drawn_(drawn) {
        // Undisturbed machines catch up at their usual pace.
        drop_chance_ = 0.02;
        copy_chance_ = 0.3;
    }

    void run(duration length) {
        const instant end = now_ + length;
        while (now_ < end) {
            step_with_events();
            if (now_ >= counts_until_) {
                check_members();
                cause_loss();
            }
        }
    }

    /// Runs for as long as a deployment may take to recover, without further losses.
    void recover() {
        const instant end = now_ + recovery_time;
        while (now_ < end) {
            step_with_events();
        }
        forwarder_.stop();
        check_members();
    }

    /// Number of times that a member lacked a settled turn when the previous loss counted no more.
    [[nodiscard]] int members_behind() const { return members_behind_; }
    [[nodiscard]] int losses() const { return losses_; }
    [[nodiscard]] int replacements() const { return replacements_; }

  private:
    static constexpr duration catch_up_time = std::chrono::milliseconds(4'300);
    static constexpr duration recovery_time = std::chrono::seconds(12);
    /// Age from which a settled turn has to be on every member.
    static constexpr duration settled_age = catch_up_time;

    struct pending_removal {
        std::size_t number = 0;
        instant at{};
    };

    void step_with_events() {
        step();
        for (const auto& [turn, program] : forwarder_.settled()) {
            settled_at_.try_emplace(turn, now_);
        }
        if (removal_.has_value() && now_ >= removal_->at) {
            remove(removal_->number);
            removal_.reset();
        }
        if (successor_due_ && now_ >= *successor_due_) {
            add_machine();
            successor_due_.reset();
        }
        if (cut_off_ && now_ >= cut_until_) {
            fleet_.machine(*cut_off_).is_cut_off = false;
            cut_off_.reset();
        }
    }

    std::size_t add_machine() {
        const std::size_t number = fleet_.add_machine();
        starts_at_.push_back(now_);
        return number;
    }

    void remove(std::size_t number) {
        store_machine& gone = fleet_.machine(number);
        gone.store.reset();
        gone.disk.clear();
        gone.removed = true;
    }

    void stop_until(std::size_t number, instant returns_at) {
        fleet_.machine(number).store.reset();
        starts_at_[number] = returns_at;
        counts_until_ = returns_at + catch_up_time;
    }

    void cause_loss() {
        ++losses_;
        const std::size_t number = choose_member();
        switch (random_.below(drawn_ == drawn_losses::of_any_machine ? 5 : 3)) {
            case 0:
                stop_until(number, later(200, 2'500));
                break;
            case 1:
                fleet_.wipe_disk(number);
                stop_until(number, later(100, 2'800));
                ++wipes_;
                break;
            case 2:
                cut_off_ = number;
                fleet_.machine(number).is_cut_off = true;
                cut_until_ = later(300, 3'000);
                counts_until_ = cut_until_ + catch_up_time;
                break;
            case 3:
                // Planned: the successor starts first.
                ++replacements_;
                add_machine();
                removal_ = pending_removal{number, now_ + successor_lead};
                counts_until_ = now_ + catch_up_time;
                break;
            default:
                ++replacements_;
                remove(number);
                successor_due_ = now_ + successor_lead;
                counts_until_ = *successor_due_ + catch_up_time;
        }
    }

    /// A running member of a random group.
    [[nodiscard]] std::size_t choose_member() {
        const auto& maps = state_.stores().groups;
        std::vector<std::size_t> members;
        for (const turns::store_member& member : maps[random_.below(maps.size())].current) {
            const std::size_t number = std::stoul(member.address);
            if (fleet_.machine(number).store && fleet_.machine(number).identity == member.id) {
                members.push_back(number);
            }
        }
        CPPUNIT_ASSERT(!members.empty());
        return members[random_.below(members.size())];
    }

    /// Counts the running members that lack a turn which was settled long enough ago.
    void check_members() {
        for (const turns::store_map& map : state_.stores().groups) {
            for (const turns::store_member& member : map.current) {
                const store_machine& holder = fleet_.machine_at(member);
                if (!holder.store || holder.identity != member.id) {
                    continue;
                }
                const bool lacks_any =
                    std::any_of(forwarder_.settled().begin(), forwarder_.settled().end(),
                                [&](const auto& entry) {
                                    const auto& [turn, program] = entry;
                                    return state_.stores().group_of(program) == map.group &&
                                           now_ - settled_at_.at(turn) > settled_age &&
                                           !holder.store->turns().holds_turn(turn);
                                });
                members_behind_ += lacks_any ? 1 : 0;
            }
        }
    }

    /// Time between the start of a successor and the end of its predecessor, or the reverse.
    static constexpr duration successor_lead = std::chrono::seconds(1);

    drawn_losses drawn_;
    std::map<std::string, instant> settled_at_;
    /// Time from which the previous loss counts no more.
    instant counts_until_ = now_ + std::chrono::seconds(3);
    std::optional<pending_removal> removal_;
    std::optional<instant> successor_due_;
    std::optional<std::size_t> cut_off_;
    instant cut_until_{};
    int losses_ = 0;
    int replacements_ = 0;
    int members_behind_ = 0;
};

}  // namespace tallyfold::tests
