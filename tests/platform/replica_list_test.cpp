/// @file
/// Guards against an entry of the platform's list that makes the other entries unusable.

#include "platform/replica_list.hpp"

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using platform::replica_list;

class replica_list_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(replica_list_test);
    CPPUNIT_TEST(entry_with_invalid_field_costs_only_itself);
    CPPUNIT_TEST(unreadable_entry_costs_only_itself);
    CPPUNIT_TEST(truncated_entry_costs_only_itself);
    CPPUNIT_TEST(mutated_entry_leaves_the_others);
    CPPUNIT_TEST(arbitrary_bytes_in_place_of_an_entry_leave_the_others);
    CPPUNIT_TEST(page_without_end_is_rejected);
    CPPUNIT_TEST_SUITE_END();

    static std::string entry(const std::string& name) {
        return R"({"Service":"s","Address":"10.0.0.1:80","Zone":"z","Version":"v1","Slots":6,)"
               R"("State":"ready","ColdRemainingMs":0,"Stage":"both",)"
               R"("Models":[{"Name":"m","Version":1,"Adapters":[]}],"Id":")" +
               name + "\"}";
    }
    static std::string page(const std::string& middle) {
        return R"({"Instances":[)" + entry("first") + "," + middle + "," + entry("last") +
               R"(],"NextPageToken":"p-2"})";
    }
    static bool has_backend(const discovery::backend_page& page, const std::string& name) {
        return std::any_of(page.backends.begin(), page.backends.end(),
                           [&](const auto& backend) { return backend.member.name == name; });
    }
    /// True when the page has its first and last entry and its token.
    static bool is_whole_beside(const std::string& middle) {
        const auto read = replica_list().read_list(page(middle));
        return read.has_value() && has_backend(*read, "first") && has_backend(*read, "last") &&
               read->next_token == "p-2";
    }

    void entry_with_invalid_field_costs_only_itself() {
        for (const std::string middle :
             {R"({})", R"({"Id":"bad"})", R"({"Id":7,"Service":"s","Address":"10.0.0.1:80"})",
              R"({"Id":"bad","Service":["s"],"Address":"10.0.0.1:80"})", R"("text")", "7", "null",
              "[]"}) {
            const auto read = replica_list().read_list(page(middle));
            CPPUNIT_ASSERT_MESSAGE(middle, is_whole_beside(middle));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(middle, std::size_t{2}, read->backends.size());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(middle, std::size_t{1}, read->rejected.size());
        }
    }

    void unreadable_entry_costs_only_itself() {
        for (const std::string middle : {"{\"Id\":\"\xff\xfe\"}", "{\"Id\":", "}", "\"", "]", "{",
                                         "\x01\x02", "{\"Id\":\"bad\",,}", ""}) {
            CPPUNIT_ASSERT_MESSAGE(middle, is_whole_beside(middle));
            CPPUNIT_ASSERT(!has_backend(*replica_list().read_list(page(middle)), "bad"));
        }
    }

    void truncated_entry_costs_only_itself() {
        const std::string whole = entry("bad");
        for (std::size_t size = 0; size < whole.size(); ++size) {
            const std::string middle = whole.substr(0, size);
            CPPUNIT_ASSERT_MESSAGE(middle, is_whole_beside(middle));
        }
    }

    void mutated_entry_leaves_the_others() {
        check_property("an entry with changed bytes leaves the others as they were", [] {
            std::string middle = entry("bad");
            const auto changes = *rc::gen::inRange(1, 5);
            for (int count = 0; count < changes; ++count) {
                const auto at = *rc::gen::inRange<std::size_t>(0, middle.size());
                middle[at] = *rc::gen::arbitrary<char>();
            }
            RC_ASSERT(is_whole_beside(middle));
        });
    }

    void arbitrary_bytes_in_place_of_an_entry_leave_the_others() {
        check_property("bytes in place of an entry leave the others as they were",
                       [] { RC_ASSERT(is_whole_beside(*any_bytes())); });
    }

    void page_without_end_is_rejected() {
        const std::string whole = page(entry("middle"));
        CPPUNIT_ASSERT(replica_list().read_list(whole).has_value());
        for (const std::size_t cut : {1U, 5U, 20U, 400U}) {
            // Without its end, the page may lack entries and the token of the next page.
            const std::string part = whole.substr(0, whole.size() - cut);
            CPPUNIT_ASSERT(!replica_list().read_list(part).has_value());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(replica_list_test);

}  // namespace tallyfold::tests
