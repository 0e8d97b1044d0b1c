#include "tallyfold/plane/forwarding/stream_pace.hpp"

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace forwarding;

class stream_pace_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(stream_pace_test);
    CPPUNIT_TEST(time_to_first_event_is_not_a_gap);
    CPPUNIT_TEST(short_stream_does_not_change_the_idle_gap);
    CPPUNIT_TEST_SUITE_END();

    static instant at(int milliseconds) { return instant(std::chrono::milliseconds(milliseconds)); }

    void time_to_first_event_is_not_a_gap() {
        scheduling::engine_pace pace;
        stream_pace stream;
        stream.record_events(pace, "e", 1, at(900));
        CPPUNIT_ASSERT_EQUAL(0.0, pace.gap_ms("e", at(900)));
        // Two events in one piece split the gap before it.
        stream.record_events(pace, "e", 3, at(960));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(30, pace.gap_ms("e", at(960)), 0.001);
        stream.record_call_end(pace, at(400), at(960));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(30, pace.idle_gap_ms(), 0.001);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(560, pace.call_ms(), 0.001);
    }

    void short_stream_does_not_change_the_idle_gap() {
        scheduling::engine_pace pace;
        stream_pace stream;
        stream.record_events(pace, "e", 1, at(100));
        stream.record_events(pace, "e", 2, at(105));
        stream.record_call_end(pace, at(0), at(105));
        CPPUNIT_ASSERT_EQUAL(0.0, pace.idle_gap_ms());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stream_pace_test);

}  // namespace tallyfold::tests
