#include <functional>
#include <map>
#include <memory>
#include <set>

#include "tallyfold/base/common/random.hpp"
#include "tallyfold/plane/directory/store_planner.hpp"
#include "tallyfold/plane/turns/quorum_operations.hpp"
#include "tallyfold/plane/turns/store_fsm.hpp"
#include "tallyfold/plane/turns/turn_beginning.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace turns;

namespace {

/// What of the promises is taken out, to show that the checks notice it.
enum class put_back : std::uint8_t {
    nothing,
    /// A store that joins counts as copied at once.
    no_copy,
    /// What stores say of a program's other turns is left out.
    blind_ledger,
    /// Stores of other groups deny what they hold.
    denied_turn,
};

/// When a machine may lose its disk.
enum class disk_losses : std::uint8_t {
    /// Once the group that lost the one before is whole again.
    one_at_a_time,
    /// At any time, also while a change is open, as long as each acknowledged turn and each
    /// admitted
    /// request stays on the disk of another machine. All power is lost at times as well.
    in_series,
};

/// Stores with disks, a forwarder and the planner of the groups, on a network that delays, reorders
/// and loses messages at the choice of a seed. Machines crash, lose their disks one at a time, and
/// are emptied and taken away. Programs go on with their own turns and with those of others.
class store_world {
  public:
    store_world(std::uint64_t seed, std::size_t machine_count, put_back fault = put_back::nothing,
                disk_losses losses = disk_losses::one_at_a_time, std::uint32_t losses_borne = 1)
        : random_(seed),
          fault_(fault),
          losses_(losses),
          losses_borne_(losses_borne),
          planner_(planner_settings(losses_borne)) {
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
        known_ = state_.stores();
    }

    void run(int steps) {
        for (int step = 0; step < steps; ++step) {
            now_ += std::chrono::milliseconds(random_.between(1, 12));
            act();
        }
        settle_down();
    }

