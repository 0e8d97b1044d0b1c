#include "tallyfold/listing/types.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace listing;

class list_memory_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(list_memory_test);
    CPPUNIT_TEST(an_older_sight_never_replaces_a_newer_one);
    CPPUNIT_TEST(a_list_that_is_held_travels_without_its_contents);
    CPPUNIT_TEST(a_fingerprint_without_contents_is_not_believed);
    CPPUNIT_TEST_SUITE_END();

    static instant at(int milliseconds) { return instant(std::chrono::milliseconds(milliseconds)); }
    static std::vector<listed_backend> list(bool leaving) {
        std::vector<listed_backend> backends(1);
        backends[0].service = "s";
        backends[0].member.name = "b";
        backends[0].member.leaving = leaving;
        return backends;
    }

    void an_older_sight_never_replaces_a_newer_one() {
        list_memory slow;
        slow.see(list(false), at(0));
        list_memory node;
        node.see(list(true), at(500));
        CPPUNIT_ASSERT(!node.learn(slow.tell(0, at(1000)).front(), at(1000)));
        CPPUNIT_ASSERT(node.backends().front().member.leaving);
        CPPUNIT_ASSERT(slow.learn(node.tell(slow.fingerprint(), at(1000)).front(), at(1000)));
        CPPUNIT_ASSERT(slow.backends().front().member.leaving);
        CPPUNIT_ASSERT(slow.seen() == at(500));
    }

    void a_list_that_is_held_travels_without_its_contents() {
        list_memory teller;
        teller.see(list(false), at(700));
        list_memory node;
        node.see(list(false), at(0));
        const list_sight sight = teller.tell(node.fingerprint(), at(1000)).front();
        CPPUNIT_ASSERT(sight.backends.empty());
        CPPUNIT_ASSERT(!node.learn(sight, at(1000)));
        CPPUNIT_ASSERT(node.seen() == at(700));
        CPPUNIT_ASSERT(list_memory{}.tell(0, at(0)).empty());
    }

    void a_fingerprint_without_contents_is_not_believed() {
        list_memory teller;
        teller.see(list(true), at(700));
        list_sight sight = teller.tell(teller.fingerprint(), at(1000)).front();
        list_memory node;
        node.see(list(false), at(0));
        CPPUNIT_ASSERT(!node.learn(sight, at(1000)));
        CPPUNIT_ASSERT(!node.backends().front().member.leaving);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(list_memory_test);

}  // namespace tallyfold::tests
