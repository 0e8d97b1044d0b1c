#pragma once
/// @file
/// Simulated replicas of one consensus group on a network that drops, delays, duplicates and
/// reorders messages by a seeded generator. A crash loses all state that wasn't synced to disk.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "tallyfold/base/common/random.hpp"
#include "tallyfold/consensus/persistence.hpp"
#include "tallyfold/consensus/replica_fsm.hpp"

namespace tallyfold::tests {

class replica_group {
  public:
    replica_group(std::size_t size, std::uint64_t seed) : random_(seed) {
        for (std::size_t number = 1; number <= size; ++number) {
            initial_membership_.members[number] = {"node-" + std::to_string(number), false};
        }
        for (const auto& [id, member] : initial_membership_.members) {
            consensus::recovered_state start;
            start.state.term = 1;
            start.base = {1, 1, initial_membership_, {}};
            consensus::group_write write;
            write.state = start.state;
            write.base = start.base;
            disks_[id].apply(write);
            this->start(id);
        }
    }

    /// Performs a random step: advances time, may crash or restart a replica, propose and read, and
    /// delivers or drops some messages.
    void step(double crash_share) {
        now_ += std::chrono::milliseconds(random_.between(1, 20));
        for (auto& [id, replica] : replicas_) {
            replica.tick(now_);
        }
        if (random_.chance(crash_share)) {
            crash_or_restart();
        }
        if (random_.chance(0.3)) {
            propose("v" + std::to_string(++proposals_));
        }
        if (random_.chance(0.3)) {
            read(1 + random_.below(initial_membership_.members.size()));
        }
        process_ready();
        deliver_some();
    }

    void propose(const std::string& payload) {
        for (auto& [id, replica] : replicas_) {
            if (replica.role() == consensus::replica_role::leader) {
                (void)replica.propose(payload);
            }
        }
    }

    /// Requests a linearizable read at a replica.
    void read(consensus::replica_id id) {
        const auto found = replicas_.find(id);
        if (found == replicas_.end()) {
            return;
        }
        const consensus::log_index newest = committed_.empty() ? 0 : committed_.rbegin()->first;
        const std::uint64_t token = ++reads_asked_;
        if (found->second.request_read_at_any_replica(token, now_)) {
            reads_[token] = newest;
        }
    }

    /// Runs without faults. @return whether a replica committed as leader within `steps` steps
    bool settle(int steps = 2000) {
        for (const auto& [id, member] : initial_membership_.members) {
            if (!replicas_.contains(id)) {
                start(id);
            }
        }
        for (int count = 0; count < steps; ++count) {
            now_ += std::chrono::milliseconds(10);
            for (auto& [id, replica] : replicas_) {
                replica.tick(now_);
            }
            process_ready();
            while (!network_.empty()) {
                deliver(0);
            }
            for (auto& [id, replica] : replicas_) {
                if (replica.has_committed_in_term()) {
                    return true;
                }
            }
        }
        return false;
    }

    /// Advances time at one replica only; no messages are delivered.
    void run_alone(consensus::replica_id id, duration time) {
        const instant end = now_ + time;
        while (now_ < end) {
            now_ += std::chrono::milliseconds(10);
            replicas_.at(id).tick(now_);
            process_ready();
        }
    }

    void crash(consensus::replica_id id) { replicas_.erase(id); }
    void start(consensus::replica_id id) {
        consensus::replica_settings settings;
        settings.self = id;
        settings.seed = random_.next();
        replicas_.emplace(id, consensus::replica_fsm(settings, disks_.at(id).state(), now_));
    }

    /// The last violation of an invariant; empty when there was none.
    [[nodiscard]] const std::string& violation() const { return violation_; }
    [[nodiscard]] std::size_t committed() const { return committed_.size(); }
    [[nodiscard]] std::size_t confirmed_reads() const { return confirmed_reads_; }
    [[nodiscard]] std::size_t failed_reads() const { return failed_reads_; }
    [[nodiscard]] std::map<consensus::replica_id, consensus::replica_fsm>& replicas() {
        return replicas_;
    }

