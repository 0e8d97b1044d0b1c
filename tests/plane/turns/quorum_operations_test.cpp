#include "tallyfold/plane/turns/quorum_operations.hpp"

#include <rapidcheck.h>

#include "tallyfold/base/common/random.hpp"
#include "tallyfold/plane/turns/copy_progress.hpp"
#include "tallyfold/plane/turns/request_number.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace turns;

class quorum_operations_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(quorum_operations_test);
    CPPUNIT_TEST(a_minority_decides_nothing);
    CPPUNIT_TEST(a_failed_write_does_not_count_towards_the_quorum);
    CPPUNIT_TEST(a_previous_turn_is_unknown_only_after_a_majority_denies_it);
    CPPUNIT_TEST(open_turns_count_with_their_upper_bound);
    CPPUNIT_TEST(a_membership_change_requires_both_majorities);
    CPPUNIT_TEST(a_history_is_assembled_from_several_stores);
    CPPUNIT_TEST(concurrent_begins_are_never_both_admitted_over_budget);
    CPPUNIT_TEST(copy_sources_intersect_every_majority);
    CPPUNIT_TEST(a_replaced_disk_at_the_same_address_is_not_a_source);
    CPPUNIT_TEST_SUITE_END();

    static store_member member(store_id id) {
        return {id, std::to_string(id), "10.0.0.1:" + std::to_string(7000 + id), "zone"};
    }
    static store_map map_of(std::vector<store_id> current, std::vector<store_id> next = {}) {
        store_map map;
        map.epoch = 1;
        for (const store_id id : current) {
            map.current.push_back(member(id));
        }
        for (const store_id id : next) {
            map.next.push_back(member(id));
        }
        return map;
    }
    static begin_reply durable_reply(store_id store, program_ledger ledger = {}) {
        begin_reply reply;
        reply.operation = request_number(1, map_of({}).epoch);
        reply.store = store;
        reply.durable = true;
        reply.ledger = std::move(ledger);
        return reply;
    }
    static begin_operation operation(store_map map, std::string previous = {},
                                     token_count budget = 0) {
        return {std::move(map), turn_reservation{"program", "own", 100, 60'000},
                std::move(previous), budget};
    }

    void a_minority_decides_nothing() {
        begin_operation begin = operation(map_of({1, 2, 3}));
        begin.on_reply(durable_reply(1));
        CPPUNIT_ASSERT(begin.outcome() == begin_outcome::pending);
        begin.on_reply(durable_reply(1));
        CPPUNIT_ASSERT(begin.outcome() == begin_outcome::pending);
        begin.on_reply(durable_reply(3));
        CPPUNIT_ASSERT(begin.outcome() == begin_outcome::admitted);
    }

    void a_failed_write_does_not_count_towards_the_quorum() {
        begin_operation begin = operation(map_of({1, 2, 3}));
        begin_reply failed_write = durable_reply(1);
        failed_write.durable = false;
        begin.on_reply(failed_write);
        begin.on_reply(durable_reply(2));
        CPPUNIT_ASSERT(begin.outcome() == begin_outcome::pending);
        begin.on_reply(durable_reply(3));
        CPPUNIT_ASSERT(begin.outcome() == begin_outcome::admitted);
    }

    void a_previous_turn_is_unknown_only_after_a_majority_denies_it() {
        begin_operation begin = operation(map_of({1, 2, 3}), "before");
        begin.on_reply(durable_reply(1));
        CPPUNIT_ASSERT(begin.outcome() == begin_outcome::pending);
        begin.on_reply(durable_reply(2));
        CPPUNIT_ASSERT(begin.outcome() == begin_outcome::unknown_previous);
    }

    void open_turns_count_with_their_upper_bound() {
        begin_operation fits = operation(map_of({1, 2, 3}), {}, 250);
        fits.on_reply(durable_reply(1, {{"x", {100, false}}}));
        fits.on_reply(durable_reply(2, {{"x", {40, true}}, {"y", {100, false}}}));
        CPPUNIT_ASSERT_EQUAL(token_count{140}, fits.used_tokens());
        CPPUNIT_ASSERT_EQUAL(token_count{100}, fits.reserved_tokens());
        CPPUNIT_ASSERT(fits.outcome() == begin_outcome::admitted);
        begin_operation exceeds = operation(map_of({1, 2, 3}), {}, 239);
        exceeds.on_reply(durable_reply(1, {{"x", {40, true}}}));
        exceeds.on_reply(durable_reply(2, {{"y", {100, false}}}));
        CPPUNIT_ASSERT(exceeds.outcome() == begin_outcome::over_budget);
    }

    void a_membership_change_requires_both_majorities() {
        begin_operation begin = operation(map_of({1, 2, 3}, {2, 3, 4, 5, 6}));
        begin.on_reply(durable_reply(1));
        begin.on_reply(durable_reply(2));
        CPPUNIT_ASSERT(begin.outcome() == begin_outcome::pending);
        begin.on_reply(durable_reply(4));
        CPPUNIT_ASSERT(begin.outcome() == begin_outcome::pending);
        begin.on_reply(durable_reply(5));
        CPPUNIT_ASSERT(begin.outcome() == begin_outcome::admitted);
    }

    void a_history_is_assembled_from_several_stores() {
        begin_operation begin = operation(map_of({1, 2, 3}), "b");
        begin_reply first = durable_reply(1);
        first.holds_previous = true;
        first.history.records = {{"b", "a", "in-b", "out-b"}};
        begin.on_reply(first);
        begin.on_reply(durable_reply(2));
        CPPUNIT_ASSERT(begin.reserved());
        CPPUNIT_ASSERT(begin.outcome() == begin_outcome::pending);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), begin.missing_turn());
        history_reply rest;
        rest.history.records = {{"a", "", "in-a", "out-a"}};
        begin.on_history(rest);
        CPPUNIT_ASSERT(begin.outcome() == begin_outcome::admitted);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), begin.history().front()->request);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), begin.history().back()->request);
    }

    /// Runs two concurrent begins against stores that receive the messages in a random order.
    static bool at_most_one_is_admitted(std::uint64_t seed) {
        random_source random(seed);
        std::map<store_id, program_ledger> stores{{1, {}}, {2, {}}, {3, {}}};
        // The budget suffices for only one of the two turns.
        begin_operation left = operation(map_of({1, 2, 3}), {}, 150);
        begin_operation right{
            map_of({1, 2, 3}), turn_reservation{"program", "other", 100, 60'000}, {}, 150};
        std::vector<std::pair<bool, store_id>> messages;
        for (const store_id id : {1, 2, 3}) {
            messages.emplace_back(true, id);
            messages.emplace_back(false, id);
        }
        while (!messages.empty()) {
            const std::size_t pick = random.below(messages.size());
            const auto [is_left, id] = messages[pick];
            messages.erase(messages.begin() + static_cast<std::ptrdiff_t>(pick));
            begin_operation& begin = is_left ? left : right;
            if (begin.outcome() != begin_outcome::pending || random.chance(0.1)) {
                continue;
            }
            stores[id][is_left ? "own" : "other"] = {100, false};
            begin.on_reply(durable_reply(id, stores[id]));
        }
        return !(left.outcome() == begin_outcome::admitted &&
                 right.outcome() == begin_outcome::admitted);
    }

    void concurrent_begins_are_never_both_admitted_over_budget() {
        const bool holds =
            rc::check("of two concurrent begins at most one is admitted",
                      [](std::uint64_t seed) { RC_ASSERT(at_most_one_is_admitted(seed)); });
        CPPUNIT_ASSERT(holds);
    }

    void copy_sources_intersect_every_majority() {
        for (std::size_t stores = 1; stores <= 9; ++stores) {
            std::vector<store_id> current;
            for (store_id id = 1; id <= stores; ++id) {
                current.push_back(id);
            }
            copy_progress copy(map_of(current, {100}), 100);
            CPPUNIT_ASSERT(copy.required());
            std::size_t copied = 0;
            while (!copy.complete()) {
                copy.mark_complete(copy.remaining_sources().front().id);
                ++copied;
            }
            const std::size_t majority = stores / 2 + 1;
            CPPUNIT_ASSERT(copied + majority > stores);
        }
    }

    void a_replaced_disk_at_the_same_address_is_not_a_source() {
        // Store 3 was wiped and became store 30 at the same address.
        copy_progress copy(map_of({1, 2, 3}, {1, 2, 30}), 30);
        copy.mark_complete(30);
        copy.mark_complete(1);
        CPPUNIT_ASSERT(!copy.complete());
        copy.mark_complete(2);
        CPPUNIT_ASSERT(copy.complete());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(quorum_operations_test);

}  // namespace tallyfold::tests
