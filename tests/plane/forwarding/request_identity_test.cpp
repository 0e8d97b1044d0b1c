/// @file
/// Client attempts of one request are recognized by their content, whatever differs between them.

#include "tallyfold/plane/forwarding/request_identity.hpp"

#include <set>

#include "platform/names.hpp"
#include "platform/replica_calls.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace forwarding;

class request_identity_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(request_identity_test);
    CPPUNIT_TEST(attempts_of_one_request_have_one_key);
    CPPUNIT_TEST(requests_of_other_content_have_other_keys);
    CPPUNIT_TEST(history_before_the_body_does_not_matter);
    CPPUNIT_TEST(adjacent_parts_are_kept_apart);
    CPPUNIT_TEST(key_is_rendered_with_all_digits);
    CPPUNIT_TEST_SUITE_END();

    struct sent_request {
        std::string method = "POST";
        std::string target = "/chat/a";
        std::string host = "host";
        std::string tenant;
        std::string body = "question";
        std::string history;
        std::vector<http::header_field> fields;
    };

    static poison::content_key key(const sent_request& sent) {
        http::message_head head;
        head.method = sent.method;
        head.target = sent.target;
        head.headers.add("Host", sent.host);
        for (const http::header_field& field : sent.fields) {
            head.headers.add(field.name, field.value);
        }
        const platform::replica_calls codec;
        const request_metadata facts = codec.read_request(head);
        const routing::route route;
        const routing::service service;
        routing::tenant tenant;
        tenant.name = sent.tenant;
        const forwarded_request request{head,
                                        facts,
                                        {},
                                        nullptr,
                                        route,
                                        service,
                                        sent.tenant.empty() ? nullptr : &tenant,
                                        time_budget({}, {}, std::chrono::seconds(1)),
                                        sent.history + sent.body,
                                        sent.history.size()};
        return content_key_of(request);
    }

    static sent_request with_field(const std::string& name, const std::string& value) {
        sent_request sent;
        sent.fields.push_back({name, value});
        return sent;
    }

    void attempts_of_one_request_have_one_key() {
        const poison::content_key first = key({});
        for (const char* name : {platform::names::request_id, platform::names::deadline,
                                 platform::names::last_event, platform::names::resumed_request,
                                 platform::names::program_deadline, platform::names::program}) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, first, key(with_field(name, "7")));
        }
    }

    void requests_of_other_content_have_other_keys() {
        sent_request other_body;
        other_body.body = "another question";
        sent_request other_target;
        other_target.target = "/chat/a?x";
        sent_request other_tenant;
        other_tenant.tenant = "desk";
        sent_request other_host;
        other_host.host = "elsewhere";
        sent_request other_method;
        other_method.method = "GET";
        const std::set<poison::content_key> keys{
            key({}),
            key(other_body),
            key(other_target),
            key(other_tenant),
            key(other_host),
            key(other_method),
            key(with_field(platform::names::previous_turn, "t1")),
            key(with_field(platform::names::prompt_parts, "aa:10,bb:20")),
            key(with_field(platform::names::prompt_parts, "aa:10,cc:20")),
        };
        CPPUNIT_ASSERT_EQUAL(std::size_t{9}, keys.size());
    }

    void history_before_the_body_does_not_matter() {
        sent_request continued;
        continued.history = "earlier turns";
        CPPUNIT_ASSERT_EQUAL(key({}), key(continued));
    }

    void adjacent_parts_are_kept_apart() {
        sent_request left;
        left.host = "ab";
        left.target = "c";
        sent_request right;
        right.host = "a";
        right.target = "bc";
        CPPUNIT_ASSERT(key(left) != key(right));
    }

    void key_is_rendered_with_all_digits() {
        CPPUNIT_ASSERT_EQUAL(std::string("000000000000001f"), poison::to_string(0x1f));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_identity_test);

}  // namespace tallyfold::tests
