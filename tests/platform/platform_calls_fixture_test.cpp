/// @file
/// Pins the platform's wire format of callers' requests, of calls to replicas and their answers,
/// and of operators' calls and their answers, which must stay compatible.

#include "platform/operator_calls.hpp"
#include "platform/replica_calls.hpp"
#include "tallyfold/plane/http/endpoint_messages.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace platform;
using std::chrono::milliseconds;

class platform_calls_fixture_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(platform_calls_fixture_test);
    CPPUNIT_TEST(request_headers_are_parsed);
    CPPUNIT_TEST(request_without_headers_has_defaults);
    CPPUNIT_TEST(engine_request_headers_match_the_wire_format);
    CPPUNIT_TEST(app_request_headers_match_the_wire_format);
    CPPUNIT_TEST(resumed_stream_replaces_last_event_id);
    CPPUNIT_TEST(urgency_and_time_left_are_clamped);
    CPPUNIT_TEST(response_headers_are_parsed);
    CPPUNIT_TEST(operator_calls_are_parsed);
    CPPUNIT_TEST(unknown_operator_calls_are_rejected);
    CPPUNIT_TEST(operator_responses_match_the_wire_format);
    CPPUNIT_TEST(operator_errors_match_the_wire_format);
    CPPUNIT_TEST_SUITE_END();

    static http::message_head caller_head() {
        http::message_head head;
        head.headers.add("X-Request-Id", "request-1");
        head.headers.add("X-Deadline-Ms", "4001");
        head.headers.add("X-Program-Id", "program-2");
        head.headers.add("X-Program-Deadline-Ms", "-73");
        head.headers.add("X-Token-Budget", "90004");
        head.headers.add("X-Token-Usage", "1465,86");
        head.headers.add("X-Previous-Turn", "turn-7");
        head.headers.add("X-Credential", "key-8");
        head.headers.add("Cookie", "a=1; X-Affinity-Key=object-9; b=2");
        head.headers.add("X-Prefix-Hash", "5c1e07a2:800,91bd3f06:410");
        return head;
    }

    void request_headers_are_parsed() {
        const forwarding::request_metadata facts = replica_calls().read_request(caller_head());
        CPPUNIT_ASSERT_EQUAL(std::string("request-1"), facts.request);
        CPPUNIT_ASSERT(facts.caller_timeout == duration(milliseconds(4001)));
        CPPUNIT_ASSERT_EQUAL(std::string("program-2"), facts.program);
        CPPUNIT_ASSERT(facts.program_time_left == duration(milliseconds(-73)));
        CPPUNIT_ASSERT_EQUAL(token_count{90004}, facts.budget);
        CPPUNIT_ASSERT_EQUAL(token_count{1465}, facts.prompt_tokens);
        CPPUNIT_ASSERT_EQUAL(token_count{86}, facts.max_tokens);
        CPPUNIT_ASSERT_EQUAL(std::string("turn-7"), facts.previous_turn);
        CPPUNIT_ASSERT_EQUAL(std::string("key-8"), facts.credential);
        CPPUNIT_ASSERT_EQUAL(std::string("object-9"), facts.object);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, facts.prompt.size());
        // Nodes exchange these hashes, so builds must agree on them.
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0xd0fe2cf629f58688}, facts.prompt[0].hash);
        CPPUNIT_ASSERT_EQUAL(token_count{800}, facts.prompt[0].tokens);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0x79ffa7d06f908bf5}, facts.prompt[1].hash);
        CPPUNIT_ASSERT_EQUAL(token_count{1210}, facts.prompt[1].tokens);
    }

    void request_without_headers_has_defaults() {
        const forwarding::request_metadata facts = replica_calls().read_request({});
        CPPUNIT_ASSERT(facts.request.empty() && facts.program.empty());
        CPPUNIT_ASSERT(!facts.caller_timeout && !facts.program_time_left);
        CPPUNIT_ASSERT_EQUAL(token_count{0}, facts.budget);
        CPPUNIT_ASSERT_EQUAL(token_count{0}, facts.prompt_tokens);
        CPPUNIT_ASSERT_EQUAL(token_count{0}, facts.max_tokens);
        CPPUNIT_ASSERT(facts.previous_turn.empty() && facts.credential.empty());
        CPPUNIT_ASSERT(facts.object.empty() && facts.prompt.empty());
    }

    /// Header fields of the request to a back end, one a line.
    static std::string rendered_backend_headers(const http::message_head& head,
                                                const forwarding::attempt_headers& marks) {
        std::string text;
        const http::header_list fields = replica_calls().backend_headers(head, marks);
        for (const http::header_field& field : fields.fields()) {
            text += field.name + ": " + field.value + "\n";
        }
        return text;
    }

    static forwarding::attempt_headers engine_marks() {
        forwarding::attempt_headers marks;
        marks.time_left = milliseconds(1501);
        marks.incarnation = "instance-3";
        marks.urgency = 4;
        marks.is_engine = true;
        marks.tenant = "tenant-5";
        return marks;
    }

    static http::message_head head_with_forged_system_headers() {
        http::message_head head = caller_head();
        for (const char* name :
             {"X-Expected-Instance", "X-Expected-Version", "X-Request-Priority", "X-Tenant-Id",
              "X-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From", "Kv-Fetch", "Content-Length",
              "Expect", "Connection", "Keep-Alive", "Transfer-Encoding"}) {
            head.headers.add(name, "from caller");
        }
        head.headers.add("Last-Event-Id", "10");
        head.headers.add("X-Other", "kept");
        return head;
    }

    void engine_request_headers_match_the_wire_format() {
        CPPUNIT_ASSERT_EQUAL(
            std::string(R"(X-Request-Id: request-1
X-Program-Id: program-2
X-Program-Deadline-Ms: -73
X-Token-Budget: 90004
X-Token-Usage: 1465,86
X-Previous-Turn: turn-7
Cookie: a=1; X-Affinity-Key=object-9; b=2
X-Prefix-Hash: 5c1e07a2:800,91bd3f06:410
Last-Event-Id: 10
X-Other: kept
X-Deadline-Ms: 1501
X-Expected-Instance: instance-3
X-Tenant-Id: tenant-5
X-Request-Priority: 4
)"),
            rendered_backend_headers(head_with_forged_system_headers(), engine_marks()));
    }

    void app_request_headers_match_the_wire_format() {
        forwarding::attempt_headers marks;
        marks.time_left = milliseconds(1502);
        marks.incarnation = "instance-4";
        http::message_head head;
        head.headers.add("X-Request-Id", "request-2");
        CPPUNIT_ASSERT_EQUAL(std::string("X-Request-Id: request-2\n"
                                         "X-Deadline-Ms: 1502\n"
                                         "X-Expected-Instance: instance-4\n"),
                             rendered_backend_headers(head, marks));
    }

    void resumed_stream_replaces_last_event_id() {
        forwarding::attempt_headers marks = engine_marks();
        marks.last_event = "17";
        http::message_head head;
        head.headers.add("last-event-id", "10");
        CPPUNIT_ASSERT_EQUAL(std::string("X-Deadline-Ms: 1501\n"
                                         "X-Expected-Instance: instance-3\n"
                                         "X-Tenant-Id: tenant-5\n"
                                         "Last-Event-Id: 17\n"
                                         "X-Request-Priority: 4\n"),
                             rendered_backend_headers(head, marks));
    }

    static std::string headers_with_limits(duration time_left, std::int32_t urgency) {
        forwarding::attempt_headers marks;
        marks.time_left = time_left;
        marks.urgency = urgency;
        marks.is_engine = true;
        marks.incarnation = "i";
        return rendered_backend_headers({}, marks);
    }

    void urgency_and_time_left_are_clamped() {
        CPPUNIT_ASSERT_EQUAL(
            std::string("X-Deadline-Ms: 1\nX-Expected-Instance: i\nX-Request-Priority: 0\n"),
            headers_with_limits(milliseconds(-5), -1));
        CPPUNIT_ASSERT_EQUAL(
            std::string("X-Deadline-Ms: 2\nX-Expected-Instance: i\nX-Request-Priority: 9\n"),
            headers_with_limits(milliseconds(2), 10));
    }

    void response_headers_are_parsed() {
        http::message_head head;
        head.status = 200;
        const forwarding::answer_metadata bare = replica_calls().read_answer(head);
        CPPUNIT_ASSERT(bare.request.empty() && !bare.idle_timeout);
        CPPUNIT_ASSERT(!bare.is_signed && !bare.not_run && !bare.wrong_incarnation);
        head.headers.add("X-Request-Id", "request-6");
        head.headers.add("Keep-Alive", "max=9, timeout=5");
        CPPUNIT_ASSERT_EQUAL(std::string("request-6"), replica_calls().read_answer(head).request);
        CPPUNIT_ASSERT(replica_calls().read_answer(head).idle_timeout ==
                       duration(milliseconds(5000)));
        head.headers.add("X-Response-Signature", "s");
        CPPUNIT_ASSERT(replica_calls().read_answer(head).is_signed);
        CPPUNIT_ASSERT(!replica_calls().read_answer(head).not_run);
        head.headers.add("X-Not-Executed", "1");
        CPPUNIT_ASSERT(replica_calls().read_answer(head).not_run);
        CPPUNIT_ASSERT(!replica_calls().read_answer(head).wrong_incarnation);
        head.status = 421;
        CPPUNIT_ASSERT(replica_calls().read_answer(head).wrong_incarnation);
    }

    static directory::operator_call parsed(const std::string& method, const std::string& target,
                                           const std::string& body = {}) {
        return operator_calls().parse({method, target, body});
    }

    void operator_calls_are_parsed() {
        const std::string body = R"({"Version":7,"Routes":[],"Services":[]})";
        const auto replace = parsed("POST", "/v1/config/replace?x=1", body);
        CPPUNIT_ASSERT(std::holds_alternative<directory::replace_call>(replace));
        CPPUNIT_ASSERT_EQUAL(body, std::get<directory::replace_call>(replace).text);
        CPPUNIT_ASSERT_EQUAL(routing::configuration_version{7},
                             std::get<directory::replace_call>(replace).parsed.version);
        CPPUNIT_ASSERT(operator_calls().changes_configuration({"POST", "/v1/config/replace", ""}));
        CPPUNIT_ASSERT(!operator_calls().changes_configuration({"GET", "/v1/config/replace", ""}));
        CPPUNIT_ASSERT(std::holds_alternative<directory::get_configuration_call>(
            parsed("GET", "/v1/config/describe?x=1")));
        const auto retire = parsed("POST", "/v1/retire/node-1/start");
        CPPUNIT_ASSERT_EQUAL(std::string("node-1"), std::get<directory::retire_call>(retire).node);
        const auto state = parsed("GET", "/v1/retire/node-2/describe");
        CPPUNIT_ASSERT_EQUAL(std::string("node-2"),
                             std::get<directory::retire_state_call>(state).node);
    }

    static std::string refusal(const std::string& method, const std::string& target,
                               const std::string& body = {}) {
        const auto call = parsed(method, target, body);
        const auto& invalid = std::get<directory::invalid_call>(call);
        return std::to_string(invalid.status) + " " + invalid.reason;
    }

    void unknown_operator_calls_are_rejected() {
        const std::string none = "404 no such call";
        CPPUNIT_ASSERT_EQUAL(none, refusal("GET", "/v1/config/replace"));
        CPPUNIT_ASSERT_EQUAL(none, refusal("POST", "/v1/config/describe"));
        CPPUNIT_ASSERT_EQUAL(none, refusal("GET", "/v1/retire/node-1/start"));
        CPPUNIT_ASSERT_EQUAL(none, refusal("POST", "/v1/retire/node-1/describe"));
        CPPUNIT_ASSERT_EQUAL(none, refusal("POST", "/v1/retire//start"));
        CPPUNIT_ASSERT_EQUAL(none, refusal("GET", "/"));
        CPPUNIT_ASSERT_EQUAL(
            std::string("400 Version must be a number, and not below 0"),
            refusal("POST", "/v1/config/replace", R"({"Version":-7,"Routes":[],"Services":[]})"));
    }

    static std::string rendered(const http::endpoint_response& response) {
        return http::render_response(response, true);
    }

    void operator_responses_match_the_wire_format() {
        const operator_calls calls;
        const std::string ok = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
        CPPUNIT_ASSERT_EQUAL(ok + "Content-Length: 2\r\n\r\n{}", rendered(calls.accepted()));
        CPPUNIT_ASSERT_EQUAL(ok + "Content-Length: 13\r\n\r\n{\"Version\":7}",
                             rendered(calls.configuration("{\"Version\":7}")));
        CPPUNIT_ASSERT_EQUAL(ok + "Content-Length: 19\r\n\r\n{\"State\":\"running\"}",
                             rendered(calls.retirement(directory::retire_progress::running)));
        CPPUNIT_ASSERT_EQUAL(ok + "Content-Length: 21\r\n\r\n{\"State\":\"succeeded\"}",
                             rendered(calls.retirement(directory::retire_progress::succeeded)));
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 307 Temporary Redirect\r\n"
                                         "Location: http://10.0.0.1:80/v1/config/replace?x=1\r\n"
                                         "Content-Length: 0\r\n\r\n"),
                             rendered(calls.redirect("10.0.0.1:80", "/v1/config/replace?x=1")));
    }

    void operator_errors_match_the_wire_format() {
        const operator_calls calls;
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 409 Conflict\r\n"
                                         "Content-Type: application/json\r\n"
                                         "Content-Length: 24\r\n\r\n"
                                         "{\"Error\":\"not \\\"this\\\"\"}"),
                             rendered(calls.refused(409, "not \"this\"")));
        // Invalid UTF-8 is replaced by U+FFFD.
        CPPUNIT_ASSERT_EQUAL(std::string("{\"Error\":\"a\xEF\xBF\xBD\"}"),
                             calls.refused(400, "a\xFF").body);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_calls_fixture_test);

}  // namespace tallyfold::tests
