#include <nlohmann/json.hpp>

#include "tallyfold/program_api/gateway/commands/parse_request.hpp"
#include "tallyfold/program_api/gateway/gateway_core.hpp"
#include "tallyfold/program_api/gateway/queries/render_answer.hpp"
#include "tallyfold/program_api/journal/shard_state.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace gateway;
using journal::answer_code;
using journal::ran_state;

class gateway_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gateway_test);
    CPPUNIT_TEST(malformed_request_gets_code_malformed);
    CPPUNIT_TEST(arbitrary_body_is_parsed_or_rejected);
    CPPUNIT_TEST(program_identifier_depends_on_tenant_and_identity);
    CPPUNIT_TEST(request_without_an_owner_is_rejected_at_once);
    CPPUNIT_TEST(lost_owner_leaves_the_outcome_unknown);
    CPPUNIT_TEST(reply_to_a_previous_run_is_dropped);
    CPPUNIT_TEST(pieces_are_relayed_once);
    CPPUNIT_TEST(draining_gateway_rejects_new_and_finishes_pending_requests);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint32_t shard_count = 4;

    static journal::outcome refusal_of(const std::string& path, const std::string& body) {
        const auto parsed = parse_request("POST", path, body, "key");
        CPPUNIT_ASSERT_MESSAGE(path + " " + body, !parsed.has_value());
        return parsed.error();
    }

    void malformed_request_gets_code_malformed() {
        for (const auto& [path, body] : std::vector<std::pair<std::string, std::string>>{
                 {"/v1/programs", "{"},
                 {"/v1/programs", "[]"},
                 {"/v1/programs", "{}"},
                 {"/v1/programs", R"({"tenant":"t","class":"c","budget":-1})"},
                 {"/v1/chat/completions", R"({"program":"p","sequence":0,"messages":[]})"},
                 {"/v1/chat/completions", R"({"program":"p","sequence":1,"messages":[{}]})"},
                 {"/v1/programs/p/requests", R"({"sequence":1})"},
                 {"/v1/elsewhere", "{}"}}) {
            const journal::outcome refused = refusal_of(path, body);
            CPPUNIT_ASSERT(refused.code == answer_code::malformed);
            CPPUNIT_ASSERT(refused.ran == ran_state::no);
            CPPUNIT_ASSERT(!refused.detail.empty());
            CPPUNIT_ASSERT_EQUAL(400, status_of(refused));
        }
    }

    void arbitrary_body_is_parsed_or_rejected() {
        check_property("parse_request answers any body", [] {
            for (const std::string path :
                 {"/v1/programs", "/v1/chat/completions", "/v1/programs/p/tools"}) {
                const auto parsed = parse_request("POST", path, *any_bytes(), "key");
                if (!parsed) {
                    // The rejection must be valid JSON for any body.
                    const std::string text = render_answer({}, parsed.error());
                    RC_ASSERT(nlohmann::json::parse(text).contains("error"));
                }
            }
        });
    }

    void program_identifier_depends_on_tenant_and_identity() {
        CPPUNIT_ASSERT_EQUAL(identifier_of_program("t", "i"), identifier_of_program("t", "i"));
        CPPUNIT_ASSERT(identifier_of_program("t", "i") != identifier_of_program("u", "i"));
        const program_id root = identifier_of_program("t", "i");
        CPPUNIT_ASSERT_EQUAL(root, journal::root_program_id(identifier_of_child(root, "c")));
    }

    static gateway_core make_gateway(std::uint64_t seed = 1) {
        gateway_settings settings;
        settings.node = "gateway-1";
        settings.control_nodes = {"control-1"};
        settings.shard_count = shard_count;
        settings.seed = seed;
        return gateway_core(settings);
    }

    /// Gives the gateway a current configuration and one scheduler that owns every shard.
    static void connect(gateway_core& core, instant now, const node_name& owner = "scheduler-1",
                        lease_epoch epoch = 1) {
        core.tick(now);
        std::uint64_t heartbeat = 0;
        for (const auto& message : core.take_output().messages) {
            if (const auto* beat = std::get_if<protocol::node_heartbeat>(&message.message)) {
                heartbeat = beat->number;
            }
        }
        configuration::configuration_delta delta;
        delta.version = 1;
        core.receive("control-1", protocol::configuration_update{heartbeat, delta}, now);
        protocol::lease_update leases;
        leases.group = 1;
        leases.version = {epoch, epoch};
        leases.schedulers = {{owner, "ip"}};
        for (shard_id shard = 0; shard < shard_count; ++shard) {
            leases.leases[shard] = {epoch, owner};
        }
        core.receive("control-1", leases, now);
    }

    static protocol::program_call call() {
        protocol::program_call made;
        made.program = "p";
        made.sequence = 1;
        return made;
    }

    static protocol::correlation_id forwarded_correlation(gateway_core& core) {
        for (const auto& message : core.take_output().messages) {
            if (const auto* sent = std::get_if<protocol::scheduler_request>(&message.message)) {
                return sent->correlation;
            }
        }
        CPPUNIT_FAIL("nothing was forwarded");
        return 0;
    }

    void request_without_an_owner_is_rejected_at_once() {
        gateway_core core = make_gateway();
        core.submit(1, call(), instant(std::chrono::seconds(1)));
        const auto answers = core.take_output().answers;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answers.size());
        CPPUNIT_ASSERT(answers[0].result.ran == ran_state::no);
        CPPUNIT_ASSERT(answers[0].result.retry_after_ms > 0);
    }

    void lost_owner_leaves_the_outcome_unknown() {
        const instant now(std::chrono::seconds(1));
        gateway_core core = make_gateway();
        connect(core, now);
        core.submit(1, call(), now);
        (void)forwarded_correlation(core);
        core.peer_lost("scheduler-1", now);
        gateway_output output;
        for (int second = 1; second < 30 && output.answers.empty(); ++second) {
            const instant later = now + std::chrono::seconds(second);
            core.tick(later);
            core.peer_lost("scheduler-1", later);
            output = core.take_output();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, output.answers.size());
        CPPUNIT_ASSERT(output.answers[0].result.ran == ran_state::unknown);
    }

    void reply_to_a_previous_run_is_dropped() {
        // Without random correlations, a late reply to a request before a restart would answer
        // another request after it.
        const instant now(std::chrono::seconds(1));
        gateway_core first = make_gateway(1);
        connect(first, now);
        first.submit(1, call(), now);
        const protocol::correlation_id old = forwarded_correlation(first);
        gateway_core second = make_gateway(2);
        connect(second, now);
        second.submit(1, call(), now);
        (void)forwarded_correlation(second);
        second.receive("scheduler-1", protocol::scheduler_reply{old, {}}, now);
        CPPUNIT_ASSERT(second.take_output().answers.empty());
    }

    void pieces_are_relayed_once() {
        const instant now(std::chrono::seconds(1));
        gateway_core core = make_gateway();
        connect(core, now);
        core.submit(1, call(), now);
        const protocol::correlation_id correlation = forwarded_correlation(core);
        core.receive("s", protocol::answer_pieces{correlation, 0, {"a", "b"}}, now);
        core.receive("s", protocol::answer_pieces{correlation, 1, {"b", "c"}}, now);
        core.receive("s", protocol::answer_pieces{correlation, 0, {"a"}}, now);
        journal::outcome whole;
        whole.answer = "abcd";
        core.receive("s", protocol::scheduler_reply{correlation, whole}, now);
        std::string text;
        const gateway_output output = core.take_output();
        for (const client_pieces& added : output.pieces) {
            for (const std::string& piece : added.pieces) {
                text += piece;
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string("abcd"), text);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, output.answers.size());
    }

    void draining_gateway_rejects_new_and_finishes_pending_requests() {
        const instant now(std::chrono::seconds(1));
        gateway_core core = make_gateway();
        connect(core, now);
        core.submit(1, call(), now);
        const protocol::correlation_id correlation = forwarded_correlation(core);
        core.drain();
        CPPUNIT_ASSERT(!core.drained());
        core.submit(2, call(), now);
        const auto refused = core.take_output().answers;
        CPPUNIT_ASSERT(refused.at(0).result.code == answer_code::stopping);
        core.receive("s", protocol::scheduler_reply{correlation, {}}, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, core.take_output().answers.size());
        CPPUNIT_ASSERT(core.drained());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_test);

}  // namespace tallyfold::tests
