#pragma once
/// @file
/// Simulated directory nodes with disks, in virtual time: machines lose power, freeze, are cut off
/// and lose their disks. A write takes time to sync, and a loss of power before that loses it.

#include <algorithm>
#include <deque>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "tallyfold/base/common/random.hpp"
#include "tallyfold/plane/directory/directory_core.hpp"

namespace tallyfold::tests {

class directory_disks {
  public:
    /// Time that a machine needs, once it is back and reachable, until it counts as recovered.
    static constexpr duration catch_up_time = std::chrono::seconds(6);

    directory_disks(std::size_t machine_count, std::size_t tolerated_losses, std::uint64_t seed)
        : random_(seed), tolerated_losses_(tolerated_losses) {
        constexpr std::size_t seed_count = 3;
        for (std::size_t number = 0; number < machine_count; ++number) {
            machines_.emplace_back().address = "10.0.0." + std::to_string(number + 1) + ":71";
            if (number < seed_count) {
                seeds_.push_back(machines_.back().address);
            }
        }
        for (machine& each : machines_) {
            start(each);
        }
        first_start_ = false;
    }

    [[nodiscard]] std::size_t size() const { return machines_.size(); }
    [[nodiscard]] instant now() const { return now_; }
    [[nodiscard]] random_source& random() { return random_; }
    [[nodiscard]] bool is_seed(std::size_t number) const {
        return std::find(seeds_.begin(), seeds_.end(), machines_[number].address) != seeds_.end();
    }
    /// The machine that leads and has committed in its term.
    [[nodiscard]] std::optional<std::size_t> leader() const {
        for (std::size_t number = 0; number < size(); ++number) {
            const auto& core = machines_[number].core;
            if (core && core->leads() && core->replica().has_committed_in_term()) {
                return number;
            }
        }
        return std::nullopt;
    }
    /// True when the machine's replica is a voter by its own membership.
    [[nodiscard]] bool is_voter(std::size_t number) const {
        const machine& each = machines_[number];
        return each.core && each.core->replica().members().is_voter(each.identity);
    }
    /// True while the machine counts as lost.
    [[nodiscard]] bool is_lost(std::size_t number) const {
        return now_ < machines_[number].recovered_at;
    }
    /// True while the machine counts as lost, and has lost its disk.
    [[nodiscard]] bool has_lost_disk(std::size_t number) const {
        return is_lost(number) && machines_[number].disk_lost;
    }
    [[nodiscard]] std::size_t lost_count() const { return count(&directory_disks::is_lost); }
    [[nodiscard]] std::size_t lost_disk_count() const {
        return count(&directory_disks::has_lost_disk);
    }

    void lose_power(std::size_t number, duration outage) {
        machine& each = machines_[number];
        each.core.reset();
        if (each.writing && random_.chance(0.5)) {
            each.disk.apply(*each.writing->work.write);
            each.has_data = true;
        }
        each.writing.reset();
        each.starts_at = std::max(each.starts_at, now_ + outage);
        disturb(each, each.starts_at);
    }
    /// The machine loses power, and starts again with an empty disk and another identity.
    void lose_disk(std::size_t number, duration outage) {
        lose_power(number, outage);
        machine& each = machines_[number];
        each.disk = consensus::durable_group{};
        each.has_data = false;
        each.identity = consensus::no_replica;
        each.disk_lost = true;
    }
    void freeze(std::size_t number, duration length) {
        machine& each = machines_[number];
        each.frozen_until = now_ + length;
        disturb(each, each.frozen_until);
    }
    /// Cuts the machines into two halves.
    /// @param side of each machine; those on the smaller side count as lost
    void cut(const std::vector<bool>& side, duration length) {
        side_ = side;
        cut_until_ = now_ + length;
        const auto on_first = static_cast<std::size_t>(std::count(side.begin(), side.end(), true));
        const bool lost_side = 2 * on_first < side.size();
        for (std::size_t number = 0; number < size(); ++number) {
            if (side[number] == lost_side) {
                disturb(machines_[number], cut_until_);
            }
        }
    }
    [[nodiscard]] bool is_cut() const { return now_ < cut_until_; }

    /// Sends a new configuration to each node that leads.
    void change_configuration() {
        for (machine& each : machines_) {
            if (each.core && now_ >= each.frozen_until && each.core->leads()) {
                directory::replace_configuration change;
                change.parsed.version = ++last_version_;
                each.core->submit(last_version_, change);
                drain(each);
            }
        }
    }

    void step() {
        now_ += step_length;
        for (machine& each : machines_) {
            if (!each.core && now_ >= each.starts_at) {
                start(each);
            }
            if (each.core && now_ >= each.frozen_until) {
                finish_write(each);
                each.core->tick(now_);
                drain(each);
            }
        }
        deliver();
    }
    void run(duration time) {
        const instant end = now_ + time;
        while (now_ < end) {
            step();
        }
    }

