#include "tallyfold/scheduling/call_queue.hpp"

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace scheduling;

class call_queue_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(call_queue_test);
    CPPUNIT_TEST(higher_priority_goes_first);
    CPPUNIT_TEST(no_call_starves);
    CPPUNIT_TEST(tenants_share_by_weight);
    CPPUNIT_TEST(every_call_leaves_once);
    CPPUNIT_TEST_SUITE_END();

    static queued_call call(ticket id, const std::string& tenant, std::int32_t priority,
                            double rank) {
        queued_call made;
        made.id = id;
        made.tenant = tenant;
        made.priority = priority;
        made.rank = rank;
        made.arrived = instant(duration(static_cast<std::int64_t>(id)));
        return made;
    }

    void higher_priority_goes_first() {
        call_queue queue;
        queue.push(call(1, "a", 0, 0));
        queue.push(call(2, "b", 5, 9));
        queue.push(call(3, "b", 5, 1));
        CPPUNIT_ASSERT((queue.next(3) == std::vector<ticket>{3, 2, 1}));
    }

    void no_call_starves() {
        // A call of low priority is served within the bound despite a constant stream of higher
        // priority.
        call_queue queue;
        queue.push(call(1, "low", 0, 1e9));
        ticket next = 2;
        std::uint64_t served = 0;
        for (; served <= call_queue::oldest_first_interval; ++served) {
            queue.push(call(next, "high", 10, 0));
            ++next;
            const ticket first = queue.next(1).front();
            queue.take(first);
            if (first == 1) {
                break;
            }
        }
        CPPUNIT_ASSERT(served <= call_queue::oldest_first_interval);
    }

    void tenants_share_by_weight() {
        call_queue queue;
        for (ticket id = 1; id <= 400; ++id) {
            queued_call added = call(id, id % 2 == 0 ? "heavy" : "light", 0, 0);
            added.tenant_weight = id % 2 == 0 ? 3.0 : 1.0;
            added.cost = 10;
            queue.push(added);
        }
        for (int count = 0; count < 160; ++count) {
            queue.take(queue.next(1).front());
        }
        const std::size_t heavy = 200 - queue.waiting_of("heavy");
        const std::size_t light = 200 - queue.waiting_of("light");
        CPPUNIT_ASSERT(heavy > 2 * light);
        CPPUNIT_ASSERT(light > 0);
    }

    void every_call_leaves_once() {
        check_property("push, take and remove in any order", [] {
            call_queue queue;
            std::set<ticket> inside;
            ticket next = 1;
            for (const int action : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3))) {
                if (action == 0 || inside.empty()) {
                    queue.push(call(next, *rc::gen::element<std::string>("a", "b"),
                                    *rc::gen::inRange(0, 3), *rc::gen::inRange(0, 5)));
                    inside.insert(next++);
                } else if (action == 1) {
                    const ticket taken = queue.next(1).front();
                    RC_ASSERT(inside.erase(taken) == 1);
                    queue.take(taken);
                } else {
                    const ticket gone = *inside.begin();
                    inside.erase(gone);
                    queue.remove(gone);
                }
                RC_ASSERT(queue.size() == inside.size());
                RC_ASSERT(queue.next(inside.size() + 1).size() == inside.size());
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(call_queue_test);

}  // namespace tallyfold::tests
