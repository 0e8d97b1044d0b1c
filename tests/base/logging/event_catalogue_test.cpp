#include "tallyfold/base/logging/event_catalogue.hpp"

#include <fstream>
#include <iterator>

#include "tests/support/source_root.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

class event_catalogue_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(event_catalogue_test);
    CPPUNIT_TEST(numbers_grow_and_every_event_is_documented);
    CPPUNIT_TEST_SUITE_END();

    void numbers_grow_and_every_event_is_documented() {
        std::ifstream file(source_root() + "/docs/EVENTS.md");
        const std::string page((std::istreambuf_iterator<char>(file)), {});
        int last = 0;
        for (const logging::event_entry& entry : logging::event_catalogue()) {
            const int number = static_cast<int>(entry.id);
            CPPUNIT_ASSERT(number > last);
            last = number;
            const std::string row =
                "| " + std::to_string(number) + " | " + std::string(entry.name) + " |";
            CPPUNIT_ASSERT_MESSAGE(row, page.find(row) != std::string::npos);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(event_catalogue_test);

}  // namespace tallyfold::tests
