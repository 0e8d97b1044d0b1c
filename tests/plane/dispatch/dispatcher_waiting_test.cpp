#include "tallyfold/plane/dispatch/dispatcher.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace dispatch;
using namespace std::chrono_literals;

/// How the dispatcher treats waiting calls.
class dispatcher_waiting_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(dispatcher_waiting_test);
    CPPUNIT_TEST(a_call_that_excludes_the_free_engine_delays_no_other);
    CPPUNIT_TEST(the_wait_limit_grants_beyond_the_slots);
    CPPUNIT_TEST_SUITE_END();

    static constexpr instant start{100s};

    static place_request call(call_number number, std::vector<backend_name> excluded = {}) {
        place_request made;
        made.node = "f";
        made.process_id = 1;
        made.call = number;
        made.longest_wait_ms = 100;
        made.excluded = std::move(excluded);
        return made;
    }

    /// Two engines of one slot, "a" and "b".
    static dispatcher two_engines() {
        dispatcher made({});
        std::vector<scheduling::backend_member> engines(2);
        engines[0].name = "a";
        engines[1].name = "b";
        for (scheduling::backend_member& engine : engines) {
            engine.slots = 1;
            engine.listed_only = true;
        }
        made.set_engines(engines, 0);
        return made;
    }

    static place_outcome outcome_of(const std::vector<addressed_answer>& answers) {
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answers.size());
        return answers[0].answer.outcome;
    }

    void a_call_that_excludes_the_free_engine_delays_no_other() {
        // Guards against free slots behind a waiting call that can't use them.
        dispatcher group = two_engines();
        group.request(call(1, {"b"}), start);
        group.request(call(2, {"a"}), start);
        CPPUNIT_ASSERT(outcome_of(group.request(call(3, {"b"}), start)) == place_outcome::waiting);
        CPPUNIT_ASSERT(outcome_of(group.request(call(4), start + 1ms)) == place_outcome::waiting);
        released_call ended;
        ended.call = 2;
        const auto granted = group.release({"f", 1, {ended}}, start + 2ms);
        CPPUNIT_ASSERT(outcome_of(granted) == place_outcome::granted);
        CPPUNIT_ASSERT_EQUAL(call_number{4}, granted[0].answer.call);
        // Nor a later one that finds the slot free.
        ended.call = 4;
        CPPUNIT_ASSERT(group.release({"f", 1, {ended}}, start + 3ms).empty());
        CPPUNIT_ASSERT(outcome_of(group.request(call(5), start + 4ms)) == place_outcome::granted);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, group.waiting());
    }

    void the_wait_limit_grants_beyond_the_slots() {
        dispatcher group = two_engines();
        for (call_number number = 1; number <= 3; ++number) {
            group.request(call(number), start);
        }
        CPPUNIT_ASSERT(group.tick(start + 99ms).empty());
        const auto granted = group.tick(start + 100ms);
        CPPUNIT_ASSERT(outcome_of(granted) == place_outcome::granted);
        CPPUNIT_ASSERT(granted[0].answer.reason == place_reason::longest_wait_reached);
        CPPUNIT_ASSERT(group.tick(start + 200ms).empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, group.take_counters().forced);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(dispatcher_waiting_test);

}  // namespace tallyfold::tests
