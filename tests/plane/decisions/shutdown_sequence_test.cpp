#include "tallyfold/plane/decisions/shutdown_sequence.hpp"

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace forwarding;

class shutdown_sequence_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(shutdown_sequence_test);
    CPPUNIT_TEST(requests_are_accepted_until_the_platform_has_seen_the_stop);
    CPPUNIT_TEST(the_last_accepted_request_can_end_before_the_cut_off);
    CPPUNIT_TEST(a_configuration_applied_during_the_stop_counts);
    CPPUNIT_TEST(it_finishes_as_soon_as_no_work_is_pending);
    CPPUNIT_TEST(unfinished_work_is_cut_off_before_the_kill);
    CPPUNIT_TEST(work_that_the_cut_off_leaves_ends_before_the_exit);
    CPPUNIT_TEST(the_process_exits_before_the_kill);
    CPPUNIT_TEST(pending_work_is_cut_off_even_if_the_loop_was_late);
    CPPUNIT_TEST(the_listener_closes_before_the_sequence_finishes);
    CPPUNIT_TEST_SUITE_END();

    static constexpr instant requested_at{std::chrono::seconds(100)};
    static constexpr duration grace = std::chrono::seconds(8);
    static constexpr duration longest_request = std::chrono::seconds(4);
    static constexpr duration tick = std::chrono::milliseconds(50);
    static constexpr remaining_work pending_work{3, 1};

    void requests_are_accepted_until_the_platform_has_seen_the_stop() {
        shutdown_sequence stop(requested_at, grace, longest_request);
        CPPUNIT_ASSERT(stop.next(requested_at, {}) == shutdown_step::wait);
        CPPUNIT_ASSERT(stop.next(requested_at + shutdown_sequence::min_accept_time - tick, {}) ==
                       shutdown_step::wait);
        CPPUNIT_ASSERT(stop.accepts_requests());
        CPPUNIT_ASSERT(stop.next(requested_at + shutdown_sequence::max_accept_time, pending_work) ==
                       shutdown_step::stop_accepting);
        CPPUNIT_ASSERT(!stop.accepts_requests());
    }

    void the_last_accepted_request_can_end_before_the_cut_off() {
        shutdown_sequence stop(requested_at, grace, longest_request);
        instant now = requested_at;
        while (stop.accepts_requests()) {
            now += tick;
            stop.next(now, pending_work);
        }
        // A request that was read last has its whole time before the cut-off.
        CPPUNIT_ASSERT(stop.next(now + longest_request - tick, pending_work) ==
                       shutdown_step::wait);
    }

    void a_configuration_applied_during_the_stop_counts() {
        constexpr duration short_request = std::chrono::seconds(1);
        const instant before_end = requested_at + shutdown_sequence::max_accept_time - tick;
        shutdown_sequence longer(requested_at, grace, short_request);
        longer.set_longest_request(std::chrono::seconds(6));
        CPPUNIT_ASSERT(longer.next(requested_at + shutdown_sequence::min_accept_time - tick, {}) ==
                       shutdown_step::wait);
        CPPUNIT_ASSERT(longer.next(requested_at + shutdown_sequence::min_accept_time, {}) ==
                       shutdown_step::stop_accepting);
        shutdown_sequence shorter(requested_at, grace, std::chrono::seconds(6));
        shorter.set_longest_request(short_request);
        CPPUNIT_ASSERT(shorter.next(before_end, {}) == shutdown_step::wait);
        CPPUNIT_ASSERT(shorter.next(before_end + tick, {}) == shutdown_step::stop_accepting);
    }

    void it_finishes_as_soon_as_no_work_is_pending() {
        shutdown_sequence stop(requested_at, grace, longest_request);
        stop.next(requested_at + shutdown_sequence::max_accept_time, pending_work);
        CPPUNIT_ASSERT(stop.next(requested_at + std::chrono::seconds(4), {0, 1}) ==
                       shutdown_step::wait);
        CPPUNIT_ASSERT(stop.next(requested_at + std::chrono::seconds(5), {}) ==
                       shutdown_step::finish);
        CPPUNIT_ASSERT(stop.next(requested_at + std::chrono::seconds(6), {}) ==
                       shutdown_step::wait);
    }

    void unfinished_work_is_cut_off_before_the_kill() {
        shutdown_sequence stop(requested_at, grace, longest_request);
        stop.next(requested_at + shutdown_sequence::max_accept_time, pending_work);
        const instant kill = requested_at + grace;
        CPPUNIT_ASSERT(stop.next(kill - shutdown_sequence::reserve_before_kill - tick,
                                 pending_work) == shutdown_step::wait);
        CPPUNIT_ASSERT(stop.next(kill - shutdown_sequence::reserve_before_kill, pending_work) ==
                       shutdown_step::cut_off);
    }

    void work_that_the_cut_off_leaves_ends_before_the_exit() {
        shutdown_sequence stop(requested_at, grace, longest_request);
        stop.next(requested_at + shutdown_sequence::max_accept_time, pending_work);
        const instant kill = requested_at + grace;
        const instant cut_off_at = kill - shutdown_sequence::reserve_before_kill;
        CPPUNIT_ASSERT(stop.next(cut_off_at, pending_work) == shutdown_step::cut_off);
        // Answers that are still being written, and ends of turns.
        CPPUNIT_ASSERT(stop.next(cut_off_at + tick, {1, 0}) == shutdown_step::wait);
        CPPUNIT_ASSERT(stop.next(cut_off_at + 2 * tick, {0, 1}) == shutdown_step::wait);
        CPPUNIT_ASSERT(stop.next(cut_off_at + 3 * tick, {}) == shutdown_step::finish);
    }

    void the_process_exits_before_the_kill() {
        shutdown_sequence stop(requested_at, grace, longest_request);
        stop.next(requested_at + shutdown_sequence::max_accept_time, pending_work);
        const instant kill = requested_at + grace;
        CPPUNIT_ASSERT(stop.next(kill - shutdown_sequence::reserve_before_kill, pending_work) ==
                       shutdown_step::cut_off);
        CPPUNIT_ASSERT(stop.next(kill - shutdown_sequence::reserve_for_exit - tick, pending_work) ==
                       shutdown_step::wait);
        CPPUNIT_ASSERT(stop.next(kill - shutdown_sequence::reserve_for_exit, pending_work) ==
                       shutdown_step::finish);
    }

    void pending_work_is_cut_off_even_if_the_loop_was_late() {
        shutdown_sequence stop(requested_at, grace, longest_request);
        stop.next(requested_at + shutdown_sequence::max_accept_time, pending_work);
        CPPUNIT_ASSERT(stop.next(requested_at + grace, pending_work) == shutdown_step::cut_off);
        CPPUNIT_ASSERT(stop.next(requested_at + grace + tick, pending_work) ==
                       shutdown_step::finish);
    }

    void the_listener_closes_before_the_sequence_finishes() {
        check_property("the listener closes before the sequence finishes",
                       [](std::uint16_t grace_ms, std::uint16_t longest_ms) {
                           shutdown_sequence stop(requested_at, std::chrono::milliseconds(grace_ms),
                                                  std::chrono::milliseconds(longest_ms));
                           bool listener_closed = false;
                           for (instant now = requested_at;
                                now < requested_at + std::chrono::seconds(80); now += tick) {
                               const shutdown_step step = stop.next(now, pending_work);
                               RC_ASSERT(step != shutdown_step::finish || listener_closed);
                               listener_closed =
                                   listener_closed || step == shutdown_step::stop_accepting;
                               if (step == shutdown_step::finish) {
                                   return;
                               }
                           }
                           RC_FAIL("the stop sequence did not finish");
                       });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(shutdown_sequence_test);

}  // namespace tallyfold::tests
