/// @file
/// Guards against records of streams' origins that contradict each other, expire early, or grow
/// without bound.

#include "tallyfold/plane/streams/origin_table.hpp"

#include <rapidcheck.h>

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace streams;
using std::chrono::milliseconds;
using std::chrono::seconds;

class origin_table_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(origin_table_test);
    CPPUNIT_TEST(stream_is_known_until_its_lifetime_ends);
    CPPUNIT_TEST(repeated_record_extends_the_lifetime);
    CPPUNIT_TEST(origins_do_not_depend_on_the_order_of_the_records);
    CPPUNIT_TEST(streams_that_expire_first_make_room);
    CPPUNIT_TEST(stated_lifetime_is_bounded);
    CPPUNIT_TEST_SUITE_END();

    static constexpr instant start{seconds(100)};

    static origin_record record_of(const stream_id& stream, const std::string& version,
                                   std::uint32_t lifetime_ms = 4'000) {
        return {stream, {"engines", version}, lifetime_ms};
    }

    void stream_is_known_until_its_lifetime_ends() {
        origin_table table;
        table.record(record_of("a", "v1"), start);
        const std::vector<stream_origin> expected{{"engines", "v1"}};
        CPPUNIT_ASSERT(table.find("a", start + milliseconds(3'999)) == expected);
        CPPUNIT_ASSERT(table.find("a", start + milliseconds(4'000)).empty());
        CPPUNIT_ASSERT(table.find("b", start).empty());
        table.record(record_of("b", "v1"), start + seconds(5));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.size());
    }

    void repeated_record_extends_the_lifetime() {
        origin_table table;
        table.record(record_of("a", "v1"), start);
        table.record(record_of("a", "v1", 100), start + milliseconds(100));
        CPPUNIT_ASSERT(!table.find("a", start + milliseconds(3'900)).empty());
        table.record(record_of("a", "v1"), start + seconds(3));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.find("a", start + seconds(6)).size());
    }

    void origins_do_not_depend_on_the_order_of_the_records() {
        rc::check([] {
            const auto versions = *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 3));
            origin_table table;
            origin_table reversed;
            for (std::size_t position = 0; position < versions.size(); ++position) {
                const int version = versions[position];
                const int opposite = versions[versions.size() - 1 - position];
                table.record(record_of("a", "v" + std::to_string(version)), start);
                reversed.record(record_of("a", "v" + std::to_string(opposite)), start);
            }
            const std::set<int> distinct(versions.begin(), versions.end());
            RC_ASSERT(table.find("a", start).size() == distinct.size());
            RC_ASSERT(table.find("a", start) == reversed.find("a", start));
        });
    }

    void streams_that_expire_first_make_room() {
        origin_table table;
        table.record(record_of("long", "v1", 60'000), start);
        for (std::size_t number = 0; number < origin_table::max_streams + 10; ++number) {
            table.record(record_of(std::to_string(number), "v1"), start + milliseconds(1));
        }
        CPPUNIT_ASSERT_EQUAL(origin_table::max_streams, table.size());
        CPPUNIT_ASSERT(!table.find("long", start + seconds(1)).empty());
        CPPUNIT_ASSERT(table.find("0", start + seconds(1)).empty());
    }

    void stated_lifetime_is_bounded() {
        origin_table table;
        table.record(record_of("a", "v1", UINT32_MAX), start);
        CPPUNIT_ASSERT(table.find("a", start + origin_table::max_lifetime).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(origin_table_test);

}  // namespace tallyfold::tests
