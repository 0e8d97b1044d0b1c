#include "tallyfold/scheduling/backend_pool.hpp"

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace scheduling;

class backend_pool_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(backend_pool_test);
    CPPUNIT_TEST(own_calls_are_added_to_a_lagging_report);
    CPPUNIT_TEST(a_shared_fault_does_not_empty_the_pool);
    CPPUNIT_TEST(a_partly_failing_back_end_is_ejected);
    CPPUNIT_TEST(rare_failures_do_not_eject);
    CPPUNIT_TEST(leaving_is_accepted_from_each_source);
    CPPUNIT_TEST(a_back_end_without_status_is_unavailable);
    CPPUNIT_TEST(the_clock_estimate_is_a_lower_bound);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t size = 6;

    static backend_pool pool() {
        backend_pool made;
        std::vector<backend_member> members(size);
        for (std::size_t index = 0; index < size; ++index) {
            members[index].name = "engine-" + std::to_string(index);
        }
        made.update(members);
        for (const backend_member& member : members) {
            made.add_clock_sample(member.name, duration(0));
        }
        return made;
    }

    void own_calls_are_added_to_a_lagging_report() {
        backend_pool engines = pool();
        engines.report("engine-0", {2, 1, 0, false});
        engines.started("engine-0", 100);
        CPPUNIT_ASSERT_EQUAL(4U, engines.find("engine-0")->outstanding());
        // The next report includes this node's call, which must not count twice.
        engines.report("engine-0", {3, 1, 0, false});
        CPPUNIT_ASSERT_EQUAL(4U, engines.find("engine-0")->outstanding());
        engines.finished("engine-0");
        CPPUNIT_ASSERT_EQUAL(3U, engines.find("engine-0")->outstanding());
    }

    void a_shared_fault_does_not_empty_the_pool() {
        backend_pool engines = pool();
        const instant now(std::chrono::seconds(5));
        for (int round = 0; round < 10; ++round) {
            for (std::size_t index = 0; index < size; ++index) {
                engines.failed("engine-" + std::to_string(index), now);
            }
        }
        CPPUNIT_ASSERT(engines.least_loaded(size, {}, false, now).size() >= size / 2);
        CPPUNIT_ASSERT(engines.least_loaded(size, {}, false, now).size() < size);
    }

    void a_partly_failing_back_end_is_ejected() {
        // Never three failures in a row, yet half of its calls fail.
        backend_pool engines = pool();
        const instant now(std::chrono::seconds(5));
        bool ejected = false;
        for (int round = 0; round < 6; ++round) {
            engines.failed("engine-0", now);
            engines.failed("engine-0", now);
            ejected = ejected || !engines.available(*engines.find("engine-0"), now);
            engines.succeeded("engine-0");
            engines.succeeded("engine-0");
        }
        CPPUNIT_ASSERT(ejected);
    }

    void rare_failures_do_not_eject() {
        backend_pool engines = pool();
        const instant now(std::chrono::seconds(5));
        for (int round = 0; round < 100; ++round) {
            engines.failed("engine-0", now);
            for (int good = 0; good < 9; ++good) {
                engines.succeeded("engine-0");
            }
            CPPUNIT_ASSERT(engines.available(*engines.find("engine-0"), now));
        }
    }

    void leaving_is_accepted_from_each_source() {
        const instant now(std::chrono::seconds(5));
        backend_pool engines = pool();
        engines.report("engine-1", {0, 0, 0, true});
        engines.set_drained("engine-2", true);
        CPPUNIT_ASSERT(!engines.available(*engines.find("engine-1"), now));
        CPPUNIT_ASSERT(!engines.available(*engines.find("engine-2"), now));
        CPPUNIT_ASSERT(engines.available(*engines.find("engine-3"), now));
    }

    void a_back_end_without_status_is_unavailable() {
        backend_pool engines;
        backend_member member;
        member.name = "new";
        engines.update({member});
        CPPUNIT_ASSERT(!engines.available(*engines.find("new"), instant{}));
        engines.add_clock_sample("new", duration(0));
        CPPUNIT_ASSERT(engines.available(*engines.find("new"), instant{}));
    }

    void the_clock_estimate_is_a_lower_bound() {
        check_property("a delayed answer only lowers the estimated difference", [] {
            backend_pool engines = pool();
            const std::int64_t ahead = 5'000'000;
            for (int count = 0; count < 10; ++count) {
                const std::int64_t delay = *rc::gen::inRange(0, 1'000'000);
                engines.add_clock_sample("engine-0", duration(ahead - delay));
            }
            RC_ASSERT(engines.find("engine-0")->clock_ahead()->count() <= ahead);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(backend_pool_test);

}  // namespace tallyfold::tests
