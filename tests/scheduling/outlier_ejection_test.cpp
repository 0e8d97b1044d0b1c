#include "tallyfold/scheduling/outlier_ejection.hpp"

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace scheduling;

class outlier_ejection_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(outlier_ejection_test);
    CPPUNIT_TEST(the_third_failure_in_a_row_ejects);
    CPPUNIT_TEST(a_failure_of_threshold_weight_ejects_at_once);
    CPPUNIT_TEST(no_ejection_while_the_pool_forbids_it);
    CPPUNIT_TEST(ejections_double_up_to_a_limit);
    CPPUNIT_TEST(recovery_resets_the_ejection_time);
    CPPUNIT_TEST_SUITE_END();

    static constexpr instant now{std::chrono::seconds(50)};

    /// Ejects the back end at `at`, whatever its score.
    static void eject(outlier_ejection& backend, instant at) {
        backend.failed(outlier_ejection::ejection_threshold, true, at);
    }

    void the_third_failure_in_a_row_ejects() {
        outlier_ejection backend;
        backend.failed(1, true, now);
        backend.failed(1, true, now);
        CPPUNIT_ASSERT(!backend.is_ejected(now));
        backend.failed(1, true, now);
        CPPUNIT_ASSERT(backend.is_ejected(now));
        CPPUNIT_ASSERT(!backend.is_ejected(now + outlier_ejection::base_ejection_time));
    }

    void a_failure_of_threshold_weight_ejects_at_once() {
        outlier_ejection backend;
        eject(backend, now);
        CPPUNIT_ASSERT(backend.is_ejected(now));
    }

    void no_ejection_while_the_pool_forbids_it() {
        outlier_ejection backend;
        for (int count = 0; count < 10; ++count) {
            backend.failed(1, false, now);
        }
        CPPUNIT_ASSERT(!backend.is_ejected(now));
    }

    void ejections_double_up_to_a_limit() {
        outlier_ejection backend;
        duration expected = outlier_ejection::base_ejection_time;
        instant at = now;
        for (std::uint32_t count = 0; count < outlier_ejection::max_doublings + 3; ++count) {
            eject(backend, at);
            CPPUNIT_ASSERT(backend.is_ejected(at + expected - duration(1)));
            CPPUNIT_ASSERT(!backend.is_ejected(at + expected));
            at += expected;
            expected *= count < outlier_ejection::max_doublings ? 2 : 1;
        }
    }

    void recovery_resets_the_ejection_time() {
        outlier_ejection backend;
        eject(backend, now);
        // From probation, six successes bring the score below recovered_score.
        for (int count = 0; count < 6; ++count) {
            backend.succeeded();
        }
        const instant later = now + std::chrono::seconds(10);
        eject(backend, later);
        CPPUNIT_ASSERT(!backend.is_ejected(later + outlier_ejection::base_ejection_time));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(outlier_ejection_test);

}  // namespace tallyfold::tests
