#include "tallyfold/listing/fleet_load.hpp"

#include <rapidcheck.h>

#include <cmath>
#include <limits>

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace listing;

class fleet_load_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(fleet_load_test);
    CPPUNIT_TEST(each_directory_node_is_told_each_call_once);
    CPPUNIT_TEST(rates_are_summed_over_forwarders);
    CPPUNIT_TEST(a_rate_that_was_told_long_ago_counts_no_more);
    CPPUNIT_TEST(another_list_or_an_absurd_rate_is_passed_over);
    CPPUNIT_TEST(any_question_gets_a_bounded_sane_answer);
    CPPUNIT_TEST_SUITE_END();

    static instant at(int milliseconds) { return instant(std::chrono::milliseconds(milliseconds)); }
    static std::vector<listed_backend> backends(std::size_t count) {
        std::vector<listed_backend> listed(count);
        for (std::size_t index = 0; index < count; ++index) {
            listed[index].service = "s";
            listed[index].member.name = std::string(1, static_cast<char>('a' + index));
        }
        return listed;
    }
    static list_memory list_of(std::size_t count) {
        list_memory list;
        list.see(backends(count), at(0));
        return list;
    }

    void each_directory_node_is_told_each_call_once() {
        const list_memory list = list_of(4);
        load_watch watch;
        watch.begun("b", at(10));
        watch.begun("b", at(20));
        const load_question first = watch.ask("one", list, at(30));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.begun.size());
        CPPUNIT_ASSERT_EQUAL(list_position{1}, first.begun.front().backend);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{2}, first.begun.front().count);
        CPPUNIT_ASSERT(watch.ask("one", list, at(40)).begun.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, watch.ask("other", list, at(50)).begun.size());
        watch.begun("d", at(60));
        const load_question next = watch.ask("one", list, at(70));
        CPPUNIT_ASSERT_EQUAL(list_position{3}, next.begun.front().backend);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, next.begun.size());
    }

    void rates_are_summed_over_forwarders() {
        const list_memory list = list_of(4);
        fleet_load load;
        for (int node = 0; node < 10; ++node) {
            load_watch watch;
            watch.begun("c", at(900));
            load.take(watch.ask("one", list, at(1'000)), list.backends(), at(1'000));
        }
        load_watch asking;
        asking.watch("s", {"a", "c"});
        const load_question question = asking.ask("one", list, at(1'000));
        asking.learn({list.fingerprint(), load.answer(question, list.backends(), at(1'000))}, list,
                     at(1'000));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(10, asking.calls_per_second("c", at(1'000)), 0.01);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, asking.calls_per_second("a", at(1'000)), 0.01);
        // They fade.
        const auto later = load.answer(question, list.backends(), at(2'000));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(10 / std::exp(1), later.back().calls_per_second, 0.01);
    }

    void a_rate_that_was_told_long_ago_counts_no_more() {
        const list_memory list = list_of(4);
        load_watch watch;
        watch.learn({list.fingerprint(), {{2, 7.0F}}}, list, at(0));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(7, watch.calls_per_second("c", at(1'900)), 0.01);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, watch.calls_per_second("c", at(2'100)), 0.01);
    }

    void another_list_or_an_absurd_rate_is_passed_over() {
        const list_memory list = list_of(4);
        load_watch watch;
        watch.learn({list.fingerprint() + 1, {{2, 7.0F}}}, list, at(0));
        watch.learn({list.fingerprint(), {{9, 7.0F}}}, list, at(0));
        watch.learn({list.fingerprint(), {{1, std::numeric_limits<float>::quiet_NaN()}}}, list,
                    at(0));
        watch.learn({list.fingerprint(), {{3, -1.0F}}}, list, at(0));
        for (const char* name : {"a", "b", "c", "d"}) {
            CPPUNIT_ASSERT_DOUBLES_EQUAL(0, watch.calls_per_second(name, at(0)), 0.001);
        }
    }

    void any_question_gets_a_bounded_sane_answer() {
        const bool holds = rc::check("positions and counts of any size do no harm", [] {
            load_question question;
            question.watched = *rc::gen::arbitrary<std::vector<list_position>>();
            const auto positions = *rc::gen::arbitrary<std::vector<list_position>>();
            for (const list_position position : positions) {
                question.begun.push_back({position, *rc::gen::arbitrary<std::uint16_t>()});
            }
            fleet_load load;
            load.take(question, backends(5), at(1'000));
            // A clock that went back, too.
            for (const int now : {0, 1'000, 100'000}) {
                const auto rates = load.answer(question, backends(5), at(now));
                RC_ASSERT(rates.size() <= fleet_load::most_told);
                for (const told_rate& rate : rates) {
                    RC_ASSERT(rate.backend < 5);
                    RC_ASSERT(std::isfinite(rate.calls_per_second) && rate.calls_per_second >= 0);
                }
            }
        });
        CPPUNIT_ASSERT(holds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_load_test);

}  // namespace tallyfold::tests
