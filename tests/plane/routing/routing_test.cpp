#include "tallyfold/plane/routing/route_table.hpp"
#include "tallyfold/plane/routing/validation.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace routing;

class routing_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(routing_test);
    CPPUNIT_TEST(the_longest_prefix_of_the_host_wins);
    CPPUNIT_TEST(shares_match_weights_over_short_periods);
    CPPUNIT_TEST(each_kind_of_invalid_configuration_is_refused);
    CPPUNIT_TEST_SUITE_END();

    static route make_route(const std::string& name, const std::string& prefix) {
        route made;
        made.name = name;
        made.host = "h.example";
        made.prefix = prefix;
        made.services = {{"s", 1}};
        made.timeout_ms = 1000;
        return made;
    }
    static configuration make() {
        configuration made;
        made.version = 1;
        made.services = {{"s", "/health", 10, false, 0, 0, 1},
                         {"t", "/health", 10, false, 0, 0, 1}};
        made.routes = {make_route("short", "/a/"), make_route("long", "/a/b/")};
        return made;
    }

    void the_longest_prefix_of_the_host_wins() {
        const route_table table(make());
        CPPUNIT_ASSERT_EQUAL(std::string("long"), table.find("h.example", "/a/b/c")->name);
        CPPUNIT_ASSERT_EQUAL(std::string("short"), table.find("h.example:80", "/a/bc")->name);
        CPPUNIT_ASSERT(table.find("h.example", "/b/") == nullptr);
        CPPUNIT_ASSERT(table.find("other.example", "/a/b/c") == nullptr);
        CPPUNIT_ASSERT(table.find("h.example", "") == nullptr);
    }

    void shares_match_weights_over_short_periods() {
        route split = make_route("split", "/a/");
        split.services = {{"s", 90}, {"t", 10}};
        traffic_splitter splitter;
        int minor = 0;
        for (int count = 1; count <= 1000; ++count) {
            minor += splitter.choose(split) == "t" ? 1 : 0;
            CPPUNIT_ASSERT(std::abs(minor - count / 10) <= 1);
        }
        split.services = {{"s", 0}, {"t", 10}};
        CPPUNIT_ASSERT_EQUAL(std::string("t"), splitter.choose(split));
    }

    void each_kind_of_invalid_configuration_is_refused() {
        CPPUNIT_ASSERT(validate(make()).has_value());
        configuration unknown_service = make();
        unknown_service.routes[0].services = {{"nobody", 1}};
        CPPUNIT_ASSERT(!validate(unknown_service).has_value());
        configuration duplicate_prefix = make();
        duplicate_prefix.routes[1].prefix = "/a/";
        CPPUNIT_ASSERT(!validate(duplicate_prefix).has_value());
        configuration no_weight = make();
        no_weight.routes[0].services = {{"s", 0}, {"t", 0}};
        CPPUNIT_ASSERT(!validate(no_weight).has_value());
        configuration no_timeout = make();
        no_timeout.routes[0].timeout_ms = 0;
        CPPUNIT_ASSERT(!validate(no_timeout).has_value());
        configuration no_service = make();
        no_service.routes[0].services.clear();
        CPPUNIT_ASSERT(!validate(no_service).has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(routing_test);

}  // namespace tallyfold::tests
