#pragma once
/// @file
/// Simulated machines that run turn stores, with disks and a network that delays, reorders and
/// drops messages by a seeded generator.

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "tallyfold/base/common/random.hpp"
#include "tallyfold/plane/turns/group_repair.hpp"
#include "tallyfold/plane/turns/store_fsm.hpp"

namespace tallyfold::tests {

/// A machine. Its disk survives crashes of the store; wiping the disk creates a new store identity.
struct store_machine {
    turns::store_id identity = 0;
    /// Durable changes.
    std::vector<turns::turn_change> disk;
    turns::store_map durable_map;
    std::unique_ptr<turns::store_fsm> store;
    std::unique_ptr<turns::group_repair> repair;
    bool removed = false;
    /// Messages to and from the machine are lost.
    bool is_cut_off = false;
};

class store_fleet {
  public:
    /// `random` and `now` belong to the simulation and must outlive this object.
    store_fleet(std::size_t machine_count, random_source& random, const instant& now)
        : random_(random), now_(now) {
        for (std::size_t number = 0; number < machine_count; ++number) {
            add_machine();
        }
    }

    /// Adds a machine with an empty disk and starts its store. @return the machine's number
    std::size_t add_machine() {
        machines_.emplace_back();
        const std::size_t number = machines_.size() - 1;
        wipe_disk(number);
        start(number);
        return number;
    }

    static std::string node_of(std::size_t number) { return "node-" + std::to_string(number); }

    [[nodiscard]] std::size_t size() const { return machines_.size(); }
    [[nodiscard]] store_machine& machine(std::size_t number) { return machines_[number]; }
    [[nodiscard]] const store_machine& machine(std::size_t number) const {
        return machines_[number];
    }
    /// The machine at a member's address.
    [[nodiscard]] const store_machine& machine_at(const turns::store_member& member) const {
        return machines_[std::stoul(member.address)];
    }

    [[nodiscard]] turns::store_member member_of(std::size_t number) const {
        return {machines_[number].identity, node_of(number), std::to_string(number),
                "zone-" + std::to_string(number % 4)};
    }

    void wipe_disk(std::size_t number) {
        store_machine& wiped = machines_[number];
        wiped.identity = ++last_identity_;
        wiped.disk.clear();
        wiped.durable_map = {};
    }

    void start(std::size_t number) {
        store_machine& started = machines_[number];
        turns::turn_table recovered;
        for (const turns::turn_change& change : started.disk) {
            recovered.apply(change, now_);
        }
        started.store = std::make_unique<turns::store_fsm>(
            started.identity, started.durable_map, std::move(recovered), ++last_incarnation_);
        started.repair = std::make_unique<turns::group_repair>(started.identity);
    }

    void flush(std::size_t number) {
        store_machine& writer = machines_[number];
        if (!writer.store || !writer.store->has_pending_write()) {
            return;
        }
        const turns::store_write write = writer.store->begin_write();
        if (write.map.has_value()) {
            writer.durable_map = *write.map;
        }
        writer.disk.insert(writer.disk.end(), write.changes.begin(), write.changes.end());
        for (turns::addressed_reply& reply : writer.store->finish_write(true, now_)) {
            deliver_reply(std::move(reply));
        }
        writer.repair->on_records_written(writer.store->turns(), now_);
    }

    /// Sends a request to the member's address; the store running there on arrival receives it.
    template <class Request>
    void send(const turns::store_member& member, Request request,
              std::function<void(const turns::store_reply&)> receiver) {
        const std::size_t number = std::stoul(member.address);
        network_.push_back(
            [this, number, request = std::move(request), receiver = std::move(receiver)] {
                store_machine& target = machines_[number];
                if (!target.store || target.is_cut_off) {
                    return;
                }
                const turns::peer_token token = ++last_token_;
                receivers_[token] = receiver;
                for (turns::addressed_reply& reply : receive(*target.store, token, request)) {
                    deliver_reply(std::move(reply));
                }
            });
    }

