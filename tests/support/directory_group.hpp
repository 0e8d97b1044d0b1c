#pragma once
/// @file
/// Simulated directory nodes on a network with a fixed delay, in virtual time. A node can be
/// partitioned from the others while tests still query its core directly, and can be limited to the
/// first message format.

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "tallyfold/plane/directory/directory_core.hpp"
#include "tests/support/first_format.hpp"

namespace tallyfold::tests {

class directory_group {
  public:
    explicit directory_group(std::size_t size) {
        directory::directory_settings settings;
        settings.first_start = true;
        settings.members.min_voters = size;
        settings.members.max_voters = size;
        for (std::size_t number = 1; number <= size; ++number) {
            settings.seeds.push_back("10.0.0." + std::to_string(number) + ":71");
        }
        for (const node_name& address : settings.seeds) {
            settings.address = address;
            settings.seed = nodes_.size() + 1;
            nodes_.emplace(address, std::make_unique<directory::directory_core>(
                                        settings, directory::first_identity(address),
                                        consensus::recovered_state{}, now_));
        }
    }

    [[nodiscard]] directory::directory_core& node(const node_name& address) {
        return *nodes_.at(address);
    }
    [[nodiscard]] instant now() const { return now_; }

    /// Drops all messages from and to this node until it is healed.
    void cut(const node_name& address) { partitioned_.insert(address); }
    void heal(const node_name& address) { partitioned_.erase(address); }
    /// Sets whether the node supports the first format only.
    void set_first_format(const node_name& address, bool first) {
        if (first) {
            first_format_nodes_.insert(address);
        } else {
            first_format_nodes_.erase(address);
        }
    }

    void run(duration time) {
        const instant end = now_ + time;
        while (now_ < end) {
            now_ += step;
            for (auto& [address, core] : nodes_) {
                core->tick(now_);
                drain(address);
            }
            deliver();
        }
    }

    /// Runs until a node is leader and has committed in its term. @return its address; empty when
    /// there is none within ten seconds
    node_name run_until_led() {
        for (int count = 0; count < 1'000; ++count) {
            run(step);
            for (auto& [address, core] : nodes_) {
                if (core->leads() && core->replica().has_committed_in_term()) {
                    return address;
                }
            }
        }
        return {};
    }

    /// @return addresses of all nodes that aren't leader
    [[nodiscard]] std::vector<node_name> followers() const {
        std::vector<node_name> found;
        for (const auto& [address, core] : nodes_) {
            if (!core->leads()) {
                found.push_back(address);
            }
        }
        return found;
    }

    /// Submits a configuration to the leader. @return false when it isn't committed within 1 s
    bool change(const node_name& leader, const routing::configuration& configuration) {
        node(leader).submit(++token_, directory::replace_configuration{configuration, {}});
        drain(leader);
        run(std::chrono::seconds(1));
        return node(leader).state().configuration().version == configuration.version;
    }

    /// Performs all pending work of a core; writes complete at once.
    void drain(const node_name& address) {
        directory::directory_core& core = node(address);
        for (directory::directory_work work = core.take_work(); !work.empty();
             work = core.take_work()) {
            send(address, work.before_sync);
            if (work.write.has_value()) {
                core.persisted();
            }
            send(address, work.after_sync);
        }
    }

  private:
    struct message_in_flight {
        instant arrives;
        node_name from;
        directory::addressed_message message;
    };

    void send(const node_name& from, std::vector<directory::addressed_message>& messages) {
        for (directory::addressed_message& message : messages) {
            network_.push_back({now_ + delay, from, std::move(message)});
        }
    }

    void deliver() {
        while (!network_.empty() && network_.front().arrives <= now_) {
            const message_in_flight next = std::move(network_.front());
            network_.pop_front();
            const node_name& to = next.message.to;
            if (partitioned_.contains(next.from) || partitioned_.contains(to) ||
                !nodes_.contains(to)) {
                continue;
            }
            using protocol::format_version;
            const bool first =
                first_format_nodes_.contains(next.from) || first_format_nodes_.contains(to);
            node(to).record_peer_format(next.from,
                                        first_format_nodes_.contains(next.from)
                                            ? format_version::v1
                                            : protocol::newest_format,
                                        now_);
            if (const auto* message = std::get_if<consensus::replica_message>(&next.message.body)) {
                const auto read = first ? reencode_replica_message(*message) : *message;
                if (read) {
                    node(to).receive(next.from, *read, now_);
                }
            } else {
                node(to).receive(std::get<directory::join_request>(next.message.body), now_);
            }
            drain(to);
        }
    }

    static constexpr duration step = std::chrono::milliseconds(10);
    static constexpr duration delay = std::chrono::milliseconds(2);

    instant now_{std::chrono::seconds(1)};
    std::map<node_name, std::unique_ptr<directory::directory_core>> nodes_;
    std::deque<message_in_flight> network_;
    std::set<node_name> partitioned_;
    std::set<node_name> first_format_nodes_;
    directory::request_token token_ = 0;
};

}  // namespace tallyfold::tests