    /// The newest version that was acknowledged.
    [[nodiscard]] routing::configuration_version acknowledged() const { return acknowledged_; }
    /// Fewest disks of a quorum that acknowledged a configuration.
    [[nodiscard]] std::size_t smallest_quorum() const { return smallest_quorum_; }
    /// The version in force at the leader; nothing when there is none.
    [[nodiscard]] std::optional<routing::configuration_version> version_in_force() const {
        const auto leading = leader();
        return leading ? std::optional(machines_[*leading].core->state().configuration().version)
                       : std::nullopt;
    }
    [[nodiscard]] std::string describe() const {
        std::string text;
        for (const machine& each : machines_) {
            text += each.address + (each.core ? " up" : " down");
            if (each.core) {
                const consensus::replica_fsm& replica = each.core->replica();
                text += " id=" + std::to_string(each.identity % 1000) +
                        " last=" + std::to_string(replica.log().last_index()) +
                        " commit=" + std::to_string(replica.commit_index()) + " members=";
                for (const auto& [id, member] : replica.members().members) {
                    text += std::to_string(id % 1000) + (member.learner ? "l," : ",");
                }
            }
            text += "; ";
        }
        return text;
    }

  private:
    struct write_in_progress {
        directory::directory_work work;
        instant done_at{};
    };
    struct machine {
        node_name address;
        consensus::replica_id identity = consensus::no_replica;
        consensus::durable_group disk;
        bool has_data = false;
        std::unique_ptr<directory::directory_core> core;
        std::optional<write_in_progress> writing;
        instant starts_at{};
        instant frozen_until{};
        instant recovered_at{};
        bool disk_lost = false;
    };
    struct message_in_flight {
        instant arrives;
        node_name from;
        directory::addressed_message message;
    };

    [[nodiscard]] std::size_t count(bool (directory_disks::*is_counted)(std::size_t) const) const {
        std::size_t found = 0;
        for (std::size_t number = 0; number < size(); ++number) {
            found += (this->*is_counted)(number) ? 1 : 0;
        }
        return found;
    }

    void disturb(machine& each, instant until) {
        const bool had_recovered = now_ >= each.recovered_at;
        each.disk_lost = each.disk_lost && !had_recovered;
        each.recovered_at = std::max(each.recovered_at, until + catch_up_time);
    }

    void start(machine& each) {
        if (each.identity == consensus::no_replica) {
            const bool seed = is_seed(number_of(each.address));
            each.identity =
                first_start_ && seed ? directory::first_identity(each.address) : random_.next();
        }
        directory::directory_settings settings;
        settings.address = each.address;
        settings.seeds = seeds_;
        settings.first_start = first_start_;
        settings.seed = random_.next();
        settings.members.max_voters = 2 * tolerated_losses_ + 3;
        settings.members.min_voters = 2 * tolerated_losses_ + 1;
        each.core = std::make_unique<directory::directory_core>(
            settings, each.identity,
            each.has_data ? each.disk.state() : consensus::recovered_state{}, now_);
    }

    void drain(machine& each) {
        while (!each.writing) {
            directory::directory_work work = each.core->take_work();
            if (work.empty()) {
                return;
            }
            send(each.address, work.before_sync);
            if (work.write) {
                const duration sync = std::chrono::milliseconds(random_.between(0, 30));
                each.writing = {std::move(work), now_ + sync};
            } else {
                complete(each, work);
            }
        }
    }
    void finish_write(machine& each) {
        if (each.writing && now_ >= each.writing->done_at) {
            directory::directory_work work = std::move(each.writing->work);
            each.writing.reset();
            each.disk.apply(*work.write);
            each.has_data = true;
            each.core->persisted();
            complete(each, work);
        }
    }
    void complete(machine& each, directory::directory_work& work) {
        send(each.address, work.after_sync);
        for (const directory::directory_answer& answer : work.answers) {
            if (answer.kind == directory::answer_kind::done) {
                acknowledged_ = std::max(acknowledged_, answer.token);
                smallest_quorum_ =
                    std::min(smallest_quorum_, each.core->replica().members().quorum());
            }
        }
    }

    void send(const node_name& from, std::vector<directory::addressed_message>& messages) {
        for (directory::addressed_message& message : messages) {
            network_.push_back({now_ + delay, from, std::move(message)});
        }
    }
    [[nodiscard]] std::size_t number_of(const node_name& address) const {
        std::size_t number = 0;
        while (number < size() && machines_[number].address != address) {
            ++number;
        }
        return number;
    }
    void deliver() {
        while (!network_.empty() && network_.front().arrives <= now_) {
            const message_in_flight next = std::move(network_.front());
            network_.pop_front();
            const std::size_t from = number_of(next.from);
            const std::size_t to = number_of(next.message.to);
            const bool lost = to >= size() || !machines_[to].core ||
                              now_ < machines_[to].frozen_until ||
                              (is_cut() && side_[from] != side_[to]);
            if (!lost) {
                receive(machines_[to], next);
            }
        }
    }
    void receive(machine& each, const message_in_flight& next) {
        each.core->record_peer_format(next.from, protocol::newest_format, now_);
        if (const auto* message = std::get_if<consensus::replica_message>(&next.message.body)) {
            each.core->receive(next.from, *message, now_);
        } else {
            each.core->receive(std::get<directory::join_request>(next.message.body), now_);
        }
        drain(each);
    }

    static constexpr duration step_length = std::chrono::milliseconds(10);
    static constexpr duration delay = std::chrono::milliseconds(5);

    random_source random_;
    std::size_t tolerated_losses_;
    instant now_{std::chrono::seconds(1)};
    std::vector<node_name> seeds_;
    std::vector<machine> machines_;
    std::deque<message_in_flight> network_;
    std::vector<bool> side_;
    instant cut_until_{};
    bool first_start_ = true;
    routing::configuration_version last_version_ = 0;
    routing::configuration_version acknowledged_ = 0;
    std::size_t smallest_quorum_ = std::numeric_limits<std::size_t>::max();
};

}  // namespace tallyfold::tests