    void continue_copy(std::size_t number) {
        if (!machines_[number].store || machines_[number].is_cut_off) {
            return;
        }
        const turns::store_id asking = machines_[number].identity;
        if (random_.chance(0.3)) {
            machines_[number].store->skip_copy_source();
        }
        std::optional<turns::copy_fetch> order = machines_[number].store->next_copy();
        if (order.has_value()) {
            send(order->source, std::move(order->request),
                 [this, number, asking](const turns::store_reply& body) {
                     store_machine& asker = machines_[number];
                     if (asker.store && asker.identity == asking) {
                         asker.store->receive(std::get<turns::copy_reply>(body));
                     }
                 });
        }
    }

    /// Sends the next request of the machine's repair if one is due.
    void continue_repair(std::size_t number) {
        store_machine& asker = machines_[number];
        if (!asker.store || asker.is_cut_off) {
            return;
        }
        asker.repair->set_group(asker.store->map(), asker.store->group_count(), now_);
        const auto reachable = [this](const turns::store_member& member) {
            const store_machine& target = machine_at(member);
            return target.store != nullptr && !target.is_cut_off;
        };
        const auto order = asker.repair->next(reachable, now_);
        if (!order.has_value()) {
            return;
        }
        const turns::store_fsm* asking = asker.store.get();
        const auto receive_reply = [this, number, asking](const turns::store_reply& body) {
            store_machine& receiver = machines_[number];
            if (receiver.store.get() != asking) {
                return;
            }
            if (const auto* compared = std::get_if<turns::comparison_reply>(&body)) {
                receiver.repair->on_reply(*compared, receiver.store->turns(), now_);
            } else if (const auto* records = std::get_if<turns::records_reply>(&body)) {
                if (receiver.repair->on_reply(*records, now_)) {
                    receiver.store->receive(*records);
                }
            }
        };
        std::visit([&](const auto& request) { send(order->source, request, receive_reply); },
                   order->request);
    }

    /// Delivers up to `count` messages in random order; some are dropped.
    void deliver_some(std::size_t count, double drop_chance = 0.2) {
        for (std::size_t delivered = 0; delivered < count && !network_.empty(); ++delivered) {
            const std::size_t pick = random_.below(network_.size());
            const std::function<void()> message = std::move(network_[pick]);
            network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(pick));
            if (!random_.chance(drop_chance)) {
                message();
            }
        }
    }

    /// Delivers all messages, including those sent as a result.
    void deliver_all() {
        while (!network_.empty()) {
            const std::function<void()> message = std::move(network_.back());
            network_.pop_back();
            message();
        }
    }

    /// Drops all messages in flight.
    void lose_messages() { network_.clear(); }

    /// Stops all stores at once; disks are kept.
    void lose_power() {
        for (store_machine& stopped : machines_) {
            stopped.store.reset();
        }
    }

    /// Requests whose reservation or settlement a machine's disk holds.
    [[nodiscard]] std::set<std::string> requests_on(std::size_t number) const {
        std::set<std::string> requests;
        for (const turns::turn_change& change : machines_[number].disk) {
            std::visit([&](const auto& body) { requests.insert(body.request); }, change);
        }
        return requests;
    }

    [[nodiscard]] std::set<std::string> turns_on(std::size_t number) const {
        std::set<std::string> turns;
        for (const turns::turn_change& change : machines_[number].disk) {
            const auto* settlement = std::get_if<turns::turn_settlement>(&change);
            if (settlement != nullptr && settlement->record.has_value()) {
                turns.insert(settlement->request);
            }
        }
        return turns;
    }

  private:
    template <class Request>
    std::vector<turns::addressed_reply> receive(turns::store_fsm& store, turns::peer_token token,
                                                const Request& request) {
        if constexpr (requires { store.receive(token, request, now_); }) {
            return store.receive(token, request, now_);
        } else {
            return store.receive(token, request);
        }
    }

    void deliver_reply(turns::addressed_reply reply) {
        const auto receiver = receivers_.find(reply.to);
        if (receiver == receivers_.end()) {
            return;
        }
        network_.push_back([take = receiver->second, body = std::move(reply.body)] { take(body); });
        receivers_.erase(receiver);
    }

    random_source& random_;
    const instant& now_;
    std::vector<store_machine> machines_;
    turns::store_id last_identity_ = 100;
    std::uint64_t last_incarnation_ = 0;
    turns::peer_token last_token_ = 0;
    std::vector<std::function<void()>> network_;
    std::map<turns::peer_token, std::function<void(const turns::store_reply&)>> receivers_;
};

}  // namespace tallyfold::tests
