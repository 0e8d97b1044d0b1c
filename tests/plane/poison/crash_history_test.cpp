#include "tallyfold/plane/poison/crash_history.hpp"

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace poison;
using std::chrono::milliseconds;

class crash_history_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(crash_history_test);
    CPPUNIT_TEST(crashes_one_after_the_other_all_count);
    CPPUNIT_TEST(crashes_at_once_count_once);
    CPPUNIT_TEST(reports_of_one_end_count_once);
    CPPUNIT_TEST(later_end_of_the_same_name_counts);
    CPPUNIT_TEST(crashes_far_apart_are_no_series);
    CPPUNIT_TEST(delays_of_reports_do_not_hide_a_series);
    CPPUNIT_TEST(order_of_reports_does_not_matter);
    CPPUNIT_TEST(bounded_history_keeps_its_series);
    CPPUNIT_TEST_SUITE_END();

    static constexpr instant start{std::chrono::seconds(9)};

    static crash make(const backend_name& backend, int sent_ms, int ended_ms) {
        return {backend, start + milliseconds(sent_ms), start + milliseconds(ended_ms)};
    }

    static crash_history of(const std::vector<crash>& crashes) {
        crash_history history;
        for (const crash& each : crashes) {
            history.add(each);
        }
        return history;
    }

    void crashes_one_after_the_other_all_count() {
        const crash_history history = of({make("a", 0, 5), make("b", 5, 9), make("c", 12, 13)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, history.consecutive());
        CPPUNIT_ASSERT(history.last() == start + milliseconds(13));
    }

    void crashes_at_once_count_once() {
        std::vector<crash> zone;
        for (int number = 0; number < 6; ++number) {
            zone.push_back(make("b" + std::to_string(number), number, 20 + number));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, of(zone).consecutive());
        zone.push_back(make("later", 30, 40));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, of(zone).consecutive());
    }

    void reports_of_one_end_count_once() {
        crash_history history;
        CPPUNIT_ASSERT(history.add(make("a", 0, 2)));
        CPPUNIT_ASSERT(!history.add(make("a", 30, 32)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, history.consecutive());
    }

    void later_end_of_the_same_name_counts() {
        const crash_history history = of({make("a", 0, 2), make("a", 9'000, 9'002)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, history.consecutive());
    }

    void crashes_far_apart_are_no_series() {
        const int gap_ms = static_cast<int>(to_milliseconds(crash_history::max_gap));
        const std::vector<crash> linked{make("a", 0, 5), make("b", 5 + gap_ms, 6 + gap_ms)};
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, of(linked).consecutive());
        const std::vector<crash> apart{make("a", 0, 5), make("b", 6 + gap_ms, 7 + gap_ms)};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, of(apart).consecutive());
        // A crash in between that overlaps neither joins them.
        std::vector<crash> joined = apart;
        joined.push_back(make("c", 100, 200));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, of(joined).consecutive());
    }

    void delays_of_reports_do_not_hide_a_series() {
        // The report of the first crash came late, so it seems to overlap the second one; the
        // second report has the exact times.
        const crash_history history = of({make("a", 40, 50), make("b", 12, 20), make("a", 0, 10)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, history.consecutive());
    }

    static rc::Gen<std::vector<crash>> any_crashes() {
        return rc::gen::container<std::vector<crash>>(
            rc::gen::map(rc::gen::tuple(rc::gen::inRange(0, 6), rc::gen::inRange(0, 300),
                                        rc::gen::inRange(1, 60)),
                         [](const std::tuple<int, int, int>& drawn) {
                             const auto [backend, sent, ran] = drawn;
                             return make(std::to_string(backend), sent, sent + ran);
                         }));
    }

    void order_of_reports_does_not_matter() {
        check_property("the series doesn't depend on the order of reports", [] {
            const std::vector<crash> crashes = *any_crashes();
            RC_PRE(crashes.size() <= crash_history::max_kept);
            std::vector<crash> reversed(crashes.rbegin(), crashes.rend());
            RC_ASSERT(of(crashes).consecutive() == of(reversed).consecutive());
        });
    }

    void bounded_history_keeps_its_series() {
        check_property("a full history has a series as long as before, up to its bound", [] {
            crash_history history;
            for (const crash& each : *any_crashes()) {
                const std::size_t before = history.consecutive();
                history.add(each);
                RC_ASSERT(history.all().size() <= crash_history::max_kept);
                RC_ASSERT(history.consecutive() + 1 >= before);
            }
        });
        crash_history series;
        for (int number = 0; number < 40; ++number) {
            series.add(make(std::to_string(number), number * 10, number * 10 + 9));
        }
        CPPUNIT_ASSERT_EQUAL(crash_history::max_kept, series.consecutive());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crash_history_test);

}  // namespace tallyfold::tests
