/// @file
/// Evacuations of zones as part of the directory's replicated state: idempotent, kept over
/// restarts, and deferred while a node of an earlier build could not read them.

#include "tallyfold/base/protocol/stored_value.hpp"
#include "tallyfold/plane/directory/stored_formats.hpp"
#include "tallyfold/plane/messaging/peer_message.hpp"
#include "tests/support/directory_group.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace directory;
using protocol::format_version;

class zone_evacuation_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(zone_evacuation_test);
    CPPUNIT_TEST(repeated_order_changes_nothing);
    CPPUNIT_TEST(end_without_begin_changes_nothing);
    CPPUNIT_TEST(number_of_zones_is_bounded);
    CPPUNIT_TEST(state_is_kept_in_third_format);
    CPPUNIT_TEST(state_without_evacuation_keeps_its_format);
    CPPUNIT_TEST(all_members_apply_the_order);
    CPPUNIT_TEST(order_is_deferred_for_earlier_nodes);
    CPPUNIT_TEST(earlier_formats_cannot_represent_the_messages);
    CPPUNIT_TEST_SUITE_END();

    static evacuate_zone begin(const std::string& zone) { return {zone, true, 1'000}; }
    static evacuate_zone end(const std::string& zone) { return {zone, false, 2'000}; }

    void repeated_order_changes_nothing() {
        zone_evacuations evacuations;
        evacuations.apply(begin("a"));
        evacuations.apply(begin("a"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, evacuations.revision());
        evacuations.apply(begin("b"));
        evacuations.apply(end("a"));
        evacuations.apply(end("a"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, evacuations.revision());
        CPPUNIT_ASSERT(evacuations.zones() == std::vector<std::string>{"b"});
    }

    void end_without_begin_changes_nothing() {
        zone_evacuations evacuations;
        evacuations.apply(end("a"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, evacuations.revision());
    }

    void number_of_zones_is_bounded() {
        zone_evacuations evacuations;
        for (std::size_t number = 0; number <= zone_evacuations::max_zones; ++number) {
            evacuations.apply(begin("zone-" + std::to_string(number)));
        }
        CPPUNIT_ASSERT_EQUAL(zone_evacuations::max_zones, evacuations.zones().size());
        CPPUNIT_ASSERT(evacuations.accepts("zone-0"));
        CPPUNIT_ASSERT(!evacuations.accepts("another"));
    }

    void state_is_kept_in_third_format() {
        directory_state state;
        state.apply(begin("a"));
        state.apply(begin("b"));
        state.apply(end("b"));
        CPPUNIT_ASSERT(state.oldest_usable_format() == format_version::v3);
        for (const std::string& stored : {state.to_bytes(), state_on_disk(state)}) {
            CPPUNIT_ASSERT(protocol::leading_format_number(stored) == std::uint8_t{3});
            directory_state restored;
            CPPUNIT_ASSERT(restored.restore(stored).has_value());
            CPPUNIT_ASSERT(restored.evacuations().contains("a"));
            CPPUNIT_ASSERT(!restored.evacuations().contains("b"));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, restored.evacuations().revision());
        }
        const directory_command command = begin("a");
        const auto read =
            protocol::decode_stored<directory_command>(protocol::encode_stored(command));
        CPPUNIT_ASSERT(read.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("a"), std::get<evacuate_zone>(*read).zone);
    }

    void state_without_evacuation_keeps_its_format() {
        const directory_state state;
        CPPUNIT_ASSERT(state.oldest_usable_format() == format_version::v1);
        CPPUNIT_ASSERT(!protocol::leading_format_number(state.to_bytes()).has_value());
    }

    void all_members_apply_the_order() {
        directory_group group(3);
        const node_name leader = group.run_until_led();
        CPPUNIT_ASSERT(group.node(leader).may_use_format(format_version::v3, group.now()));
        const node_name lagging = group.followers().front();
        group.cut(lagging);
        group.node(leader).submit(7, begin("a"));
        group.drain(leader);
        group.run(std::chrono::seconds(1));
        CPPUNIT_ASSERT(group.node(leader).state().evacuations().contains("a"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, group.node(lagging).evacuations().revision);
        group.heal(lagging);
        group.run(std::chrono::seconds(1));
        CPPUNIT_ASSERT(group.node(lagging).state().evacuations().contains("a"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, group.node(lagging).evacuations().revision);
    }

    void order_is_deferred_for_earlier_nodes() {
        directory_group group(3);
        const node_name leader = group.run_until_led();
        directory_core& core = group.node(leader);
        core.record_peer_format("forwarder-1", format_version::v2, group.now());
        CPPUNIT_ASSERT(!core.may_use_format(format_version::v3, group.now()));
        core.record_peer_format("forwarder-1", format_version::v3, group.now());
        CPPUNIT_ASSERT(core.may_use_format(format_version::v3, group.now()));
    }

    void earlier_formats_cannot_represent_the_messages() {
        for (const messaging::peer_message& message :
             {messaging::peer_message(evacuation_status{1, {"a"}}),
              messaging::peer_message(discovery::list_status{}),
              messaging::peer_message(discovery::list_request{}),
              messaging::peer_message(discovery::list_part{})}) {
            CPPUNIT_ASSERT(!messaging::encode_frame(message, format_version::v1));
            CPPUNIT_ASSERT(!messaging::encode_frame(message, format_version::v2));
            CPPUNIT_ASSERT(messaging::encode_frame(message, format_version::v3).has_value());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(zone_evacuation_test);

}  // namespace tallyfold::tests
