#include "tallyfold/plane/directory/open_changes.hpp"

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace directory;

class open_changes_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(open_changes_test);
    CPPUNIT_TEST(retry_finds_the_original_change);
    CPPUNIT_TEST(removed_change_is_not_found);
    CPPUNIT_TEST_SUITE_END();

    void retry_finds_the_original_change() {
        open_changes changes;
        changes.add(1, "version 7, one content");
        changes.add(2, "version 7, another content");
        CPPUNIT_ASSERT(changes.find("version 7, another content") == request_token{2});
        CPPUNIT_ASSERT(!changes.find("version 8").has_value());
    }

    void removed_change_is_not_found() {
        open_changes changes;
        changes.add(1, "a");
        changes.add(2, "b");
        changes.remove(1);
        CPPUNIT_ASSERT(!changes.find("a").has_value());
        changes.clear();
        CPPUNIT_ASSERT(!changes.find("b").has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(open_changes_test);

}  // namespace tallyfold::tests
