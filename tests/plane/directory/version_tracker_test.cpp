#include "tallyfold/plane/directory/version_tracker.hpp"

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace directory;

class version_tracker_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(version_tracker_test);
    CPPUNIT_TEST(a_change_is_told_once_the_last_node_has_it);
    CPPUNIT_TEST(a_silent_node_isnt_waited_for);
    CPPUNIT_TEST_SUITE_END();

    instant now_{std::chrono::seconds(1)};

    void a_change_is_told_once_the_last_node_has_it() {
        version_tracker board;
        board.holds(3, now_);
        board.reported("a", 3, now_);
        board.reported("b", 2, now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, board.behind());
        CPPUNIT_ASSERT(!board.check(now_).has_value());
        now_ += std::chrono::milliseconds(700);
        board.reported("b", 3, now_);
        const auto spread = board.check(now_);
        CPPUNIT_ASSERT(spread.has_value());
        CPPUNIT_ASSERT_EQUAL(routing::configuration_version{3}, spread->version);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, spread->nodes);
        CPPUNIT_ASSERT(spread->took == std::chrono::milliseconds(700));
        CPPUNIT_ASSERT(!board.check(now_).has_value());
    }

    void a_silent_node_isnt_waited_for() {
        version_tracker board;
        board.reported("gone", 2, now_);
        board.holds(3, now_);
        now_ += std::chrono::seconds(4);
        board.reported("a", 3, now_);
        const auto spread = board.check(now_);
        CPPUNIT_ASSERT(spread.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, spread->nodes);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, board.behind());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(version_tracker_test);

}  // namespace tallyfold::tests
