#include "tallyfold/plane/poison/crash_table.hpp"

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace poison;
using std::chrono::milliseconds;

class crash_table_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(crash_table_test);
    CPPUNIT_TEST(crashes_are_known_by_content);
    CPPUNIT_TEST(content_is_forgotten_after_its_lifetime);
    CPPUNIT_TEST(released_content_begins_anew);
    CPPUNIT_TEST(contents_with_fewest_crashes_are_dropped_first);
    CPPUNIT_TEST(number_of_contents_is_bounded);
    CPPUNIT_TEST_SUITE_END();

    static constexpr instant start{std::chrono::seconds(9)};

    static crash make(int number) {
        const instant sent = start + milliseconds(10 * number);
        return {"b" + std::to_string(number), sent, sent + milliseconds(5)};
    }

    static void add_series(crash_table& table, content_key content, int from, int count) {
        for (int number = from; number < from + count; ++number) {
            table.record(content, make(number), start);
        }
    }

    void crashes_are_known_by_content() {
        crash_table table;
        CPPUNIT_ASSERT(table.empty());
        add_series(table, 1, 0, 3);
        add_series(table, 2, 0, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, table.consecutive(1, start));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.consecutive(2, start));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, table.consecutive(3, start));
        std::vector<content_key> told;
        table.for_each(2,
                       [&](content_key content, const crash_history&) { told.push_back(content); });
        CPPUNIT_ASSERT(told == std::vector<content_key>{1});
    }

    void content_is_forgotten_after_its_lifetime() {
        crash_table table;
        add_series(table, 1, 0, 3);
        const instant end = start + crash_table::lifetime + milliseconds(25);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, table.consecutive(1, end));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, table.consecutive(1, end + milliseconds(1)));
        // A crash after that begins a new series, also before expire().
        CPPUNIT_ASSERT(table.record(1, {"b", end, end + milliseconds(1)}, end + milliseconds(1)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.consecutive(1, end + milliseconds(1)));
        table.expire(end + crash_table::lifetime + milliseconds(2));
        CPPUNIT_ASSERT(table.empty());
        CPPUNIT_ASSERT(!table.record(1, make(0), end + crash_table::lifetime));
        CPPUNIT_ASSERT(table.empty());
    }

    void released_content_begins_anew() {
        crash_table table;
        add_series(table, 1, 0, 2);
        CPPUNIT_ASSERT(table.release(1));
        CPPUNIT_ASSERT(!table.release(1));
        add_series(table, 1, 2, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.consecutive(1, start));
    }

    void contents_with_fewest_crashes_are_dropped_first() {
        crash_table table;
        add_series(table, 1, 0, 3);
        add_series(table, 2, 0, 2);
        for (content_key content = 10; content < 10 + crash_table::max_contents; ++content) {
            add_series(table, content, 5, 1);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, table.consecutive(1, start));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, table.consecutive(2, start));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, table.consecutive(10, start));
    }

    void number_of_contents_is_bounded() {
        crash_table table;
        for (content_key content = 0; content < 3 * crash_table::max_contents; ++content) {
            add_series(table, content, static_cast<int>(content % 100),
                       static_cast<int>(content % 4) + 1);
            CPPUNIT_ASSERT(table.size() <= crash_table::max_contents);
        }
        std::size_t listed = 0;
        table.for_each(0, [&](content_key, const crash_history&) { ++listed; });
        CPPUNIT_ASSERT_EQUAL(crash_table::max_contents, listed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crash_table_test);

}  // namespace tallyfold::tests