    /// A disk is lost, its successor copies all that there is, and before the directory hears of it
    /// all power is lost together with a second disk.
    void lose_a_second_disk_while_a_change_is_open() {
        machines_[0].store.reset();
        wipe_disk(0);
        start(0);
        now_ += std::chrono::seconds(2);
        report_all();
        plan();
        const std::size_t open = static_cast<std::size_t>(
            std::count_if(state_.stores().groups.begin(), state_.stores().groups.end(),
                          [](const store_map& map) { return map.changing(); }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, open);
        for (int round = 0; round < 60; ++round) {
            exchange();
        }
        CPPUNIT_ASSERT_EQUAL(state_.stores().epoch, machines_[0].store->copied_epoch());
        lose_power();
        wipe_disk(2);
        planner_.start(now_);
        settle_down();
    }

    /// True when a program that is new begins its first turn.
    bool serves_new_programs() { return continues({}, "new-program"); }

    /// Turns that were settled and can't be continued any more, by their own program or another.
    std::vector<std::string> lost_turns() {
        std::vector<std::string> lost;
        for (const auto& [turn, program] : settled_) {
            for (const std::string& asker : {program, std::string("checker-" + turn)}) {
                if (!continues(turn, asker)) {
                    lost.push_back(turn);
                }
            }
        }
        return lost;
    }

    [[nodiscard]] std::size_t groups() const { return state_.stores().groups.size(); }
    [[nodiscard]] std::size_t settled() const { return settled_.size(); }
    [[nodiscard]] int wipes() const { return wipes_; }
    [[nodiscard]] int crashes() const { return crashes_; }
    [[nodiscard]] int power_losses() const { return power_losses_; }
    /// Disks that were lost while a change was open.
    [[nodiscard]] int wipes_in_change() const { return wipes_in_change_; }
    [[nodiscard]] int retired() const { return retired_; }
    [[nodiscard]] int adopted() const { return adopted_; }
    /// Beginnings that were told that a settled turn doesn't exist.
    [[nodiscard]] int false_unknowns() const { return false_unknowns_; }
    /// Programs whose admitted turns exceed their budget.
    [[nodiscard]] int overdrawn() const {
        return static_cast<int>(std::count_if(admitted_.begin(), admitted_.end(), [](auto& entry) {
            return entry.second > program_budget;
        }));
    }
    [[nodiscard]] int refused() const { return refused_; }

  private:
    static constexpr token_count program_budget = 20;
    static constexpr int programs = 12;

    struct machine {
        store_id identity = 0;
        /// What is durable.
        std::vector<turn_change> disk;
        store_map kept;
        std::unique_ptr<store_fsm> store;
        bool taken_away = false;
    };
    struct settling {
        settle_operation operation;
        turn_settlement settlement;
    };
    struct beginning {
        std::string program;
        std::string previous;
        std::unique_ptr<turn_beginning> turn;
        instant until{};
    };

    static directory::store_planner_settings planner_settings(std::uint32_t losses_borne) {
        directory::store_planner_settings settings;
        settings.losses = losses_borne;
        return settings;
    }

    static std::string node_of(std::size_t number) { return "node-" + std::to_string(number); }

    store_member member_of(std::size_t number) const {
        return {machines_[number].identity, node_of(number), std::to_string(number),
                "zone-" + std::to_string(number % 4)};
    }

    void wipe_disk(std::size_t number) {
        machine& wiped = machines_[number];
        wiped.identity = ++last_identity_;
        wiped.disk.clear();
        wiped.kept = {};
    }

    void start(std::size_t number) {
        machine& started = machines_[number];
        turn_table recovered;
        for (const turn_change& change : started.disk) {
            recovered.apply(change, now_);
        }
        started.store =
            std::make_unique<store_fsm>(started.identity, started.kept, std::move(recovered));
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

    void learn(const std::vector<store_map>& newer) {
        for (const store_map& map : newer) {
            known_.take(map);
        }
    }

    void begin_turn() {
        const std::string request = "t" + std::to_string(++last_turn_);
        beginning begun;
        begun.program = "program-" + std::to_string(random_.below(programs));
        if (!settled_.empty() && !random_.chance(0.3)) {
            auto chosen = settled_.begin();
            std::advance(chosen, static_cast<std::ptrdiff_t>(random_.below(settled_.size())));
            begun.previous = chosen->first;
            // Most programs go on with their own turns.
            begun.program = random_.chance(0.6) ? chosen->second : begun.program;
        }
        turn_question question;
        question.reservation = {begun.program, request, 1, 60'000};
        question.previous = begun.previous;
        question.budget = program_budget;
        begun.until = now_ + std::chrono::milliseconds(1'500);
        begun.turn = std::make_unique<turn_beginning>(++last_operation_, question, known_);
        beginnings_.emplace(request, std::move(begun));
        go_on_beginning(request);
    }

    /// @return the store that tells the line: any, as a forwarder's nearest may be
    store_id nearest(const store_map& map) {
        return map.current.empty() ? 0 : map.current[random_.below(map.current.size())].id;
    }

    void ask(const std::string& request, const store_question& question) {
        const auto take = [this, request](const store_reply& body) { take_begin(request, body); };
        std::visit([&](const auto& body) { send(question.store, body, take); }, question.body);
    }

    void go_on_beginning(const std::string& request) {
        const auto found = beginnings_.find(request);
        if (found == beginnings_.end()) {
            return;
        }
        turn_beginning& turn = *found->second.turn;
        const auto choose = [this](const store_map& map) { return nearest(map); };
        if (turn.undecided() && now_ < found->second.until) {
            for (const store_question& question : turn.due(now_, known_, choose)) {
                ask(request, question);
            }
        }
        if (!turn.undecided() || now_ >= found->second.until) {
            end_beginning(request);
        }
    }

    void take_begin(const std::string& request, const store_reply& body) {
        const auto found = beginnings_.find(request);
        if (found == beginnings_.end()) {
            return;
        }
        turn_beginning& turn = *found->second.turn;
        if (const auto* begun = std::get_if<begin_reply>(&body)) {
            learn(begun->newer_map);
            begin_reply taken = *begun;
            if (fault_ == put_back::blind_ledger) {
                taken.ledger.clear();
            }
            turn.on_reply(taken);
        } else if (const auto* history = std::get_if<history_reply>(&body)) {
            turn.on_reply(*history);
        } else if (const auto* reply = std::get_if<find_reply>(&body)) {
            learn(reply->newer_map);
            find_reply taken = *reply;
            taken.held = taken.held && fault_ != put_back::denied_turn;
            turn.on_reply(taken);
        }
        go_on_beginning(request);
    }

    void end_beginning(const std::string& request) {
        const beginning ended = std::move(beginnings_.at(request));
        beginnings_.erase(request);
        const begun_turn begun = ended.turn->outcome();
        if (begun.result == begin_result::unknown_previous) {
            false_unknowns_ += settled_.contains(ended.previous) ? 1 : 0;
        }
        refused_ += begun.result == begin_result::over_budget ? 1 : 0;
        if (begun.result != begin_result::admitted) {
            return;
        }
        ++admitted_[ended.program];
        admitted_requests_.insert(request);
        turn_settlement settlement{ended.program,
                                   request,
                                   1,
                                   60'000,
                                   turn_record{request, ended.previous, "in", "out"},
                                   {}};
        if (begun.adopted) {
            ++adopted_;
            settlement.adopted = begun.chain;
        }
        const store_map& map = known_.groups[known_.group_of(ended.program)];
        settlings_.emplace(request, settling{settle_operation(map), std::move(settlement)});
        ask_settle(request);
    }

    void ask_settle(const std::string& request) {
        settling& ending = settlings_.at(request);
        ending.operation.use_map(known_.groups[known_.group_of(ending.settlement.program)]);
        for (const store_member& member : ending.operation.unanswered()) {
            settle_request asked;
            asked.epoch = ending.operation.map().epoch;
            asked.settlement = ending.settlement;
            send(member, asked, [this, request](const store_reply& body) {
                take_settle_reply(request, std::get<settle_reply>(body));
            });
        }
    }

    void take_settle_reply(const std::string& request, const settle_reply& reply) {
        learn(reply.newer_map);
        const auto found = settlings_.find(request);
        if (found == settlings_.end()) {
            return;
        }
        found->second.operation.on_reply(reply);
        if (found->second.operation.done()) {
            settled_.emplace(request, found->second.settlement.program);
            settlings_.erase(found);
        }
    }

    void copy_more(std::size_t number) {
        if (!machines_[number].store) {
            return;
        }
        const store_id asking = machines_[number].identity;
        if (random_.chance(0.3)) {
            machines_[number].store->skip_copy_source();
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
        const machine& reporting = machines_[number];
        if (!reporting.store) {
            return;
        }
        const bool claims = fault_ == put_back::no_copy && reporting.store->map().changing();
        const map_epoch copied =
            claims ? reporting.store->map().epoch : reporting.store->copied_epoch();
        planner_.on_report({member_of(number), copied}, now_);
    }

    void report_all() {
        for (std::size_t number = 0; number < machines_.size(); ++number) {
            report(number);
        }
    }

    void plan() {
        // Longer than the turns here are kept.
        planner_.watch_losses(state_, std::chrono::seconds(75), now_);
        if (const auto change = planner_.plan(state_, now_)) {
            state_.apply(*change);
        }
    }

    /// One machine's loss is borne at a time: the next comes once the one before is made good.
    [[nodiscard]] bool whole() const {
        for (const store_map& map : state_.stores().groups) {
            if (map.changing() ||
                map.current.size() != planner_settings(losses_borne_).group_size()) {
                return false;
            }
            for (const store_member& member : map.current) {
                const machine& holder = machines_[std::stoul(member.address)];
                if (!holder.store || holder.identity != member.id) {
                    return false;
                }
            }
        }
        return true;
    }

    /// Requests whose reservation or settlement a machine's disk holds.
    [[nodiscard]] std::set<std::string> requests_on(std::size_t number) const {
        std::set<std::string> requests;
        for (const turn_change& change : machines_[number].disk) {
            std::visit([&](const auto& body) { requests.insert(body.request); }, change);
        }
        return requests;
    }

    [[nodiscard]] std::set<std::string> turns_on(std::size_t number) const {
        std::set<std::string> turns;
        for (const turn_change& change : machines_[number].disk) {
            const auto* settlement = std::get_if<turn_settlement>(&change);
            if (settlement != nullptr && settlement->record.has_value()) {
                turns.insert(settlement->request);
            }
        }
        return turns;
    }

    /// True when all that was acknowledged is on another machine's disk too.
    [[nodiscard]] bool outlives(std::size_t number) const {
        std::set<std::string> requests;
        std::set<std::string> turns;
        for (std::size_t other = 0; other < machines_.size(); ++other) {
            if (other != number) {
                requests.merge(requests_on(other));
                turns.merge(turns_on(other));
            }
        }
        return std::includes(requests.begin(), requests.end(), admitted_requests_.begin(),
                             admitted_requests_.end()) &&
               std::all_of(settled_.begin(), settled_.end(),
                           [&](const auto& entry) { return turns.contains(entry.first); });
    }

    void lose_power() {
        ++power_losses_;
        for (machine& dark : machines_) {
            dark.store.reset();
        }
    }

    void lose_disks_in_series() {
        const std::size_t number = random_.below(machines_.size());
        if (random_.chance(0.1)) {
            lose_power();
        }
        if (random_.chance(0.1)) {
            planner_.start(now_);
        }
        machines_[number].store.reset();
        if (!outlives(number)) {
            return;
        }
        ++wipes_;
        wipes_in_change_ += whole() ? 0 : 1;
        wipe_disk(number);
    }

    void lose_a_machine() {
        if (losses_ == disk_losses::in_series) {
            lose_disks_in_series();
            return;
        }
        const std::size_t number = random_.below(machines_.size());
        if (!whole() || machines_[number].taken_away || random_.chance(0.3)) {
            return;
        }
        machines_[number].store.reset();
        if (random_.chance(0.6)) {
            ++wipes_;
            wipe_disk(number);
        } else {
            ++crashes_;
        }
    }

    void empty_a_machine() {
        const std::size_t number = random_.below(machines_.size());
        if (retired_ == 0 && whole() && planner_.may_retire(state_, node_of(number))) {
            state_.apply(directory::retire_store{node_of(number),
                                                 planner_.disks_of(state_, node_of(number))});
        }
    }

    /// Machines that were emptied go, together with their disks.
    void take_away_emptied() {
        for (std::size_t number = 0; number < machines_.size(); ++number) {
            machine& emptied = machines_[number];
            const bool done = state_.retired().contains(emptied.identity) &&
                              !state_.stores().holds(emptied.identity);
            if (done && !emptied.taken_away) {
                emptied.taken_away = true;
                emptied.store.reset();
                emptied.disk.clear();
                ++retired_;
            }
        }
    }

    void deliver_some() {
        // Faster than messages are made, or the queue would only grow and delay everything.
        for (std::size_t count = 0; count < 4 * groups() && !network_.empty(); ++count) {
            const std::size_t pick = random_.below(network_.size());
            const std::function<void()> message = std::move(network_[pick]);
            network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(pick));
            if (!random_.chance(0.2)) {
                message();
            }
        }
    }

    template <class Entries>
    std::string any_of(const Entries& entries) {
        auto entry = entries.begin();
        std::advance(entry, static_cast<std::ptrdiff_t>(random_.below(entries.size())));
        return entry->first;
    }

    void act() {
        const std::uint64_t choice = random_.below(100);
        const std::size_t number = random_.below(machines_.size());
        if (choice < 42) {
            deliver_some();
        } else if (choice < 58) {
            flush(number);
        } else if (choice < 65) {
            begin_turn();
        } else if (choice < 70 && !beginnings_.empty()) {
            go_on_beginning(any_of(beginnings_));
        } else if (choice < 74 && !settlings_.empty()) {
            ask_settle(any_of(settlings_));
        } else if (choice < 80) {
            copy_more(number);
        } else if (choice < 88) {
            report(number);
        } else if (choice < 92) {
            plan();
            take_away_emptied();
        } else if (choice < 95 && machines_[number].store) {
            machines_[number].store->learn_table(state_.stores());
        } else if (choice < 96) {
            known_.take(state_.stores());
        } else if (choice < 97) {
            lose_a_machine();
        } else if (choice < 98 && random_.chance(0.4)) {
            empty_a_machine();
        } else if (!machines_[number].store && !machines_[number].taken_away) {
            start(number);
        }
    }

    /// All stores learn the table and copy, and all messages arrive; the directory plans nothing.
    void exchange() {
        now_ += std::chrono::milliseconds(20);
        for (std::size_t number = 0; number < machines_.size(); ++number) {
            if (machines_[number].taken_away) {
                continue;
            }
            if (!machines_[number].store) {
                start(number);
            }
            machines_[number].store->learn_table(state_.stores());
            copy_more(number);
        }
        while (!network_.empty()) {
            const std::function<void()> message = std::move(network_.back());
            network_.pop_back();
            message();
        }
        for (std::size_t number = 0; number < machines_.size(); ++number) {
            flush(number);
        }
    }

    /// Lets what is under way end, without further losses.
    void settle_down() {
        // What is still on its way must not make up for what the stores lack.
        network_.clear();
        beginnings_.clear();
        settlings_.clear();
        for (int round = 0; round < 400; ++round) {
            exchange();
            report_all();
            plan();
        }
    }

    /// What a store answers, with all else at rest.
    store_reply answer_of(const store_question& question) {
        const machine& asked = machines_[std::stoul(question.store.address)];
        const turn_table& table = asked.store->turns();
        if (const auto* begin = std::get_if<begin_request>(&question.body)) {
            begin_reply reply;
            reply.operation = begin->operation;
            reply.store = asked.identity;
            reply.durable = true;
            reply.holds_previous = table.holds_turn(begin->previous);
            if (begin->wants_history) {
                reply.history = table.history_up_to(begin->previous);
            }
            return reply;
        }
        if (const auto* history = std::get_if<history_request>(&question.body)) {
            return history_reply{history->operation, asked.identity,
                                 table.history_up_to(history->request)};
        }
        const auto& find = std::get<find_request>(question.body);
        return find_reply{find.operation, asked.identity, {}, table.holds_turn(find.request)};
    }

    bool continues(const std::string& turn, const std::string& program) {
        turn_question question;
        question.reservation = {program, "c-" + turn, 1, 60'000};
        question.previous = turn;
        turn_beginning checked(1, question, state_.stores());
        const auto choose = [this](const store_map& map) { return nearest(map); };
        for (int round = 0; round < 60 && checked.undecided(); ++round) {
            now_ += std::chrono::milliseconds(20);
            for (const store_question& asked : checked.due(now_, state_.stores(), choose)) {
                std::visit(
                    [&](const auto& body) {
                        if constexpr (requires { checked.on_reply(body); }) {
                            checked.on_reply(body);
                        }
                    },
                    answer_of(asked));
            }
        }
        return checked.outcome().result == begin_result::admitted;
    }

    random_source random_;
    put_back fault_;
    disk_losses losses_;
    std::uint32_t losses_borne_;
    instant now_{};
    std::vector<machine> machines_;
    store_id last_identity_ = 100;
    peer_token last_token_ = 0;
    operation_number last_operation_ = 0;
    int last_turn_ = 0;
    int wipes_ = 0;
    int crashes_ = 0;
    int power_losses_ = 0;
    int wipes_in_change_ = 0;
    int retired_ = 0;
    int adopted_ = 0;
    int refused_ = 0;
    int false_unknowns_ = 0;
    std::vector<std::function<void()>> network_;
    std::map<peer_token, std::function<void(const store_reply&)>> receivers_;
    directory::store_planner planner_;
    directory::directory_state state_;
    /// The groups as the forwarder knows them.
    store_table known_;
    std::map<std::string, beginning> beginnings_;
    std::map<std::string, settling> settlings_;
    /// Program of each turn that was answered whole.
    std::map<std::string, std::string> settled_;
    std::map<std::string, token_count> admitted_;
    std::set<std::string> admitted_requests_;
};

}  // namespace

class store_simulation_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(store_simulation_test);
    CPPUNIT_TEST(nothing_is_lost_by_wipes_in_one_group);
    CPPUNIT_TEST(nothing_is_lost_by_wipes_and_moves_over_several_groups);
    CPPUNIT_TEST(turns_are_served_after_a_second_disk_was_lost_while_a_change_was_open);
    CPPUNIT_TEST(nothing_is_lost_by_disks_lost_in_series);
    CPPUNIT_TEST(the_checks_notice_a_doubled_budget);
    CPPUNIT_TEST(the_checks_notice_a_turn_told_as_unknown);
    CPPUNIT_TEST(the_checks_notice_a_store_that_joins_without_copying);
    CPPUNIT_TEST_SUITE_END();

    struct totals {
        int wipes = 0;
        int crashes = 0;
        int retired = 0;
        int adopted = 0;
        int refused = 0;
        int broken = 0;
        int power_losses = 0;
        int wipes_in_change = 0;
        std::size_t settled = 0;
        std::string first_broken;
    };

    static totals run(std::size_t machines, std::uint64_t seeds, put_back fault,
                      disk_losses losses = disk_losses::one_at_a_time,
                      std::uint32_t losses_borne = 1) {
        totals sum;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            store_world world(seed, machines, fault, losses, losses_borne);
            world.run(6000);
            const bool serves = world.serves_new_programs();
            const std::vector<std::string> lost = world.lost_turns();
            sum.power_losses += world.power_losses();
            sum.wipes_in_change += world.wipes_in_change();
            sum.wipes += world.wipes();
            sum.crashes += world.crashes();
            sum.retired += world.retired();
            sum.adopted += world.adopted();
            sum.refused += world.refused();
            sum.settled += world.settled();
            if (!serves || !lost.empty() || world.false_unknowns() > 0 || world.overdrawn() > 0) {
                ++sum.broken;
                sum.first_broken = "seed " + std::to_string(seed) +
                                   (serves ? " serves" : " serves nothing") + ", lost " +
                                   std::to_string(lost.size()) + ", told unknown " +
                                   std::to_string(world.false_unknowns()) + ", overdrawn " +
                                   std::to_string(world.overdrawn());
            }
        }
        return sum;
    }

    void nothing_is_lost_by_wipes_in_one_group() {
        const totals sum = run(3, 60, put_back::nothing);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(sum.first_broken, 0, sum.broken);
        // A run in which the faults never came would prove nothing.
        CPPUNIT_ASSERT(sum.wipes > 100);
        CPPUNIT_ASSERT(sum.crashes > 60);
        CPPUNIT_ASSERT(sum.settled > 5'000);
    }

    void nothing_is_lost_by_wipes_and_moves_over_several_groups() {
        const totals sum = run(13, 60, put_back::nothing);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(sum.first_broken, 0, sum.broken);
        CPPUNIT_ASSERT(sum.wipes > 60);
        CPPUNIT_ASSERT(sum.crashes > 40);
        CPPUNIT_ASSERT(sum.retired > 10);
        CPPUNIT_ASSERT(sum.adopted > 200);
        CPPUNIT_ASSERT(sum.refused > 100);
        CPPUNIT_ASSERT(sum.settled > 5'000);
    }

    // Symptom: after all machines had lost power, turns were refused for good, though each store
    // answered and wrote: turn_refused with store_answers=3 and durable=3 or less, turn_unsettled.
    // Sequence: a disk was lost; the change of the group to its successor stayed open over restarts
    // that came in a row; all power was lost, and a second disk with it.
    // Cause: a change ends only after copies from a majority of the members of before, and turns
    // need a majority of them while it is open. Two of three were gone for good, so neither could
    // ever happen, although the stores that were left held everything.
    // Settled by: store_map_changed epoch=8 stores=3 next=3 as the last line of its kind at all
    // nodes for five minutes, and storage_opened with turns=310 programs=217 at all three stores;
    // the lists named two disks that had been lost.
    void turns_are_served_after_a_second_disk_was_lost_while_a_change_was_open() {
        store_world world(1, 3);
        world.run(1500);
        CPPUNIT_ASSERT(world.settled() > 10);
        world.lose_a_second_disk_while_a_change_is_open();
        CPPUNIT_ASSERT(world.serves_new_programs());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.lost_turns().size());
    }

    void nothing_is_lost_by_disks_lost_in_series() {
        const totals one_group = run(3, 60, put_back::nothing, disk_losses::in_series);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(one_group.first_broken, 0, one_group.broken);
        CPPUNIT_ASSERT(one_group.wipes_in_change > 100);
        CPPUNIT_ASSERT(one_group.power_losses > 60);
        CPPUNIT_ASSERT(one_group.settled > 1'000);
        const totals groups = run(13, 40, put_back::nothing, disk_losses::in_series);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(groups.first_broken, 0, groups.broken);
        CPPUNIT_ASSERT(groups.wipes_in_change > 100);
        CPPUNIT_ASSERT(groups.settled > 1'000);
        const totals of_five = run(7, 40, put_back::nothing, disk_losses::in_series, 2);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(of_five.first_broken, 0, of_five.broken);
        CPPUNIT_ASSERT(of_five.wipes_in_change > 100);
        CPPUNIT_ASSERT(of_five.settled > 300);
    }

    void the_checks_notice_a_doubled_budget() {
        CPPUNIT_ASSERT(run(13, 5, put_back::blind_ledger).broken > 0);
    }

    void the_checks_notice_a_turn_told_as_unknown() {
        CPPUNIT_ASSERT(run(13, 5, put_back::denied_turn).broken > 0);
    }

    void the_checks_notice_a_store_that_joins_without_copying() {
        CPPUNIT_ASSERT(run(13, 20, put_back::no_copy).broken > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_simulation_test);

}  // namespace tallyfold::tests
