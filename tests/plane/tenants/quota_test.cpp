#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <random>

#include "tallyfold/plane/tenants/permit_holder.hpp"
#include "tallyfold/plane/tenants/permit_lender.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace tenants;
using std::chrono::milliseconds;

namespace {

const instant beginning(std::chrono::seconds(100));

routing::tenant limited_tenant(const std::string& name, double rate, double burst) {
    routing::tenant made;
    made.name = name;
    made.rate_per_second = rate;
    made.burst = burst;
    return made;
}

/// Keepers, nodes and the messages between them, with delays, losses and faults; time is virtual.
class quota_world {
  public:
    quota_world(std::uint64_t seed, std::size_t node_count, routing::tenant tenant,
                quota_rules rules)
        : random_(seed), rules_(rules), tenant_(std::move(tenant)) {
        for (int number = 0; number < 2; ++number) {
            keepers_.emplace_back(rules_);
            keepers_.back().use({tenant_});
            keepers_.back().start(beginning);
        }
        for (std::size_t number = 0; number < node_count; ++number) {
            nodes_.push_back(make_node(number));
        }
    }

    instant now = beginning;
    /// When calls were let in.
    std::deque<instant> spent;
    std::uint64_t refused = 0;
    std::uint64_t taken_back = 0;
    double loss = 0;
    bool keeper_reachable = true;

    void change_keeper() {
        keeper_ = 1 - keeper_;
        keepers_[keeper_].use({tenant_});
        keepers_[keeper_].start(now);
    }
    void change_limit(double rate, double burst) {
        tenant_ = limited_tenant(tenant_.name, rate, burst);
        for (permit_lender& keeper : keepers_) {
            keeper.use({tenant_});
        }
        for (node& each : nodes_) {
            each.holder->use({tenant_});
        }
    }
    void freeze(std::size_t number, duration length) { nodes_[number].frozen_until = now + length; }
    /// The node's process ends; another life of it begins at once.
    void restart(std::size_t number) { nodes_[number] = make_node(number); }

    /// All processes end at once and are back after `dark`.
    void lose_power(duration dark) {
        messages_.clear();
        now += dark;
        change_keeper();
        for (std::size_t number = 0; number < nodes_.size(); ++number) {
            restart(number);
        }
    }

    /// One millisecond. @param calls_a_second over all nodes together
    void step(double calls_a_second) {
        now += milliseconds(1);
        deliver();
        for (std::size_t number = 0; number < nodes_.size(); ++number) {
            if (now >= nodes_[number].frozen_until) {
                run_node(number);
            }
        }
        arrivals_ += calls_a_second / 1'000;
        while (arrivals_ >= 1) {
            arrivals_ -= 1;
            node& chosen = nodes_[random_() % nodes_.size()];
            if (now >= chosen.frozen_until) {
                call(chosen);
            }
        }
        for (permit_lender& keeper : keepers_) {
            keeper.expire(now);
        }
    }
    void run(duration length, double calls_a_second) {
        const instant end = now + length;
        while (now < end) {
            step(calls_a_second);
        }
    }

    /// The most that was let in within any span as long as the window.
    [[nodiscard]] std::size_t max_in_window() const { return most_of(spent); }
    /// The most times that nodes lost the keeper within such a span: each lets them go one call
    /// further than before.
    [[nodiscard]] std::size_t max_silences() const { return most_of(silences_); }
    [[nodiscard]] std::size_t let_in_since(instant since) const {
        return static_cast<std::size_t>(
            std::count_if(spent.begin(), spent.end(), [&](instant at) { return at >= since; }));
    }
    [[nodiscard]] permit_lender& keeper() { return keepers_[keeper_]; }
    [[nodiscard]] double bound() const {
        const double window = std::chrono::duration<double>(rules_.window).count();
        return (tenant_.rate_per_second * window + tenant_.burst) * (1 + rules_.overshoot) +
               rules_.slack;
    }

  private:
    [[nodiscard]] std::size_t most_of(const std::deque<instant>& times) const {
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < times.size(); ++last) {
            while (times[last] - times[first] > rules_.window) {
                ++first;
            }
            most = std::max(most, last - first + 1);
        }
        return most;
    }

