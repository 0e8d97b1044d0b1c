#include "stand_ins/backend_protocol.hpp"

#include "tallyfold/program_api/scheduler/backend_http_codec.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace scheduler;
using namespace stand_ins;

class backend_protocol_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(backend_protocol_test);
    CPPUNIT_TEST(orders_round_trip);
    CPPUNIT_TEST(attempt_keys_round_trip);
    CPPUNIT_TEST(any_bytes_are_refused);
    CPPUNIT_TEST_SUITE_END();

    static const attempt_key& key() {
        static const attempt_key made{"p1.2", 3, 4};
        return made;
    }

    static backend_order again(const backend_order& order) {
        const backend_http_request request = render_order(order);
        const auto parsed = parse_order(request.method, request.path, {}, request.body);
        CPPUNIT_ASSERT_MESSAGE(parsed ? "" : parsed.error().reason, parsed.has_value());
        return *parsed;
    }

    void orders_round_trip() {
        start_stream start;
        start.key = key();
        start.fence = {5, 6};
        start.model = "m";
        start.prompt = std::make_shared<const std::vector<journal::message>>(
            std::vector<journal::message>{{"user", "caf\xc3\xa9 \"x\"", 7}});
        start.prefix = {"a", "b"};
        start.max_tokens = 8;
        start.priority = -2;
        start.not_after = 123456789;
        const auto read = std::get<start_stream>(again(start));
        CPPUNIT_ASSERT(read.key == start.key);
        CPPUNIT_ASSERT(*read.prompt == *start.prompt);
        CPPUNIT_ASSERT(read.prefix == start.prefix);
        CPPUNIT_ASSERT_EQUAL(start.not_after, read.not_after);
        CPPUNIT_ASSERT_EQUAL(start.fence.epoch, read.fence.epoch);
        run_request run;
        run.key = key();
        run.operation = "quote";
        run.argument = "{\"clip\":1}";
        run.repeatable = false;
        run.not_after = 9;
        const auto request = std::get<run_request>(again(run));
        CPPUNIT_ASSERT_EQUAL(run.argument, request.argument);
        CPPUNIT_ASSERT(!request.repeatable);
        CPPUNIT_ASSERT_EQUAL(run.not_after, request.not_after);
        CPPUNIT_ASSERT(render_order(run).fresh_connection);
    }

    void attempt_keys_round_trip() {
        check_property("program/sequence/attempt",
                       [](std::uint32_t sequence, std::uint32_t attempt) {
                           const attempt_key made{"p.a.b", sequence, attempt};
                           RC_ASSERT(parse_attempt_key(made.text()) == made);
                       });
        for (const std::string text : {"", "/", "//", "a/1", "a/b/1", "a/1/-1", "/1/1"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !parse_attempt_key(text).has_value());
        }
    }

    void any_bytes_are_refused() {
        check_property("no input crashes a reader", [] {
            const std::string noise = *any_bytes();
            for (const std::string path : {"/v1/streams", "/v1/streams/resume", "/v1/requests",
                                           "/v1/cache/release", "/v1/nothing"}) {
                RC_ASSERT(!parse_order("POST", path, noise, noise).has_value());
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(backend_protocol_test);

}  // namespace tallyfold::tests
