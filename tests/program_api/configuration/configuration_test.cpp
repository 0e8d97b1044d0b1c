#include "tallyfold/base/protocol/binary_codec.hpp"
#include "tallyfold/program_api/configuration/configuration_state.hpp"
#include "tallyfold/program_api/configuration/json_codec.hpp"
#include "tallyfold/program_api/control/commands/admin_commands.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace configuration;

class configuration_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(configuration_test);
    CPPUNIT_TEST(concurrent_change_gets_a_version_conflict);
    CPPUNIT_TEST(resend_after_restore_gets_the_first_result);
    CPPUNIT_TEST(delta_updates_a_copy_of_any_version);
    CPPUNIT_TEST(stale_delta_does_not_revert_a_copy);
    CPPUNIT_TEST(json_round_trip_keeps_every_field);
    CPPUNIT_TEST(unknown_field_is_rejected);
    CPPUNIT_TEST(arbitrary_text_is_parsed_or_rejected);
    CPPUNIT_TEST(policy_error_reports_its_line);
    CPPUNIT_TEST(initial_membership_is_parsed);
    CPPUNIT_TEST_SUITE_END();

    static change_command weight_change(const std::string& identity, std::uint64_t expected,
                                        double value) {
        change_command command;
        command.command_identity = identity;
        command.key = {item_kind::tenant, "t"};
        command.expected_version = expected;
        command.body = tenant_settings{value, 10};
        return command;
    }

    static change_result apply(configuration_state_machine& machine, const change_command& change) {
        return machine.apply(protocol::encode(change));
    }

    void concurrent_change_gets_a_version_conflict() {
        configuration_state_machine machine;
        CPPUNIT_ASSERT(apply(machine, weight_change("a", 0, 2)).status == change_status::accepted);
        const change_result conflict = apply(machine, weight_change("b", 0, 3));
        CPPUNIT_ASSERT(conflict.status == change_status::version_conflict);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, conflict.item_version);
        CPPUNIT_ASSERT_EQUAL(2.0, machine.view().tenant("t")->weight);
    }

    void resend_after_restore_gets_the_first_result() {
        configuration_state_machine machine;
        const change_result first = apply(machine, weight_change("a", 0, 2));
        CPPUNIT_ASSERT(apply(machine, weight_change("b", 1, 3)).status == change_status::accepted);
        configuration_state_machine restored;
        restored.restore(machine.save());
        CPPUNIT_ASSERT(apply(restored, weight_change("a", 0, 2)) == first);
        CPPUNIT_ASSERT_EQUAL(3.0, restored.view().tenant("t")->weight);
    }

    void delta_updates_a_copy_of_any_version() {
        check_property("since() from any version catches a copy up", [] {
            configuration_state_machine machine;
            std::vector<configuration_view> copies{machine.view()};
            const int changes = *rc::gen::inRange(1, 20);
            for (int index = 0; index < changes; ++index) {
                change_command change = weight_change("c" + std::to_string(index), 0, index + 1.0);
                change.key.name = *rc::gen::element<std::string>("x", "y", "z");
                const auto known = machine.view().items().find(change.key);
                change.expected_version =
                    known == machine.view().items().end() ? 0 : known->second.version;
                change.remove = *rc::gen::inRange(0, 4) == 0;
                RC_ASSERT(apply(machine, change).status == change_status::accepted);
                copies.push_back(machine.view());
            }
            for (configuration_view& copy : copies) {
                RC_ASSERT(copy.advance(machine.view().since(copy.version())));
                RC_ASSERT(copy.version() == machine.view().version());
                RC_ASSERT(copy.items() == machine.view().items());
            }
        });
    }

    void stale_delta_does_not_revert_a_copy() {
        configuration_state_machine machine;
        (void)apply(machine, weight_change("a", 0, 2));
        const configuration_delta old = machine.view().since(0);
        (void)apply(machine, weight_change("b", 1, 3));
        configuration_view copy = machine.view();
        CPPUNIT_ASSERT(!copy.advance(old) || copy.version() == machine.view().version());
        CPPUNIT_ASSERT_EQUAL(3.0, copy.tenant("t")->weight);
    }

    void json_round_trip_keeps_every_field() {
        change_command command;
        command.command_identity = "i";
        command.key = {item_kind::program_class, "licensing"};
        command.expected_version = 4;
        command.body = class_settings{10, 11, 12, 13, 14, 15, 16, 0.5, "p", "m"};
        const auto round_trip = parse_change(render_change(command));
        CPPUNIT_ASSERT(round_trip.has_value());
        CPPUNIT_ASSERT(round_trip->body == command.body);
        CPPUNIT_ASSERT(round_trip->key == command.key);
        configuration_state_machine machine;
        (void)apply(machine, weight_change("a", 0, 2));
        const auto view = parse_view(render_view(machine.view()));
        CPPUNIT_ASSERT(view.has_value());
        CPPUNIT_ASSERT(view->items() == machine.view().items());
    }

    void unknown_field_is_rejected() {
        const auto parsed = parse_change(
            R"({"command_identity":"i","kind":"tenant","name":"t","expected_version":0,)"
            R"("settings":{"wieght":2}})");
        CPPUNIT_ASSERT(!parsed.has_value());
        CPPUNIT_ASSERT(parsed.error().reason.find("wieght") != std::string::npos);
        CPPUNIT_ASSERT(!with_field(tenant_settings{}, "queue_limit", "-3").has_value());
    }

    void arbitrary_text_is_parsed_or_rejected() {
        check_property("parse_change answers any bytes", [] {
            (void)parse_change(*any_bytes());
            (void)parse_view(*any_bytes());
            (void)control::parse_initial_membership(*any_bytes());
        });
    }

    void policy_error_reports_its_line() {
        change_command command;
        command.command_identity = "i";
        command.key = {item_kind::policy, "p"};
        command.body = policy_source{"function order(call)\n  return call.+\nend\n"};
        const auto parsed = control::parse_admin_change(render_change(command), "ops");
        CPPUNIT_ASSERT(!parsed.has_value());
        CPPUNIT_ASSERT(parsed.error().reason.find("line 2") != std::string::npos);
    }

    void initial_membership_is_parsed() {
        // The parsed JSON must outlive the loop over its members, or the list is empty.
        const auto members = control::parse_initial_membership(
            R"({"members":[{"node":"a","replica":"18446744073709551615"}]})");
        CPPUNIT_ASSERT(members.has_value());
        CPPUNIT_ASSERT_EQUAL(node_name("a"), members->members.at(UINT64_MAX).node);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(configuration_test);

}  // namespace tallyfold::tests
