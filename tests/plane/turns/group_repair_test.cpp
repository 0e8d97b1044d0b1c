#include "tallyfold/plane/turns/group_repair.hpp"

#include "tallyfold/plane/turns/store_fsm.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace turns;

/// The repair of one store by the other members of its group.
class group_repair_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(group_repair_test);
    CPPUNIT_TEST(a_missed_turn_is_fetched_from_the_member_that_holds_it);
    CPPUNIT_TEST(a_missed_reservation_is_fetched);
    CPPUNIT_TEST(a_settlement_is_fetched_when_only_the_reservation_is_held);
    CPPUNIT_TEST(nothing_is_fetched_from_members_that_hold_the_same);
    CPPUNIT_TEST(changes_under_way_are_not_compared);
    CPPUNIT_TEST(only_changes_since_the_last_comparison_are_listed);
    CPPUNIT_TEST(a_restarted_member_lists_everything_again);
    CPPUNIT_TEST(a_refused_write_is_repaired_in_a_later_round);
    CPPUNIT_TEST(a_member_that_does_not_reply_is_skipped);
    CPPUNIT_TEST(a_joining_store_leaves_the_copy_to_the_change_of_members);
    CPPUNIT_TEST(programs_of_other_groups_are_not_compared);
    CPPUNIT_TEST(expired_turns_are_not_copied_back_and_forth);
    CPPUNIT_TEST_SUITE_END();

    static constexpr store_id asker_id = 1;
    static constexpr store_id source_id = 2;

    static instant at(int milliseconds) { return instant(std::chrono::milliseconds(milliseconds)); }

    static turn_settlement settled_turn(const std::string& request,
                                        const std::string& program = "program") {
        return {program, request, 9, 60'000, turn_record{request, "", "in", "out"}, {}};
    }

    static store_map group_of_two() {
        store_map map;
        map.epoch = 1;
        map.current = {{asker_id, "a", "10.0.0.1:1", ""}, {source_id, "b", "10.0.0.2:1", ""}};
        return map;
    }

    /// Two stores of one group, the first of which repairs itself.
    struct pair_of_stores {
        store_fsm asker{asker_id, group_of_two(), turn_table{}, 1};
        store_fsm source{source_id, group_of_two(), turn_table{}, 1};
        group_repair repair{asker_id};
        std::size_t listed = 0;
        std::size_t fetched = 0;

        pair_of_stores() { repair.set_group(group_of_two(), 1, at(0)); }

        static void write(store_fsm& store, const turn_settlement& settlement, instant now) {
            store.receive(1, settle_request{1, 1, settlement, {}});
            store.begin_write();
            store.finish_write(true, now);
        }
        static void write(store_fsm& store, const turn_reservation& reservation, instant now) {
            begin_request request;
            request.epoch = 1;
            request.reservation = reservation;
            store.receive(1, request);
            store.begin_write();
            store.finish_write(true, now);
        }

        /// Exchanges messages until the round is over.
        /// @param durable false when the asker's disk refuses the records
        void run_round(instant now, bool durable = true) {
            const auto reachable = [](const store_member&) { return true; };
            while (const auto order = repair.next(reachable, now)) {
                if (const auto* compare = std::get_if<comparison_request>(&order->request)) {
                    const auto replies = source.receive(7, *compare, now);
                    const auto& reply = std::get<comparison_reply>(replies.front().body);
                    listed += reply.changed.size();
                    repair.on_reply(reply, asker.turns(), now);
                    continue;
                }
                const auto replies =
                    source.receive(7, std::get<records_request>(order->request), now);
                const auto& records = std::get<records_reply>(replies.front().body);
                fetched += records.changes.size();
                if (repair.on_reply(records, now)) {
                    asker.receive(records);
                    asker.begin_write();
                    asker.finish_write(durable, now);
                    repair.on_records_written(asker.turns(), now);
                }
            }
        }
    };

    // Guards against a turn that stays on fewer stores than the group has members: a store that
    // missed a write never asked for it.
    void a_missed_turn_is_fetched_from_the_member_that_holds_it() {
        pair_of_stores stores;
        pair_of_stores::write(stores.source, settled_turn("t"), at(0));
        stores.run_round(at(2'000));
        CPPUNIT_ASSERT(stores.asker.turns().holds_turn("t"));
        CPPUNIT_ASSERT(stores.asker.turns().ledger_of("program").at("t").settled);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, stores.repair.repaired_count());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, stores.repair.missing_count());
    }

    // Guards against a budget that is exceeded because only one remaining store knows a turn.
    void a_missed_reservation_is_fetched() {
        pair_of_stores stores;
        pair_of_stores::write(stores.source, turn_reservation{"program", "t", 288, 60'000}, at(0));
        stores.run_round(at(2'000));
        CPPUNIT_ASSERT_EQUAL(token_count{288},
                             stores.asker.turns().ledger_of("program").at("t").tokens);
    }

    void a_settlement_is_fetched_when_only_the_reservation_is_held() {
        pair_of_stores stores;
        const turn_reservation reservation{"program", "t", 288, 60'000};
        pair_of_stores::write(stores.source, reservation, at(0));
        pair_of_stores::write(stores.asker, reservation, at(0));
        pair_of_stores::write(stores.source, settled_turn("t"), at(100));
        stores.run_round(at(2'000));
        CPPUNIT_ASSERT(stores.asker.turns().ledger_of("program").at("t").settled);
    }

    void nothing_is_fetched_from_members_that_hold_the_same() {
        pair_of_stores stores;
        pair_of_stores::write(stores.source, settled_turn("t"), at(0));
        pair_of_stores::write(stores.asker, settled_turn("t"), at(5));
        stores.run_round(at(2'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stores.listed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, stores.fetched);
    }

    void changes_under_way_are_not_compared() {
        pair_of_stores stores;
        pair_of_stores::write(stores.source, settled_turn("t"), at(0));
        stores.run_round(at(900));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, stores.listed);
        stores.run_round(at(2'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stores.listed);
    }

    void only_changes_since_the_last_comparison_are_listed() {
        pair_of_stores stores;
        pair_of_stores::write(stores.source, settled_turn("t"), at(0));
        stores.run_round(at(2'000));
        pair_of_stores::write(stores.source, settled_turn("u"), at(2'000));
        stores.run_round(at(4'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, stores.listed);
        CPPUNIT_ASSERT(stores.asker.turns().holds_turn("u"));
    }

    void a_restarted_member_lists_everything_again() {
        pair_of_stores stores;
        pair_of_stores::write(stores.source, settled_turn("t"), at(0));
        stores.run_round(at(2'000));
        turn_table recovered;
        recovered.apply(settled_turn("t"), at(2'500));
        recovered.apply(settled_turn("u"), at(2'500));
        stores.source = store_fsm(source_id, group_of_two(), std::move(recovered), 2);
        stores.run_round(at(4'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, stores.listed);
        CPPUNIT_ASSERT(stores.asker.turns().holds_turn("u"));
    }

    // Guards against a position that passes over records which the disk refused.
    void a_refused_write_is_repaired_in_a_later_round() {
        pair_of_stores stores;
        pair_of_stores::write(stores.source, settled_turn("t"), at(0));
        stores.run_round(at(2'000), false);
        CPPUNIT_ASSERT(!stores.asker.turns().holds_turn("t"));
        stores.run_round(at(4'000));
        CPPUNIT_ASSERT(stores.asker.turns().holds_turn("t"));
    }

    void a_member_that_does_not_reply_is_skipped() {
        store_map map = group_of_two();
        map.current.push_back({3, "c", "10.0.0.3:1", ""});
        group_repair repair(asker_id);
        repair.set_group(map, 1, at(0));
        const auto reachable = [](const store_member&) { return true; };
        CPPUNIT_ASSERT_EQUAL(store_id{2}, repair.next(reachable, at(0))->source.id);
        CPPUNIT_ASSERT(!repair.next(reachable, at(100)).has_value());
        CPPUNIT_ASSERT_EQUAL(store_id{3}, repair.next(reachable, at(400))->source.id);
        CPPUNIT_ASSERT(repair.oldest_comparison(at(400)) == std::chrono::milliseconds(400));
    }

    // Guards against a joining store that fetches all turns twice.
    void a_joining_store_leaves_the_copy_to_the_change_of_members() {
        store_map map = group_of_two();
        map.next = map.current;
        map.next.front() = {3, "c", "10.0.0.3:1", ""};
        group_repair joining(3);
        joining.set_group(map, 1, at(0));
        const auto reachable = [](const store_member&) { return true; };
        CPPUNIT_ASSERT(!joining.next(reachable, at(0)).has_value());
        std::swap(map.current, map.next);
        map.next.clear();
        joining.set_group(map, 1, at(1'000));
        CPPUNIT_ASSERT_EQUAL(store_id{2}, joining.next(reachable, at(1'000))->source.id);
    }

    void programs_of_other_groups_are_not_compared() {
        pair_of_stores stores;
        std::string other = "p";
        while (group_of_program(other, 3) == 0) {
            other += "p";
        }
        stores.repair.set_group(group_of_two(), 3, at(0));
        pair_of_stores::write(stores.source, settled_turn("t", other), at(0));
        stores.run_round(at(2'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, stores.listed);
    }

    // Guards against turns that two stores keep alive by copying them from each other.
    void expired_turns_are_not_copied_back_and_forth() {
        pair_of_stores stores;
        constexpr duration margin = std::chrono::seconds(15);
        pair_of_stores::write(stores.source, settled_turn("t"), at(0));
        stores.run_round(at(50'000));
        CPPUNIT_ASSERT(stores.asker.turns().holds_turn("t"));
        stores.asker.expire(at(74'000), margin);
        CPPUNIT_ASSERT(stores.asker.turns().holds_turn("t"));
        stores.asker.expire(at(76'000), margin);
        CPPUNIT_ASSERT(!stores.asker.turns().holds_turn("t"));
        stores.run_round(at(76'000));
        CPPUNIT_ASSERT(!stores.asker.turns().holds_turn("t"));
        CPPUNIT_ASSERT(stores.asker.turns().ledger_of("program").empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(group_repair_test);

}  // namespace tallyfold::tests
