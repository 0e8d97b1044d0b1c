#include "tallyfold/plane/dispatch/wait_queue.hpp"

#include <set>

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace dispatch;
using namespace std::chrono_literals;

class wait_queue_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(wait_queue_test);
    CPPUNIT_TEST(least_slack_goes_first_and_late_calls_after);
    CPPUNIT_TEST(no_call_is_overtaken_forever);
    CPPUNIT_TEST(the_wait_limit_is_reported);
    CPPUNIT_TEST(new_programs_are_refused_before_those_under_way);
    CPPUNIT_TEST(nothing_is_refused_while_the_rate_is_unknown);
    CPPUNIT_TEST(a_full_queue_refuses);
    CPPUNIT_TEST(expected_waits_are_corrected);
    CPPUNIT_TEST(calls_leave_once_and_by_priority);
    CPPUNIT_TEST_SUITE_END();

    static constexpr instant start{100s};

    static waiting_call call(call_number number, duration slack = 1h) {
        waiting_call made;
        made.key = {1, number};
        made.arrived = start + std::chrono::microseconds(number);
        made.latest_start = start + slack;
        made.wait_limit = start + 1200ms;
        return made;
    }

    static std::vector<call_number> drain(wait_queue& queue, instant now) {
        std::vector<call_number> order;
        while (const waiting_call* next = queue.next(now)) {
            order.push_back(next->key.call);
            queue.remove(call_key(next->key));
        }
        return order;
    }

    void least_slack_goes_first_and_late_calls_after() {
        wait_queue queue({});
        waiting_call runaway = call(1, 1s);
        runaway.runaway = true;
        queue.push(runaway, start);
        queue.push(call(2, 900ms), start);
        queue.push(call(3, 500ms), start);
        queue.push(call(4, -1ms), start);
        // Later than call 4, but younger: the oldest late call goes first.
        queue.push(call(5, -500ms), start);
        CPPUNIT_ASSERT((drain(queue, start) == std::vector<call_number>{3, 2, 4, 5, 1}));
    }

    void no_call_is_overtaken_forever() {
        wait_queue queue({});
        queue.push(call(1, 10h), start);
        call_number number = 1;
        for (std::uint64_t taken = 1; taken <= wait_queue::oldest_first_interval; ++taken) {
            queue.push(call(++number), start);
            const call_key next = queue.next(start)->key;
            queue.remove(next);
            if (next.call == 1) {
                return;
            }
        }
        CPPUNIT_FAIL("the oldest call still waits");
    }

    void the_wait_limit_is_reported() {
        wait_queue queue({});
        queue.push(call(1), start);
        waiting_call sooner = call(2);
        sooner.wait_limit = start + 100ms;
        queue.push(sooner, start);
        CPPUNIT_ASSERT(queue.overdue(start + 99ms).empty());
        CPPUNIT_ASSERT((queue.overdue(start + 100ms) == std::vector<call_key>{{1, 2}}));
        CPPUNIT_ASSERT((queue.overdue(start + 2s) == std::vector<call_key>{{1, 2}, {1, 1}}));
        queue.remove({1, 2});
        CPPUNIT_ASSERT(queue.overdue(start + 100ms).empty());
    }

    void new_programs_are_refused_before_those_under_way() {
        wait_queue queue({});
        queue.set_capacity(100);
        for (call_number number = 1; number <= 9; ++number) {
            waiting_call running = call(number, 100ms);
            running.program_running = true;
            CPPUNIT_ASSERT(!queue.push(running, start));
        }
        // Expected wait 100 ms, of each of its calls.
        waiting_call added = call(10, 1s);
        CPPUNIT_ASSERT(!queue.push(added, start));
        queue.remove(added.key);
        added.calls_left = 9;
        const auto refused = queue.push(added, start);
        CPPUNIT_ASSERT(refused && refused->reason == place_reason::new_program);
        CPPUNIT_ASSERT(refused->expected_wait == 100ms);
        added.calls_left = 1;
        added.wait_limit = start + 50ms;
        const auto too_long = queue.push(added, start);
        CPPUNIT_ASSERT(too_long && too_long->reason == place_reason::wait_too_long);
        added.program_running = true;
        CPPUNIT_ASSERT(!queue.push(added, start));
    }

    void nothing_is_refused_while_the_rate_is_unknown() {
        // Guards against refusals by a rate of zero at the first calls of a group.
        wait_queue queue({});
        for (call_number number = 1; number <= 100; ++number) {
            CPPUNIT_ASSERT(!queue.push(call(number, 1ms), start));
        }
    }

    void a_full_queue_refuses() {
        wait_queue queue({.refuses = false});
        for (call_number number = 1; number <= wait_queue::max_length; ++number) {
            CPPUNIT_ASSERT(!queue.push(call(number), start));
        }
        const auto refused = queue.push(call(wait_queue::max_length + 1), start);
        CPPUNIT_ASSERT(refused && refused->reason == place_reason::queue_full);
    }

    void expected_waits_are_corrected() {
        // Calls that arrive later overtake: waits are twice as long as the calls ahead explain.
        wait_queue queue({.refuses = false});
        queue.set_capacity(100);
        for (call_number number = 1; number <= 500; ++number) {
            waiting_call made = call(number);
            made.arrived = start;
            queue.push(made, start);
            queue.record_granted(made, start + 20ms);
            queue.remove(made.key);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(
            20'000, static_cast<double>(queue.expected_wait(call(501), start).count()), 500);
    }

    void calls_leave_once_and_by_priority() {
        check_property("pushes, grants and withdrawals in any order", [] {
            wait_queue queue({.refuses = false});
            std::set<call_key> inside;
            call_number number = 0;
            instant now = start;
            for (const int action : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4))) {
                now += 1ms;
                if (action < 2 || inside.empty()) {
                    waiting_call made =
                        call(++number, std::chrono::milliseconds(*rc::gen::inRange(-100, 1'000)));
                    made.tenant = *rc::gen::element<std::string>("a", "b", "");
                    made.priority = {*rc::gen::inRange(0, 2), *rc::gen::inRange(0, 3)};
                    made.runaway = *rc::gen::arbitrary<bool>();
                    RC_ASSERT(!queue.push(made, now));
                    inside.insert(made.key);
                } else if (action == 2) {
                    const waiting_call taken = *queue.next(now);
                    for (const call_key& other : inside) {
                        RC_ASSERT(taken.priority <= queue.find(other)->priority);
                    }
                    queue.record_granted(taken, now);
                    RC_ASSERT(queue.remove(taken.key));
                    RC_ASSERT(!queue.remove(taken.key));
                    RC_ASSERT(inside.erase(taken.key) == 1);
                } else {
                    RC_ASSERT(queue.remove(*inside.begin()));
                    inside.erase(inside.begin());
                }
                RC_ASSERT(queue.size() == inside.size());
                RC_ASSERT((queue.next(now) == nullptr) == inside.empty());
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(wait_queue_test);

}  // namespace tallyfold::tests
