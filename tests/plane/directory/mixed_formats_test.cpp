/// @file
/// Guards against entries in a group of two builds that the older build cannot read: they must not
/// be committed before all members support their format, and a node that cannot read one must halt
/// instead of skipping it.

#include "tallyfold/base/common/random.hpp"
#include "tallyfold/base/protocol/stored_value.hpp"
#include "tallyfold/plane/directory/directory_metrics.hpp"
#include "tallyfold/plane/directory/format_tracker.hpp"
#include "tallyfold/plane/directory/stored_formats.hpp"
#include "tests/support/directory_group.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace directory;
using protocol::format_version;
using std::chrono::seconds;

class mixed_formats_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(mixed_formats_test);
    CPPUNIT_TEST(change_reaches_members_of_both_formats);
    CPPUNIT_TEST(tenants_are_deferred_for_first_format_members);
    CPPUNIT_TEST(tenants_are_deferred_for_first_format_forwarders);
    CPPUNIT_TEST(first_format_forwarder_receives_full_configuration);
    CPPUNIT_TEST(first_format_forwarder_receives_no_configuration_with_tenants);
    CPPUNIT_TEST(replica_halts_on_unreadable_entry);
    CPPUNIT_TEST(snapshot_in_later_format_is_rejected);
    CPPUNIT_TEST(stored_values_use_first_format_when_possible);
    CPPUNIT_TEST(second_format_values_do_not_decode_as_first_format);
    CPPUNIT_TEST(later_format_is_distinguished_from_damage);
    CPPUNIT_TEST(join_of_a_third_format_node_is_passed_on);
    CPPUNIT_TEST(gauges_count_nodes_by_format);
    CPPUNIT_TEST(stored_values_stay_in_third_format);
    CPPUNIT_TEST(earlier_formats_cannot_represent_dispatch_messages);
    CPPUNIT_TEST(earlier_formats_cannot_represent_origins_of_streams);
    CPPUNIT_TEST(earlier_formats_cannot_represent_crashes);
    CPPUNIT_TEST(earlier_formats_cannot_represent_comparisons_of_stores);
    CPPUNIT_TEST_SUITE_END();

    static routing::configuration configuration_of(routing::configuration_version version,
                                                   std::size_t routes) {
        routing::configuration made;
        made.version = version;
        for (std::size_t number = 0; number < routes; ++number) {
            routing::route route;
            route.name = "route-" + std::to_string(number);
            route.host = "example";
            route.prefix = "/" + std::to_string(number) + "/";
            route.services = {{"service", 1}};
            made.routes.push_back(std::move(route));
        }
        return made;
    }

    static routing::configuration with_tenants(routing::configuration_version version) {
        routing::configuration made = configuration_of(version, 2);
        made.tenants.push_back({"tenant", {"key"}, 0, 0, 0});
        return made;
    }

    /// Enough routes for the configuration to be compressed in format v2.
    static constexpr std::size_t many_routes = 200;

    static routing::configuration_version version_at(directory_group& group,
                                                     const node_name& address) {
        return group.node(address).state().configuration().version;
    }

    void change_reaches_members_of_both_formats() {
        directory_group group(3);
        const node_name leader = group.run_until_led();
        const node_name earlier = group.followers().front();
        group.set_first_format(earlier, true);
        CPPUNIT_ASSERT(group.change(leader, configuration_of(46, many_routes)));
        CPPUNIT_ASSERT_EQUAL(routing::configuration_version{46}, version_at(group, earlier));
        // The leader supports only format v1.
        group.set_first_format(earlier, false);
        group.set_first_format(leader, true);
        CPPUNIT_ASSERT(group.change(leader, configuration_of(48, many_routes)));
        for (const node_name& follower : group.followers()) {
            CPPUNIT_ASSERT_EQUAL(routing::configuration_version{48}, version_at(group, follower));
        }
    }

    void tenants_are_deferred_for_first_format_members() {
        directory_group group(3);
        const node_name leader = group.run_until_led();
        const node_name earlier = group.followers().front();
        group.set_first_format(earlier, true);
        group.run(seconds(1));
        CPPUNIT_ASSERT(!group.node(leader).may_use_format(format_version::v2, group.now()));
        group.set_first_format(earlier, false);
        group.run(seconds(1));
        CPPUNIT_ASSERT(group.node(leader).may_use_format(format_version::v2, group.now()));
        // A member known to support format v2 may be unreachable.
        group.cut(earlier);
        group.run(seconds(20));
        CPPUNIT_ASSERT(group.node(leader).may_use_format(format_version::v2, group.now()));
        CPPUNIT_ASSERT(group.change(leader, with_tenants(50)));
        CPPUNIT_ASSERT(group.node(leader).state().oldest_usable_format() == format_version::v2);
    }

    void tenants_are_deferred_for_first_format_forwarders() {
        directory_group group(3);
        const node_name leader = group.run_until_led();
        directory_core& core = group.node(leader);
        core.record_peer_format("forwarder-1", format_version::v1, group.now());
        CPPUNIT_ASSERT(!core.may_use_format(format_version::v2, group.now()));
        // The forwarder was replaced; the next one becomes silent.
        core.record_peer_format("forwarder-1", format_version::v2, group.now());
        CPPUNIT_ASSERT(core.may_use_format(format_version::v2, group.now()));
        core.record_peer_format("forwarder-2", format_version::v1, group.now());
        group.run(seconds(6));
        CPPUNIT_ASSERT(core.may_use_format(format_version::v2, group.now()));
    }

    static node_report report_of_first_format(routing::configuration_version held) {
        node_report report;
        report.node = "forwarder-1";
        report.configuration = held;
        report.wants_configuration = true;
        return report;
    }

    void first_format_forwarder_receives_full_configuration() {
        directory_group group(3);
        const node_name leader = group.run_until_led();
        CPPUNIT_ASSERT(group.change(leader, configuration_of(48, many_routes)));
        const auto report = reencode_in_first_format(report_of_first_format(46));
        CPPUNIT_ASSERT(report.has_value());
        for (const node_name& asked : {leader, group.followers().front()}) {
            const auto answer = reencode_in_first_format(
                group.node(asked).receive(*report, group.now(), format_version::v1));
            CPPUNIT_ASSERT(answer.has_value());
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answer->newer_configuration.size());
            CPPUNIT_ASSERT(*answer->newer_configuration.front() ==
                           configuration_of(48, many_routes));
        }
        // A node that requests parts, or that holds the version, receives no full copy.
        CPPUNIT_ASSERT(
            group.node(leader).receive(*report, group.now()).newer_configuration.empty());
        CPPUNIT_ASSERT(group.node(leader)
                           .receive(report_of_first_format(48), group.now(), format_version::v1)
                           .newer_configuration.empty());
    }

    void first_format_forwarder_receives_no_configuration_with_tenants() {
        directory_group group(3);
        const node_name leader = group.run_until_led();
        CPPUNIT_ASSERT(group.change(leader, with_tenants(50)));
        const auto answer = reencode_in_first_format(group.node(leader).receive(
            report_of_first_format(46), group.now(), format_version::v1));
        CPPUNIT_ASSERT(answer.has_value());
        CPPUNIT_ASSERT(answer->newer_configuration.empty());
    }

    /// Message from the leader to a follower with an entry in a format that this build does not
    /// support.
    static consensus::replica_message with_later_entry(const directory_core& leader,
                                                       const node_name& follower) {
        const std::uint64_t mark = protocol::format_version_marker | 4U;
        consensus::append_request append;
        append.previous_index = leader.replica().log().last_index();
        append.previous_term = leader.term();
        append.commit_index = append.previous_index + 1;
        append.round = 1'000'000;
        append.entries.push_back(
            {leader.term(), append.commit_index, consensus::entry_kind::command,
             std::string(reinterpret_cast<const char*>(&mark), sizeof(mark)) + "whatever"});
        consensus::replica_message message;
        message.group = configuration_group;
        message.from = first_identity(leader.leader_address());
        message.to = first_identity(follower);
        message.term = leader.term();
        message.body = append;
        return message;
    }

    void replica_halts_on_unreadable_entry() {
        directory_group group(3);
        const node_name leader = group.run_until_led();
        CPPUNIT_ASSERT(group.change(leader, configuration_of(46, 2)));
        const node_name follower = group.followers().front();
        directory_core& core = group.node(follower);
        core.receive(leader, with_later_entry(group.node(leader), follower), group.now());
        bool logged = false;
        for (directory_work work = core.take_work(); !work.empty(); work = core.take_work()) {
            for (const logging::event_record& event : work.events) {
                logged = logged || event.id == logging::event_id::entry_unreadable;
            }
            CPPUNIT_ASSERT_MESSAGE("a halted replica acknowledges nothing",
                                   work.after_sync.empty());
            core.persisted();
        }
        CPPUNIT_ASSERT(logged);
        CPPUNIT_ASSERT(core.is_halted());
        CPPUNIT_ASSERT(!core.leads());
        // The node still serves its last state, but gives no proofs.
        CPPUNIT_ASSERT_EQUAL(routing::configuration_version{46},
                             core.state().configuration().version);
        core.prove(7, group.now());
        directory_work work = core.take_work();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, work.proofs.size());
        CPPUNIT_ASSERT(!work.proofs.front().proved);
        // The other two members form a majority.
        CPPUNIT_ASSERT(group.change(leader, configuration_of(48, 2)));
        CPPUNIT_ASSERT_EQUAL(routing::configuration_version{46},
                             core.state().configuration().version);
    }

    void snapshot_in_later_format_is_rejected() {
        const std::uint64_t mark = protocol::format_version_marker | 4U;
        directory_state state;
        state.apply(replace_configuration{configuration_of(46, 2), "text"});
        const auto restored =
            state.restore(std::string(reinterpret_cast<const char*>(&mark), sizeof(mark)));
        CPPUNIT_ASSERT(!restored);
        CPPUNIT_ASSERT(restored.error().is_newer_format);
        CPPUNIT_ASSERT_EQUAL(
            std::string("its form has the number 4, this build knows 3 and earlier ones"),
            restored.error().reason);
        CPPUNIT_ASSERT_EQUAL(routing::configuration_version{46}, state.configuration().version);
    }

    /// @return number of join requests that the node passes on
    static std::size_t passed_on_joins(directory_core& core, const join_request& request,
                                       instant now) {
        core.take_work();
        core.receive(request, now);
        std::size_t passed_on = 0;
        for (const addressed_message& sent : core.take_work().before_sync) {
            passed_on += std::holds_alternative<join_request>(sent.body) ? 1 : 0;
        }
        return passed_on;
    }

    /// Guards against a node of the production build that cannot join during an upgrade while it
    /// reaches no leader: format v4 adds nothing that a directory node has to read.
    void join_of_a_third_format_node_is_passed_on() {
        directory_group group(3);
        group.run_until_led();
        directory_core& core = group.node(group.followers().front());
        std::size_t replica = 100;
        for (const auto& [format, passed_on] :
             {std::pair(format_version::v1, 0U), std::pair(format_version::v2, 0U),
              std::pair(format_version::v3, 1U), std::pair(format_version::v4, 1U)}) {
            const join_request request{++replica, "10.0.1." + std::to_string(replica) + ":71"};
            core.record_peer_format(request.address, format, group.now());
            CPPUNIT_ASSERT_EQUAL(std::size_t{passed_on},
                                 passed_on_joins(core, request, group.now()));
        }
    }

    void gauges_count_nodes_by_format() {
        directory_group group(1);
        directory_core& core = group.node(group.run_until_led());
        core.record_peer_format("a", format_version::v2, group.now());
        core.record_peer_format("b", format_version::v3, group.now());
        core.record_peer_format("c", format_version::v3, group.now());
        core.record_peer_format("d", format_version::v4, group.now());
        core.record_peer_format("e", format_version::v5, group.now());
        core.record_peer_format("f", format_version::v5, group.now());
        core.record_peer_format("g", format_version::v6, group.now());
        core.record_peer_format("h", format_version::v7, group.now());
        prometheus::Registry registry;
        directory_metrics metrics(registry);
        metrics.observe(core, group.now());
        CPPUNIT_ASSERT_EQUAL(0.0, metrics.nodes_in_first_format.Value());
        CPPUNIT_ASSERT_EQUAL(1.0, metrics.nodes_in_second_format.Value());
        CPPUNIT_ASSERT_EQUAL(2.0, metrics.nodes_in_third_format.Value());
        CPPUNIT_ASSERT_EQUAL(1.0, metrics.nodes_in_fourth_format.Value());
        CPPUNIT_ASSERT_EQUAL(2.0, metrics.nodes_in_fifth_format.Value());
        CPPUNIT_ASSERT_EQUAL(1.0, metrics.nodes_in_sixth_format.Value());
        CPPUNIT_ASSERT_EQUAL(1.0, metrics.nodes_in_seventh_format.Value());
    }

    /// Guards against values that a build of format v3 cannot read, although nothing in them needs
    /// a later format.
    void stored_values_stay_in_third_format() {
        const directory_command command = evacuate_zone{"a", true, 5};
        const std::string stored = protocol::encode_stored(command);
        CPPUNIT_ASSERT(protocol::leading_format_number(stored) == std::uint8_t{3});
        const std::string value = stored.substr(sizeof(protocol::format_version_marker));
        CPPUNIT_ASSERT_EQUAL(protocol::encode_as(command, format_version::v3).value(), value);
        // Format v4 waits for nobody: the messages that need it are sent to nodes that know it.
        directory_state state;
        state.apply(command);
        CPPUNIT_ASSERT(state.oldest_usable_format() == format_version::v3);
    }

    void earlier_formats_cannot_represent_dispatch_messages() {
        for (const messaging::peer_message& message :
             {messaging::peer_message(dispatch::place_request{}),
              messaging::peer_message(dispatch::place_answer{}),
              messaging::peer_message(dispatch::place_release{}),
              messaging::peer_message(dispatch::place_renewal{})}) {
            for (const format_version format :
                 {format_version::v1, format_version::v2, format_version::v3}) {
                CPPUNIT_ASSERT(!messaging::encode_frame(message, format));
            }
            CPPUNIT_ASSERT(messaging::encode_frame(message, format_version::v4).has_value());
        }
    }

    void earlier_formats_cannot_represent_origins_of_streams() {
        for (const messaging::peer_message& message :
             {messaging::peer_message(streams::origin_record{}),
              messaging::peer_message(streams::origin_query{}),
              messaging::peer_message(streams::origin_answer{})}) {
            for (const format_version format :
                 {format_version::v1, format_version::v2, format_version::v3, format_version::v4}) {
                CPPUNIT_ASSERT(!messaging::encode_frame(message, format));
            }
            CPPUNIT_ASSERT(messaging::encode_frame(message, format_version::v5).has_value());
        }
    }

    void earlier_formats_cannot_represent_crashes() {
        for (const messaging::peer_message& message :
             {messaging::peer_message(poison::crash_report{}),
              messaging::peer_message(poison::crash_status{})}) {
            for (const format_version format :
                 {format_version::v1, format_version::v2, format_version::v3, format_version::v4,
                  format_version::v5}) {
                CPPUNIT_ASSERT(!messaging::encode_frame(message, format));
            }
            CPPUNIT_ASSERT(messaging::encode_frame(message, format_version::v6).has_value());
        }
    }

    void earlier_formats_cannot_represent_comparisons_of_stores() {
        for (const messaging::peer_message& message :
             {messaging::peer_message(turns::comparison_request{}),
              messaging::peer_message(turns::comparison_reply{}),
              messaging::peer_message(turns::records_request{}),
              messaging::peer_message(turns::records_reply{})}) {
            for (const format_version format :
                 {format_version::v1, format_version::v2, format_version::v3, format_version::v4,
                  format_version::v5, format_version::v6}) {
                CPPUNIT_ASSERT(!messaging::encode_frame(message, format));
            }
            CPPUNIT_ASSERT(messaging::encode_frame(message, format_version::v7).has_value());
        }
    }

    void stored_values_use_first_format_when_possible() {
        directory_state state;
        state.apply(replace_configuration{configuration_of(46, many_routes), "text"});
        const std::string packed = state.to_bytes();
        const std::string stored = state_on_disk(packed);
        CPPUNIT_ASSERT(stored.size() > packed.size());
        CPPUNIT_ASSERT(protocol::decode<directory_state>(stored, format_version::v1).has_value());
        state.apply(replace_configuration{with_tenants(48), std::string(5'000, 't')});
        CPPUNIT_ASSERT_EQUAL(state.to_bytes(), state_on_disk(state.to_bytes()));
    }

    static turns::store_map any_map(random_source& random, turns::group_number group) {
        turns::store_map map;
        map.epoch = 1 + random.below(1'000'000);
        map.group = group;
        for (std::uint64_t count = 1 + random.below(4); count > 0; --count) {
            const std::string number = std::to_string(random.below(300));
            map.current.push_back({random.next(), "store-" + number, "10.0.0.1:" + number, "z"});
        }
        if (random.chance(0.3)) {
            map.next = map.current;
        }
        return map;
    }

    /// Formats v1 and v2 have no format number, so a value in format v2 must not be a valid value
    /// in format v1.
    void second_format_values_do_not_decode_as_first_format() {
        random_source random(42);
        for (int round = 0; round < 20'000; ++round) {
            change_store_groups change;
            for (std::uint64_t count = 1 + random.below(5); count > 0; --count) {
                change.maps.push_back(
                    any_map(random, static_cast<turns::group_number>(change.maps.size())));
            }
            turns::store_map& lost = change.maps[random.below(change.maps.size())];
            lost.after_loss = random.chance(0.5);
            if (!lost.after_loss || random.chance(0.5)) {
                lost.absent = {lost.current.front()};
            }
            const directory_command command = change;
            const std::string second = protocol::encode(command);
            CPPUNIT_ASSERT(!protocol::decode<directory_command>(second, format_version::v1));
            const auto read = protocol::decode_stored<directory_command>(second);
            CPPUNIT_ASSERT(read.has_value());
            CPPUNIT_ASSERT(std::get<change_store_groups>(*read).maps == change.maps);
            CPPUNIT_ASSERT_EQUAL(second, protocol::encode_stored(command));
        }
    }

    void later_format_is_distinguished_from_damage() {
        const std::uint64_t mark = protocol::format_version_marker | 4U;
        const std::string later = std::string(reinterpret_cast<const char*>(&mark), sizeof(mark));
        const auto read = protocol::decode_stored<directory_command>(later + "whatever");
        CPPUNIT_ASSERT(!read && read.error().is_newer_format);
        const auto damaged = protocol::decode_stored<directory_command>("whatever");
        CPPUNIT_ASSERT(!damaged && !damaged.error().is_newer_format);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(mixed_formats_test);

}  // namespace tallyfold::tests
