#include "tallyfold/plane/decisions/dispatcher_choice.hpp"

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace forwarding;
using std::chrono::milliseconds;
using std::chrono::seconds;

class dispatcher_choice_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(dispatcher_choice_test);
    CPPUNIT_TEST(first_usable_node_is_chosen);
    CPPUNIT_TEST(silent_node_is_passed_over_until_its_delay_ends);
    CPPUNIT_TEST(delay_doubles_up_to_four_seconds);
    CPPUNIT_TEST(calls_unanswered_together_count_as_one_silence);
    CPPUNIT_TEST(calls_that_wait_on_during_the_delay_do_not_lengthen_it);
    CPPUNIT_TEST(answer_ends_the_silence);
    CPPUNIT_TEST(nodes_are_silent_independently);
    CPPUNIT_TEST_SUITE_END();

    static inline const std::vector<node_name> order{"a", "b", "c"};
    static inline const instant start = instant(seconds(100));
    /// Time that a request was unanswered for.
    static constexpr duration timeout = milliseconds(40);

    static node_name chosen(const dispatcher_choice& choice, instant now) {
        return choice.choose(order, now, [](const node_name&) { return true; }).value_or("");
    }
    /// Records a request that was sent `timeout` before `now`.
    static bool fail(dispatcher_choice& choice, const node_name& node, instant now) {
        return choice.unanswered(node, now - timeout, now);
    }

    /// Guards against requests to nodes that are disconnected or of an earlier format.
    void first_usable_node_is_chosen() {
        const dispatcher_choice choice;
        CPPUNIT_ASSERT_EQUAL(node_name("a"), chosen(choice, start));
        const auto without_first = [](const node_name& node) { return node != "a"; };
        CPPUNIT_ASSERT(choice.choose(order, start, without_first) == node_name("b"));
        CPPUNIT_ASSERT(!choice.choose(order, start, [](const node_name&) { return false; }));
        CPPUNIT_ASSERT(
            !choice.choose(std::vector<node_name>{}, start, [](const node_name&) { return true; }));
    }

    /// Guards against each call waiting in vain for a node that is gone.
    void silent_node_is_passed_over_until_its_delay_ends() {
        dispatcher_choice choice;
        CPPUNIT_ASSERT(fail(choice, "a", start));
        CPPUNIT_ASSERT(choice.is_silent("a", start));
        CPPUNIT_ASSERT_EQUAL(node_name("b"), chosen(choice, start));
        CPPUNIT_ASSERT_EQUAL(node_name("b"), chosen(choice, start + milliseconds(999)));
        CPPUNIT_ASSERT_EQUAL(node_name("a"), chosen(choice, start + seconds(1)));
        CPPUNIT_ASSERT(choice.is_doubtful("a"));
    }

    void delay_doubles_up_to_four_seconds() {
        dispatcher_choice choice;
        instant now = start;
        for (const int delay : {1, 2, 4, 4, 4}) {
            CPPUNIT_ASSERT(fail(choice, "a", now));
            now += seconds(delay);
            CPPUNIT_ASSERT(choice.is_silent("a", now - milliseconds(1)));
            CPPUNIT_ASSERT(!choice.is_silent("a", now));
            // The next request after the delay is not answered either.
            now += timeout;
        }
    }

    void calls_unanswered_together_count_as_one_silence() {
        dispatcher_choice choice;
        CPPUNIT_ASSERT(fail(choice, "a", start));
        for (int call = 1; call <= 39; ++call) {
            CPPUNIT_ASSERT(!fail(choice, "a", start + milliseconds(call)));
        }
        CPPUNIT_ASSERT(!choice.is_silent("a", start + seconds(1)));
    }

    /// Guards against a delay that reaches its maximum at the first silence: waiting calls repeat
    /// their requests every 200 ms, at different times.
    void calls_that_wait_on_during_the_delay_do_not_lengthen_it() {
        dispatcher_choice choice;
        CPPUNIT_ASSERT(fail(choice, "a", start));
        for (const int later : {60, 120, 239}) {
            CPPUNIT_ASSERT(!fail(choice, "a", start + milliseconds(later)));
        }
        CPPUNIT_ASSERT(!choice.is_silent("a", start + seconds(1)));
    }

    void answer_ends_the_silence() {
        dispatcher_choice choice;
        CPPUNIT_ASSERT(!choice.answered("a"));
        fail(choice, "a", start);
        fail(choice, "a", start + seconds(2));
        CPPUNIT_ASSERT(choice.answered("a"));
        CPPUNIT_ASSERT(!choice.answered("a"));
        CPPUNIT_ASSERT(!choice.is_doubtful("a"));
        CPPUNIT_ASSERT_EQUAL(node_name("a"), chosen(choice, start + seconds(2)));
        // The delay begins anew.
        fail(choice, "a", start + seconds(5));
        CPPUNIT_ASSERT(!choice.is_silent("a", start + seconds(6)));
    }

    void nodes_are_silent_independently() {
        dispatcher_choice choice;
        fail(choice, "a", start);
        fail(choice, "b", start + milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(node_name("c"), chosen(choice, start + milliseconds(600)));
        CPPUNIT_ASSERT_EQUAL(node_name("a"), chosen(choice, start + seconds(1)));
        fail(choice, "c", start + milliseconds(600));
        CPPUNIT_ASSERT_EQUAL(node_name(""), chosen(choice, start + milliseconds(700)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(dispatcher_choice_test);

}  // namespace tallyfold::tests