  private:
    void crash_or_restart() {
        const consensus::replica_id id = 1 + random_.below(initial_membership_.members.size());
        if (replicas_.contains(id)) {
            crash(id);
        } else {
            start(id);
        }
    }

    void process_ready() {
        for (auto& [id, replica] : replicas_) {
            while (replica.has_ready()) {
                consensus::ready work = replica.take_ready();
                check_leader(id, replica);
                consensus::group_write write;
                write.state = work.new_state;
                write.base = work.received_snapshot;
                write.entries = work.new_entries;
                send(work.messages_before_sync);
                disks_.at(id).apply(write);
                send(work.messages_after_sync);
                if (!work.new_entries.empty()) {
                    replica.persisted(work.new_entries.back().index, work.new_entries.back().term);
                }
                for (const consensus::log_entry& entry : work.committed) {
                    check_committed(entry);
                }
                for (const std::uint64_t token : work.confirmed_reads) {
                    check_confirmed_read(token, replica.commit_index());
                }
                failed_reads_ += work.failed_reads.size();
            }
        }
    }

    void check_leader(consensus::replica_id id, const consensus::replica_fsm& replica) {
        if (replica.role() != consensus::replica_role::leader) {
            return;
        }
        const auto [known, added] = leaders_.try_emplace(replica.term(), id);
        if (!added && known->second != id) {
            violation_ = "two leaders in term " + std::to_string(replica.term());
        }
    }

    void check_committed(const consensus::log_entry& entry) {
        const auto [known, added] = committed_.try_emplace(entry.index, entry);
        if (!added && !(known->second == entry)) {
            violation_ =
                "two different entries were committed at index " + std::to_string(entry.index);
        }
    }

    /// Checks that a confirmed read covers every entry committed when it was requested.
    void check_confirmed_read(std::uint64_t token, consensus::log_index seen) {
        ++confirmed_reads_;
        if (seen < reads_.at(token)) {
            violation_ = "a read was confirmed at index " + std::to_string(seen) +
                         ", but committed was " + std::to_string(reads_.at(token));
        }
    }

    void send(const std::vector<consensus::replica_message>& messages) {
        for (const consensus::replica_message& message : messages) {
            network_.push_back(message);
            if (random_.chance(0.05)) {
                network_.push_back(message);
            }
        }
    }

    void deliver_some() {
        const std::size_t count = random_.below(network_.size() + 1);
        for (std::size_t taken = 0; taken < count; ++taken) {
            const std::size_t index = random_.below(network_.size());
            if (random_.chance(0.1)) {
                network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(index));
            } else {
                deliver(index);
            }
        }
    }

    void deliver(std::size_t index) {
        const consensus::replica_message message = network_[index];
        network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(index));
        const auto target = replicas_.find(message.to);
        if (target != replicas_.end()) {
            target->second.step(message, now_);
            process_ready();
        }
    }

    random_source random_;
    instant now_{std::chrono::seconds(1000)};
    consensus::membership initial_membership_;
    std::map<consensus::replica_id, consensus::durable_group> disks_;
    std::map<consensus::replica_id, consensus::replica_fsm> replicas_;
    std::vector<consensus::replica_message> network_;
    std::map<consensus::term_number, consensus::replica_id> leaders_;
    std::map<consensus::log_index, consensus::log_entry> committed_;
    /// Newest committed index at the time of each read request.
    std::map<std::uint64_t, consensus::log_index> reads_;
    std::uint64_t reads_asked_ = 0;
    std::size_t confirmed_reads_ = 0;
    std::size_t failed_reads_ = 0;
    std::string violation_;
    std::uint64_t proposals_ = 0;
};

}  // namespace tallyfold::tests
