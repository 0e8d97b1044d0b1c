#include "platform/configuration_format.hpp"
#include "platform/operator_calls.hpp"
#include "platform/replica_calls.hpp"
#include "platform/replica_list.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace platform;

class platform_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(platform_test);
    CPPUNIT_TEST(configuration_is_parsed);
    CPPUNIT_TEST(malformed_configurations_are_rejected_with_a_reason);
    CPPUNIT_TEST(request_headers_are_parsed_and_system_headers_added);
    CPPUNIT_TEST(callers_cannot_set_system_headers);
    CPPUNIT_TEST(credential_and_affinity_key_are_parsed);
    CPPUNIT_TEST(tenants_are_parsed);
    CPPUNIT_TEST(not_executed_header_is_distinguished_from_a_failure);
    CPPUNIT_TEST(replica_list_pages_are_parsed);
    CPPUNIT_TEST_SUITE_END();

    static std::string body(const std::string& timeout, const std::string& service) {
        return R"({"Version":7,"Routes":[{"Name":"r","Hostname":"h","PathPrefix":"/a/","Type":"streaming",)"
               R"("TimeoutMs":)" +
               timeout + R"(,"Priority":1,"TrafficSplit":[{"Service":")" + service +
               R"(","Weight":90},{"Service":"t","Weight":10}],"MaxAttempts":2,"KeepsHistory":true,)"
               R"("RetentionS":60.0}],"Services":[{"Name":"s","MaxConnections":9,"Engine":{"Slots":12,)"
               R"("KvCapacity":1000,"Stride":9}},{"Name":"t","MaxConnections":9}],)"
               R"("Limits":{"MaxBodyBytes":100}})";
    }

    void configuration_is_parsed() {
        const auto parsed = parse_configuration(body("4000", "s"));
        CPPUNIT_ASSERT(parsed.has_value());
        const routing::route& route = parsed->routes.front();
        CPPUNIT_ASSERT(route.streaming && route.keeps_history);
        CPPUNIT_ASSERT(route.repeats == routing::repeatability::at_most_once);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, route.services.size());
        CPPUNIT_ASSERT_EQUAL(9U, parsed->services.front().tokens_per_event);
        CPPUNIT_ASSERT(!parsed->services.back().is_engine);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{100}, parsed->limits.body_bytes);
    }

    static unsigned status_of(const std::string& text) {
        const auto call = operator_calls().parse({"POST", "/v1/config/replace", text});
        const auto* invalid = std::get_if<directory::invalid_call>(&call);
        CPPUNIT_ASSERT(invalid == nullptr || !invalid->reason.empty());
        return invalid != nullptr ? invalid->status : 200;
    }

    void malformed_configurations_are_rejected_with_a_reason() {
        const std::string good = body("4000", "s");
        CPPUNIT_ASSERT_EQUAL(200U, status_of(good));
        for (std::size_t cut = 0; cut < good.size(); ++cut) {
            CPPUNIT_ASSERT_EQUAL(400U, status_of(good.substr(0, cut)));
        }
        CPPUNIT_ASSERT_EQUAL(400U, status_of(body("0", "s")));
        CPPUNIT_ASSERT_EQUAL(400U, status_of(body("-1", "s")));
        CPPUNIT_ASSERT_EQUAL(400U, status_of(body("4000", "nobody")));
        CPPUNIT_ASSERT_EQUAL(400U, status_of(body("\"soon\"", "s")));
        const auto other = operator_calls().parse({"GET", "/v1/config/replace", ""});
        CPPUNIT_ASSERT(std::holds_alternative<directory::invalid_call>(other));
    }

    void request_headers_are_parsed_and_system_headers_added() {
        http::message_head head;
        head.headers.add("X-Request-Id", "abc");
        head.headers.add("X-Deadline-Ms", "4000");
        head.headers.add("X-Token-Usage", "1460,80");
        head.headers.add("X-Prefix-Hash", "5c1e07a2:800,91bd3f06:410");
        head.headers.add("X-Program-Deadline-Ms", "-70");
        head.headers.add("X-Expected-Instance", "smuggled");
        head.headers.add("Connection", "keep-alive");
        head.headers.add("X-Other", "kept");
        const replica_calls calls;
        const forwarding::request_metadata facts = calls.read_request(head);
        CPPUNIT_ASSERT_EQUAL(std::string("abc"), facts.request);
        CPPUNIT_ASSERT(facts.caller_timeout == duration(std::chrono::seconds(4)));
        CPPUNIT_ASSERT_EQUAL(token_count{80}, facts.max_tokens);
        CPPUNIT_ASSERT(facts.program_time_left == duration(std::chrono::milliseconds(-70)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, facts.prompt.size());
        CPPUNIT_ASSERT_EQUAL(token_count{1210}, facts.prompt.back().tokens);
        const http::header_list sent =
            calls.backend_headers(head, {std::chrono::milliseconds(1500), "i-1", 0, true, {}, {}});
        CPPUNIT_ASSERT_EQUAL(std::string("1500"), *sent.find("X-Deadline-Ms"));
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), *sent.find("X-Expected-Instance"));
        CPPUNIT_ASSERT_EQUAL(std::string("abc"), *sent.find("X-Request-Id"));
        CPPUNIT_ASSERT_EQUAL(std::string("kept"), *sent.find("X-Other"));
        CPPUNIT_ASSERT(sent.find("Connection") == nullptr);
        CPPUNIT_ASSERT(sent.find("Last-Event-Id") == nullptr);
        // A resumed stream continues after the last event forwarded to the caller.
        head.headers.add("Last-Event-Id", "3");
        const http::header_list continued =
            calls.backend_headers(head, {std::chrono::milliseconds(1500), "i-1", 0, true, {}, "7"});
        CPPUNIT_ASSERT_EQUAL(std::string("7"), *continued.find("Last-Event-Id"));
    }

    void callers_cannot_set_system_headers() {
        static const std::vector<std::string> system_headers{"X-Hold",
                                                             "X-Pin-Ms",
                                                             "X-Kv-Backup",
                                                             "Kv-From",
                                                             "Kv-Fetch",
                                                             "X-Expected-Instance",
                                                             "X-Expected-Version",
                                                             "X-Request-Priority",
                                                             "X-Tenant-Id",
                                                             "X-Credential",
                                                             "X-Deadline-Ms"};
        check_property("callers can't set header fields that the system sets", [] {
            http::message_head head;
            head.headers.add("X-Request-Id", "abc");
            const int count = *rc::gen::inRange(1, 12);
            for (int each = 0; each < count; ++each) {
                std::string name =
                    system_headers[*rc::gen::inRange<std::size_t>(0, system_headers.size())];
                for (char& letter : name) {
                    letter = *rc::gen::arbitrary<bool>() ? static_cast<char>(std::toupper(letter))
                                                         : static_cast<char>(std::tolower(letter));
                }
                head.headers.add(name, "forged");
                if (*rc::gen::arbitrary<bool>()) {
                    head.headers.add("Connection", name);
                }
            }
            forwarding::attempt_headers marks;
            marks.time_left = std::chrono::seconds(1);
            marks.incarnation = "i-1";
            marks.tenant = "hule930";
            const http::header_list sent = replica_calls().backend_headers(head, marks);
            for (const http::header_field& field : sent.fields()) {
                RC_ASSERT(field.value != "forged");
            }
            RC_ASSERT(*sent.find("X-Tenant-Id") == "hule930");
            RC_ASSERT(*sent.find("X-Expected-Instance") == "i-1");
            RC_ASSERT(*sent.find("X-Request-Id") == "abc");
        });
    }

    void credential_and_affinity_key_are_parsed() {
        http::message_head head;
        const replica_calls calls;
        CPPUNIT_ASSERT(calls.read_request(head).credential.empty());
        head.headers.add("X-Credential", "key");
        head.headers.add("Cookie", "a=1; X-Affinity-Key=17;b=2");
        CPPUNIT_ASSERT_EQUAL(std::string("key"), calls.read_request(head).credential);
        CPPUNIT_ASSERT_EQUAL(std::string("17"), calls.read_request(head).object);
        // A request with several credentials is ambiguous and counts as having none.
        head.headers.add("x-credential", "other");
        CPPUNIT_ASSERT(calls.read_request(head).credential.empty());
    }

    void tenants_are_parsed() {
        std::string text = body("4000", "s");
        text.pop_back();
        text += R"(,"Tenants":[{"Name":"n","ApiKeys":["k1","k2"],"Priority":1,"RatePerS":388,)"
                R"("Burst":5.5},{"Name":"m","ApiKeys":["k3"]}]})";
        const auto parsed = parse_configuration(text);
        CPPUNIT_ASSERT(parsed.has_value());
        const routing::tenant& first = parsed->tenants.front();
        CPPUNIT_ASSERT_EQUAL(std::string("k2"), first.keys.back());
        CPPUNIT_ASSERT_EQUAL(388.0, first.rate_per_second);
        CPPUNIT_ASSERT_EQUAL(5.5, first.burst);
        CPPUNIT_ASSERT(!parsed->tenants.back().is_limited());
        CPPUNIT_ASSERT_EQUAL(200U, status_of(text));
        const auto shared = text.replace(text.find("k3"), 2, "k1");
        CPPUNIT_ASSERT_EQUAL(400U, status_of(shared));
    }

    void not_executed_header_is_distinguished_from_a_failure() {
        http::message_head failure;
        failure.status = 503;
        failure.headers.add("X-Request-Id", "abc");
        const replica_calls calls;
        CPPUNIT_ASSERT(!calls.read_answer(failure).not_run);
        failure.headers.add("X-Not-Executed", "1");
        CPPUNIT_ASSERT(calls.read_answer(failure).not_run);
        http::message_head other;
        other.status = 421;
        CPPUNIT_ASSERT(calls.read_answer(other).wrong_incarnation);
    }

    void replica_list_pages_are_parsed() {
        const replica_list list;
        CPPUNIT_ASSERT_EQUAL(std::string("/instances?PageToken=p-50"), list.list_target("p-50"));
        const auto page = list.read_list(
            R"({"Instances":[{"Service":"s","Address":"10.0.0.1:80","Zone":"z","Slots":12,)"
            R"("Version":"v1","ColdRemainingMs":0,)"
            R"("State":"draining","Id":"i-1"}],"NextPageToken":"p-50"})");
        CPPUNIT_ASSERT(page.has_value());
        CPPUNIT_ASSERT(page->backends.front().member.leaving);
        CPPUNIT_ASSERT_EQUAL(std::string("p-50"), page->next_token);
        const auto last = list.read_list(R"({"Instances":[],"NextPageToken":null})");
        CPPUNIT_ASSERT(last.has_value() && last->next_token.empty());
        CPPUNIT_ASSERT(!list.read_list("{").has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_test);

}  // namespace tallyfold::tests
