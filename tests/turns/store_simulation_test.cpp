#include <functional>
#include <memory>

#include "tallyfold/common/random.hpp"
#include "tallyfold/directory/store_planner.hpp"
#include "tallyfold/turns/quorum_operations.hpp"
#include "tallyfold/turns/store_fsm.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace turns;

namespace {

/// Stores with disks, a forwarder and the planner of the map, on a network that delays, reorders
/// and loses messages at the choice of a seed. Machines crash, and lose their disks one at a time.
class store_world {
  public:
    explicit store_world(std::uint64_t seed) : random_(seed), planner_(planner_settings()) {
        for (std::size_t number = 0; number < machine_count; ++number) {
            machines_.emplace_back();
            wipe_disk(number);
            start(number);
        }
        planner_.start(now_);
        report_all();
        now_ += std::chrono::seconds(2);
        report_all();
        plan();
    }

    void run(int steps) {
        for (int step = 0; step < steps; ++step) {
            now_ += std::chrono::milliseconds(random_.between(1, 12));
            act();
        }
        settle_down();
    }

    /// Turns that were settled and can't be continued any more.
    std::vector<std::string> lost_turns() {
        std::vector<std::string> lost;
        for (const std::string& turn : settled_) {
            begin_operation begin(map_, turn_reservation{"checker", "c-" + turn, 1, 60'000}, turn,
                                  0);
            for (const store_member& member : map_.all()) {
                ask_directly(begin, member, turn);
            }
            if (begin.outcome() != begin_outcome::admitted) {
                lost.push_back(turn);
            }
        }
        return lost;
    }

    [[nodiscard]] std::size_t settled() const { return settled_.size(); }
    [[nodiscard]] int wipes() const { return wipes_; }
    [[nodiscard]] int crashes() const { return crashes_; }

  private:
    static constexpr std::size_t machine_count = 3;

    struct machine {
        store_id identity = 0;
        /// What is durable.
        std::vector<book_change> disk;
        store_map kept;
        std::unique_ptr<store_fsm> store;
        instant up_since{};
    };
    struct settle_under_way {
        settle_operation operation;
        turn_settlement settlement;
    };

    static directory::store_planner_settings planner_settings() {
        directory::store_planner_settings settings;
        settings.losses = 1;
        return settings;
    }

    store_member member_of(std::size_t number) const {
        return {machines_[number].identity, "node-" + std::to_string(number),
                std::to_string(number), "zone"};
    }

    void wipe_disk(std::size_t number) {
        machine& wiped = machines_[number];
        wiped.identity = ++last_identity_;
        wiped.disk.clear();
        wiped.kept = {};
    }

    void start(std::size_t number) {
        machine& started = machines_[number];
        turn_book recovered;
        for (const book_change& change : started.disk) {
            recovered.apply(change, now_);
        }
        started.store =
            std::make_unique<store_fsm>(started.identity, started.kept, std::move(recovered));
        started.up_since = now_;
    }

    void flush(std::size_t number) {
        machine& writer = machines_[number];
        if (!writer.store || !writer.store->has_work()) {
            return;
        }
        const store_write write = writer.store->take_write();
        if (write.map.has_value()) {
            writer.kept = *write.map;
        }
        writer.disk.insert(writer.disk.end(), write.changes.begin(), write.changes.end());
        for (addressed_reply& reply : writer.store->written(true, now_)) {
            deliver_reply(std::move(reply));
        }
    }

    void deliver_reply(addressed_reply reply) {
        const auto receiver = receivers_.find(reply.to);
        if (receiver == receivers_.end()) {
            return;
        }
        network_.push_back([take = receiver->second, body = std::move(reply.body)] { take(body); });
        receivers_.erase(receiver);
    }

    /// Sends a request to whatever store is at the member's address when it arrives.
    template <class Request>
    void send(const store_member& member, Request request,
              std::function<void(const store_reply&)> receiver) {
        const std::size_t number = std::stoul(member.address);
        network_.push_back(
            [this, number, request = std::move(request), receiver = std::move(receiver)] {
                machine& target = machines_[number];
                if (!target.store) {
                    return;
                }
                const peer_token token = ++last_token_;
                receivers_[token] = receiver;
                for (addressed_reply& reply : target.store->receive(token, request)) {
                    deliver_reply(std::move(reply));
                }
            });
    }

    void begin_turn() {
        const std::string turn = "t" + std::to_string(++last_turn_);
        const std::string previous = settled_.empty() || random_.chance(0.3)
                                         ? std::string{}
                                         : settled_[random_.below(settled_.size())];
        turn_settlement settlement{"program", turn, 1, 60'000,
                                   turn_record{turn, previous, "in", "out"}};
        under_way_.emplace(turn, settle_under_way{settle_operation(known_map_), settlement});
        ask_again(turn);
    }

    void ask_again(const std::string& turn) {
        settle_under_way& settling = under_way_.at(turn);
        settling.operation.use_map(known_map_);
        for (const store_member& member : settling.operation.unanswered()) {
            settle_request request;
            request.epoch = settling.operation.map().epoch;
            request.settlement = settling.settlement;
            send(member, request, [this, turn](const store_reply& body) {
                take_settle_reply(turn, std::get<settle_reply>(body));
            });
        }
    }

    void take_settle_reply(const std::string& turn, const settle_reply& reply) {
        for (const store_map& newer : reply.newer_map) {
            known_map_ = newer.epoch > known_map_.epoch ? newer : known_map_;
        }
        const auto found = under_way_.find(turn);
        if (found == under_way_.end()) {
            return;
        }
        found->second.operation.on_reply(reply);
        if (found->second.operation.done()) {
            settled_.push_back(turn);
            under_way_.erase(found);
        }
    }

    void copy_more(std::size_t number) {
        if (!machines_[number].store) {
            return;
        }
        const store_id asking = machines_[number].identity;
        if (random_.chance(0.3)) {
            machines_[number].store->copy_stalled();
        }
        std::optional<copy_order> order = machines_[number].store->next_copy();
        if (order.has_value()) {
            send(order->source, std::move(order->request),
                 [this, number, asking](const store_reply& body) {
                     machine& asker = machines_[number];
                     if (asker.store && asker.identity == asking) {
                         asker.store->receive(std::get<copy_reply>(body));
                     }
                 });
        }
    }

    void report(std::size_t number) {
        if (machines_[number].store) {
            planner_.on_report({member_of(number), machines_[number].store->copied_epoch()}, now_);
        }
    }

    void report_all() {
        for (std::size_t number = 0; number < machine_count; ++number) {
            report(number);
        }
    }

    void plan() {
        if (const auto next = planner_.plan(state_, now_)) {
            state_.apply(directory::replace_store_map{*next});
            map_ = state_.map();
        }
    }

    /// One machine's loss is borne at a time: the next comes once the one before is made good.
    [[nodiscard]] bool whole() const {
        if (map_.changing() || map_.current.size() != machine_count) {
            return false;
        }
        for (const machine& other : machines_) {
            if (!other.store || !map_.holds(other.identity)) {
                return false;
            }
        }
        return true;
    }

    void lose_a_machine() {
        if (!whole() || random_.chance(0.3)) {
            return;
        }
        const std::size_t number = random_.below(machine_count);
        machines_[number].store.reset();
        if (random_.chance(0.6)) {
            ++wipes_;
            wipe_disk(number);
        } else {
            ++crashes_;
        }
    }

    void deliver_some() {
        // Faster than messages are made, or the queue would only grow and delay everything.
        for (int count = 0; count < 4 && !network_.empty(); ++count) {
            const std::size_t pick = random_.below(network_.size());
            const std::function<void()> message = std::move(network_[pick]);
            network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(pick));
            if (!random_.chance(0.2)) {
                message();
            }
        }
    }

