#include "tallyfold/plane/poison/answered_contents.hpp"

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace poison;
using std::chrono::milliseconds;

class answered_contents_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(answered_contents_test);
    CPPUNIT_TEST(answer_is_known_for_its_window);
    CPPUNIT_TEST(later_answer_renews_the_window);
    CPPUNIT_TEST(number_of_answers_is_bounded);
    CPPUNIT_TEST_SUITE_END();

    static constexpr instant start{std::chrono::seconds(9)};

    void answer_is_known_for_its_window() {
        answered_contents answered;
        CPPUNIT_ASSERT(!answered.contains(1, start));
        answered.record(1, start);
        CPPUNIT_ASSERT(answered.contains(1, start + answered_contents::window));
        CPPUNIT_ASSERT(!answered.contains(2, start));
        const instant after = start + answered_contents::window + milliseconds(1);
        CPPUNIT_ASSERT(!answered.contains(1, after));
        answered.record(2, after);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answered.size());
    }

    void later_answer_renews_the_window() {
        answered_contents answered;
        answered.record(1, start);
        answered.record(1, start + milliseconds(3'000));
        answered.record(2, start + milliseconds(6'000));
        CPPUNIT_ASSERT(answered.contains(1, start + milliseconds(8'000)));
        CPPUNIT_ASSERT(!answered.contains(1, start + milliseconds(8'001)));
    }

    void number_of_answers_is_bounded() {
        answered_contents answered;
        for (content_key content = 0; content < 2 * answered_contents::max_answers; ++content) {
            answered.record(content, start);
            CPPUNIT_ASSERT(answered.size() <= answered_contents::max_answers);
        }
        CPPUNIT_ASSERT(!answered.contains(0, start));
        CPPUNIT_ASSERT(answered.contains(2 * answered_contents::max_answers - 1, start));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(answered_contents_test);

}  // namespace tallyfold::tests