    struct waiting_call {
        std::uint64_t needed = 0;
        instant since{};
    };
    struct node {
        std::unique_ptr<permit_holder> holder;
        std::optional<instant> asked;
        instant last_report{};
        instant frozen_until{};
        std::uint64_t answered = 0;
        bool silent = false;
        std::vector<waiting_call> waiting;
    };
    struct message {
        instant at{};
        std::size_t node = 0;
        std::uint64_t life = 0;
        bool to_keeper = false;
        permit_report report;
        permit_answer answer;
    };

    node make_node(std::size_t number) {
        node made;
        made.holder =
            std::make_unique<permit_holder>(rules_, "node-" + std::to_string(number), ++lives_);
        made.holder->use({tenant_});
        return made;
    }

    bool lost() { return !keeper_reachable || random_() % 1'000 < loss * 1'000; }
    duration delay() { return milliseconds(1 + random_() % 6); }

    void deliver() {
        std::vector<message> due;
        std::erase_if(messages_, [&](const message& each) {
            const bool frozen = !each.to_keeper && now < nodes_[each.node].frozen_until;
            if (each.at > now || frozen) {
                return false;
            }
            due.push_back(each);
            return true;
        });
        for (message& each : due) {
            if (each.to_keeper) {
                message back;
                back.answer = keepers_[keeper_].answer(each.report, now);
                back.node = each.node;
                back.at = now + delay();
                if (!lost()) {
                    messages_.push_back(std::move(back));
                }
            } else {
                take_answer(nodes_[each.node], each.node, each.answer);
            }
        }
    }

    void ask(node& asker, std::size_t number) {
        asker.asked = now;
        asker.last_report = now;
        message sent;
        sent.to_keeper = true;
        sent.node = number;
        sent.report = asker.holder->report(now);
        sent.at = now + delay();
        if (!lost()) {
            messages_.push_back(std::move(sent));
        }
    }

    void take_answer(node& asker, std::size_t number, const permit_answer& answer) {
        if (!asker.asked || answer.question != asker.holder->question()) {
            return;
        }
        asker.asked.reset();
        if (!asker.holder->apply(answer, now)) {
            ask(asker, number);
            return;
        }
        asker.answered = answer.question;
        asker.silent = false;
    }

    void end_waiting(node& asker, bool let_in) {
        asker.holder->end_wait(tenant_.name, permit_need::under_way);
        let_in ? spent.push_back(now) : void(++refused);
    }

    void run_node(std::size_t number) {
        node& each = nodes_[number];
        if (each.asked && now - *each.asked > milliseconds(120)) {
            each.asked.reset();
            each.holder->unanswered();
            if (!each.silent) {
                silences_.push_back(now);
            }
            each.silent = true;
        }
        std::erase_if(each.waiting, [&](const waiting_call& call) {
            if (each.holder->take(tenant_.name, now)) {
                end_waiting(each, true);
                return true;
            }
            if (each.silent) {
                end_waiting(each, each.holder->take_unasked(tenant_.name, now));
                return true;
            }
            if (each.answered >= call.needed) {
                const bool unsure = each.holder->keeper_settles();
                end_waiting(each, unsure && each.holder->take_unasked(tenant_.name, now));
                return true;
            }
            return false;
        });
        const bool due = now - each.last_report >= milliseconds(250);
        const bool wanted = !each.waiting.empty() || (due && each.holder->should_report(now));
        if (!each.asked && wanted) {
            ask(each, number);
        }
    }

    void call(node& taker) {
        if (taker.holder->take(tenant_.name, now)) {
            spent.push_back(now);
            if (random_() % 50 == 0) {
                // It was not run after all.
                taker.holder->give_back(tenant_.name, now);
                spent.pop_back();
                ++taken_back;
            }
            return;
        }
        if (taker.silent) {
            taker.holder->take_unasked(tenant_.name, now) ? spent.push_back(now) : void(++refused);
            return;
        }
        taker.holder->begin_wait(tenant_.name, permit_need::under_way);
        taker.waiting.push_back({taker.holder->question() + 1, now});
    }