    void act() {
        const std::uint64_t choice = random_.below(100);
        const std::size_t number = random_.below(machine_count);
        if (choice < 45) {
            deliver_some();
        } else if (choice < 60) {
            flush(number);
        } else if (choice < 68) {
            begin_turn();
        } else if (choice < 74 && !under_way_.empty()) {
            auto entry = under_way_.begin();
            std::advance(entry, static_cast<std::ptrdiff_t>(random_.below(under_way_.size())));
            ask_again(std::string(entry->first));
        } else if (choice < 80) {
            copy_more(number);
        } else if (choice < 88) {
            report(number);
        } else if (choice < 92) {
            plan();
        } else if (choice < 95 && machines_[number].store) {
            machines_[number].store->learn_map(map_);
        } else if (choice < 96) {
            known_map_ = map_;
        } else if (choice < 97) {
            lose_a_machine();
        } else if (!machines_[number].store) {
            start(number);
        }
    }

    /// Lets what is under way end, without further losses.
    void settle_down() {
        // What is still on its way must not make up for what the stores lack.
        network_.clear();
        under_way_.clear();
        for (int round = 0; round < 400; ++round) {
            now_ += std::chrono::milliseconds(20);
            for (std::size_t number = 0; number < machine_count; ++number) {
                if (!machines_[number].store) {
                    start(number);
                }
                report(number);
                machines_[number].store->learn_map(map_);
                copy_more(number);
            }
            plan();
            while (!network_.empty()) {
                const std::function<void()> message = std::move(network_.back());
                network_.pop_back();
                message();
            }
            for (std::size_t number = 0; number < machine_count; ++number) {
                flush(number);
            }
        }
    }

    void ask_directly(begin_operation& begin, const store_member& member, const std::string& turn) {
        const machine& asked = machines_[std::stoul(member.address)];
        begin_reply reply;
        reply.store = asked.identity;
        reply.durable = true;
        reply.knows_previous = asked.store->book().holds_turn(turn);
        reply.chain = asked.store->book().chain_from(turn);
        begin.on_reply(reply);
    }

    random_source random_;
    instant now_{};
    std::vector<machine> machines_;
    store_id last_identity_ = 100;
    peer_token last_token_ = 0;
    int last_turn_ = 0;
    int wipes_ = 0;
    int crashes_ = 0;
    std::vector<std::function<void()>> network_;
    std::map<peer_token, std::function<void(const store_reply&)>> receivers_;
    directory::store_planner planner_;
    directory::directory_state state_;
    store_map map_;
    /// The map as the forwarder knows it.
    store_map known_map_;
    std::map<std::string, settle_under_way> under_way_;
    std::vector<std::string> settled_;
};

}  // namespace

class store_simulation_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(store_simulation_test);
    CPPUNIT_TEST(no_settled_turn_is_lost_by_wipes_one_after_the_other);
    CPPUNIT_TEST_SUITE_END();

    void no_settled_turn_is_lost_by_wipes_one_after_the_other() {
        int wipes = 0;
        int crashes = 0;
        std::size_t settled = 0;
        for (std::uint64_t seed = 1; seed <= 60; ++seed) {
            store_world world(seed);
            world.run(6000);
            const std::vector<std::string> lost = world.lost_turns();
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + " lost " +
                                       (lost.empty() ? std::string{} : lost.front()),
                                   lost.empty());
            wipes += world.wipes();
            crashes += world.crashes();
            settled += world.settled();
        }
        // A run in which the faults never came would prove nothing.
        CPPUNIT_ASSERT(wipes > 100);
        CPPUNIT_ASSERT(crashes > 60);
        CPPUNIT_ASSERT(settled > 5'000);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_simulation_test);

}  // namespace tallyfold::tests