    std::mt19937_64 random_;
    quota_rules rules_;
    routing::tenant tenant_;
    std::vector<permit_lender> keepers_;
    std::size_t keeper_ = 0;
    std::vector<node> nodes_;
    std::vector<message> messages_;
    std::deque<instant> silences_;
    double arrivals_ = 0;
    std::uint64_t lives_ = 0;
};

}  // namespace

class quota_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(quota_test);
    CPPUNIT_TEST(far_below_the_limit_nothing_is_refused);
    CPPUNIT_TEST(far_above_the_limit_just_the_limit_is_let_in);
    CPPUNIT_TEST(the_bound_holds_under_faults);
    CPPUNIT_TEST(the_bound_holds_when_all_power_is_lost);
    CPPUNIT_TEST(the_bound_holds_while_nodes_restart_and_the_keeper_changes);
    CPPUNIT_TEST(a_keeper_that_is_new_alone_lends_the_whole_limit);
    CPPUNIT_TEST(without_the_bound_faults_are_noticed);
    CPPUNIT_TEST(permits_of_dead_and_frozen_nodes_come_back);
    CPPUNIT_TEST(a_lowered_limit_binds_after_a_window);
    CPPUNIT_TEST(a_silent_keeper_stops_nobody_who_keeps_his_pace);
    CPPUNIT_TEST(new_programs_leave_the_last_permits_to_those_under_way);
    CPPUNIT_TEST(absurd_and_doubled_reports_do_no_harm);
    CPPUNIT_TEST(a_tenant_without_a_limit_needs_no_permit);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t node_count = 12;

    static quota_world world(std::uint64_t seed, double rate) {
        return {seed, node_count, limited_tenant("t", rate, rate), quota_rules{}};
    }

    void far_below_the_limit_nothing_is_refused() {
        quota_world calm = world(1, 100);
        calm.run(std::chrono::seconds(20), 60);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, calm.refused);
    }

    void far_above_the_limit_just_the_limit_is_let_in() {
        quota_world pressed = world(2, 50);
        pressed.run(std::chrono::seconds(30), 400);
        CPPUNIT_ASSERT(pressed.refused > 0);
        CPPUNIT_ASSERT(static_cast<double>(pressed.max_in_window()) <= pressed.bound());
        // In the long run the rate comes through, not less: permits don't get lost.
        const double let_in =
            static_cast<double>(pressed.let_in_since(pressed.now - std::chrono::seconds(15)));
        CPPUNIT_ASSERT(let_in >= 15 * 50 * 0.95);
    }

    /// @param restarts nodes restart, and no keeper changes; otherwise the other way round
    static void play_faults(quota_world& played, std::uint64_t seed, bool restarts) {
        std::mt19937_64 random(seed);
        for (int round = 0; round < 24; ++round) {
            switch (random() % 6) {
                case 0:
                case 2:
                    restarts ? played.restart(random() % node_count) : played.change_keeper();
                    break;
                case 1:
                    played.freeze(random() % node_count, milliseconds(random() % 7'000));
                    break;
                case 3:
                    played.loss = static_cast<double>(random() % 40) / 100;
                    break;
                case 4:
                    played.loss = 0;
                    break;
                default:
                    played.keeper_reachable = !played.keeper_reachable;
                    break;
            }
            played.run(milliseconds(100 + random() % 1'400), 30 + random() % 500);
            if (random() % 2 == 0) {
                played.keeper_reachable = true;
            }
        }
    }

    /// Restarted nodes and changed keepers are played apart: what a node has spent is known to
    /// itself and to the keeper, and is forgotten where both go within a window.
    void the_bound_holds_under_faults() {
        for (std::uint64_t seed = 1; seed <= 60; ++seed) {
            quota_world played = world(seed, 60);
            play_faults(played, seed, seed % 2 == 0);
            const auto without_keeper = static_cast<double>(played.max_silences());
            CPPUNIT_ASSERT_MESSAGE(
                "seed " + std::to_string(seed) + ": " + std::to_string(played.max_in_window()),
                static_cast<double>(played.max_in_window()) <= played.bound() + without_keeper);
        }
    }

    // Symptom: within five seconds 140 of a tenant's requests ran where 99 are allowed.
    // Sequence: all machines lost power while the tenant pressed against its limit, and came back
    // within two seconds.
    // Cause: a new keeper lent the whole limit at once. It knows what living nodes have spent, but
    // the nodes were new too, so nobody knew what had been spent in the window before. Settled by:
    // limits_hold in eight of twelve runs with real processes, each time in a window that holds the
    // loss of power.
    void the_bound_holds_when_all_power_is_lost() {
        for (std::uint64_t seed = 1; seed <= 60; ++seed) {
            quota_world played = world(seed, 60);
            std::mt19937_64 random(seed);
            for (int round = 0; round < 4; ++round) {
                played.run(milliseconds(1'500 + random() % 7'000), 100 + random() % 500);
                played.lose_power(milliseconds(200 + random() % 1'800));
            }
            played.run(std::chrono::seconds(7), 300);
            const auto without_keeper = static_cast<double>(played.max_silences());
            CPPUNIT_ASSERT_MESSAGE(
                "seed " + std::to_string(seed) + ": " + std::to_string(played.max_in_window()),
                static_cast<double>(played.max_in_window()) <= played.bound() + without_keeper);
            // What is forgotten costs a window, not more.
            const double let_in =
                static_cast<double>(played.let_in_since(played.now - std::chrono::seconds(2)));
            CPPUNIT_ASSERT(let_in >= 2 * 60 * 0.8);
        }
    }

    // 107 of a tenant's requests ran within five seconds where 106 are allowed. Nodes restarted one
    // after the other, one each two seconds, and two directory machines lost power in that time.
    // That the keeper changed is inferred from a replay, which kept the limit: there
    // quota_keeper_started named another node. What a node has spent is known to itself and to the
    // keeper that it told; when both are gone, the next keeper counts only what living nodes tell.
    void the_bound_holds_while_nodes_restart_and_the_keeper_changes() {
        for (std::uint64_t seed = 1; seed <= 60; ++seed) {
            quota_world played = world(seed, 60);
            std::mt19937_64 random(seed);
            std::size_t next = 0;
            for (int round = 0; round < 12; ++round) {
                played.run(milliseconds(300 + random() % 600), 100 + random() % 500);
                played.restart(next++ % node_count);
                if (round % 5 == 4) {
                    played.change_keeper();
                }
            }
            const auto without_keeper = static_cast<double>(played.max_silences());
            CPPUNIT_ASSERT_MESSAGE(
                "seed " + std::to_string(seed) + ": " + std::to_string(played.max_in_window()),
                static_cast<double>(played.max_in_window()) <= played.bound() + without_keeper);
        }
    }

    void a_keeper_that_is_new_alone_lends_the_whole_limit() {
        quota_world played = world(8, 100);
        played.run(std::chrono::seconds(8), 60);
        const std::uint64_t before = played.refused;
        played.change_keeper();
        played.run(std::chrono::seconds(4), 60);
        CPPUNIT_ASSERT(played.refused - before <= 3);
    }

    /// Shows that the check above sees a keeper that forgets what it lent.
    void without_the_bound_faults_are_noticed() {
        quota_world played = world(3, 60);
        std::size_t most = 0;
        for (int round = 0; round < 20; ++round) {
            played.run(milliseconds(600), 600);
            played.keeper().start(played.now - std::chrono::seconds(10));
            most = std::max(most, played.max_in_window());
        }
        CPPUNIT_ASSERT(static_cast<double>(most) > played.bound());
    }

    void permits_of_dead_and_frozen_nodes_come_back() {
        quota_world played = world(4, 50);
        played.run(std::chrono::seconds(6), 300);
        for (std::size_t number = 0; number < node_count; number += 2) {
            played.restart(number);
            played.freeze(number + 1, std::chrono::seconds(4));
        }
        played.run(std::chrono::seconds(12), 300);
        const double let_in =
            static_cast<double>(played.let_in_since(played.now - std::chrono::seconds(5)));
        CPPUNIT_ASSERT(let_in >= 5 * 50 * 0.95);
        CPPUNIT_ASSERT(played.taken_back > 0);
    }

    void a_lowered_limit_binds_after_a_window() {
        quota_world played = world(5, 200);
        played.run(std::chrono::seconds(6), 180);
        played.change_limit(20, 20);
        played.run(std::chrono::seconds(6), 180);
        const instant since = played.now;
        played.run(std::chrono::seconds(5), 180);
        CPPUNIT_ASSERT(static_cast<double>(played.let_in_since(since)) <= played.bound());
    }

    void a_silent_keeper_stops_nobody_who_keeps_his_pace() {
        quota_world played = world(6, 100);
        played.run(std::chrono::seconds(6), 60);
        const std::uint64_t before = played.refused;
        played.keeper_reachable = false;
        played.run(milliseconds(1'500), 60);
        // Nodes bridge an election with the permits at hand and their own pace.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(played.refused - before),
                               played.refused - before <= 9);
        played.keeper_reachable = true;
        played.change_keeper();
        const std::uint64_t after = played.refused;
        played.run(std::chrono::seconds(5), 60);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(played.refused - after), played.refused - after <= 3);
    }

    static permit_report first_report(std::uint64_t question, permit_use use) {
        permit_report report;
        report.node = "n";
        report.life = 1;
        report.question = question;
        report.whole = true;
        report.uses = {std::move(use)};
        return report;
    }

    static permit_lender settled_keeper() {
        permit_lender keeper{quota_rules{}};
        keeper.use({limited_tenant("t", 10, 10)});
        keeper.start(beginning - std::chrono::seconds(1));
        return keeper;
    }

    void new_programs_leave_the_last_permits_to_those_under_way() {
        permit_lender keeper = settled_keeper();
        // 55 of 60 are spent: nothing for what begins, the rest for what is under way.
        permit_use use{"t", 55, 55, 55, 0, 1, 3};
        const permit_answer later = keeper.answer(first_report(1, use), beginning);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{55}, later.grants.front().ceiling);
        // 45 are open to new programs; 11 come back at 12 a second.
        CPPUNIT_ASSERT_EQUAL(916U, later.grants.front().room_to_begin_ms);
        CPPUNIT_ASSERT_EQUAL(0U, later.grants.front().room_after_ms);
        use.needed = 2;
        const permit_answer answer = keeper.answer(first_report(2, use), beginning);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{57}, answer.grants.front().ceiling);
        use.needed = 9;
        const permit_answer refused = keeper.answer(first_report(3, use), beginning);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{60}, refused.grants.front().ceiling);
        CPPUNIT_ASSERT(refused.grants.front().room_after_ms > 0);
    }

    void absurd_and_doubled_reports_do_no_harm() {
        permit_lender keeper = settled_keeper();
        const permit_use use{"t", 5, 9, 5, 0, 0, 0};
        CPPUNIT_ASSERT(keeper.answer(first_report(7, use), beginning).outcome ==
                       permit_outcome::granted);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, keeper.in_use("t"));
        // The same again, and an older one.
        CPPUNIT_ASSERT(keeper.answer(first_report(7, use), beginning).outcome ==
                       permit_outcome::wants_whole);
        CPPUNIT_ASSERT(keeper.answer(first_report(3, use), beginning).outcome ==
                       permit_outcome::wants_whole);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, keeper.in_use("t"));
        // A part of a report from a node that the keeper doesn't know.
        permit_report part = first_report(8, use);
        part.life = 2;
        part.whole = false;
        CPPUNIT_ASSERT(keeper.answer(part, beginning).outcome == permit_outcome::wants_whole);
        // Nobody's permits, and more than there are.
        const permit_answer unknown =
            keeper.answer(first_report(9, {"nobody", 1, 500, 1, 10, 0, 10}), beginning);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, unknown.grants.front().ceiling);
        const permit_answer absurd = keeper.answer(
            first_report(10, {"t", 0, 0, 0, 4'000'000'000U, 0, 4'000'000'000U}), beginning);
        CPPUNIT_ASSERT(absurd.grants.front().ceiling <= 60);
        keeper.expire(beginning + std::chrono::seconds(8));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, keeper.in_use("t"));
    }

    void a_tenant_without_a_limit_needs_no_permit() {
        permit_holder holder(quota_rules{}, "n", 1);
        holder.use({limited_tenant("free", 0, 0), limited_tenant("t", 10, 10)});
        CPPUNIT_ASSERT(holder.take("free", beginning));
        CPPUNIT_ASSERT(!holder.take("t", beginning));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, holder.active());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(quota_test);

}  // namespace tallyfold::tests
