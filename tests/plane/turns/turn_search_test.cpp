#include "tallyfold/plane/turns/turn_search.hpp"

#include "tallyfold/plane/turns/begin_coordinator.hpp"
#include "tallyfold/plane/turns/request_number.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace turns;

class turn_search_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(turn_search_test);
    CPPUNIT_TEST(a_turn_is_absent_only_when_a_majority_of_each_group_denies_it);
    CPPUNIT_TEST(one_store_that_holds_the_turn_ends_the_search);
    CPPUNIT_TEST(a_reply_with_a_newer_map_does_not_count);
    CPPUNIT_TEST(a_newer_map_restarts_the_search_in_its_group);
    CPPUNIT_TEST(a_group_without_majority_leaves_a_turn_undecided);
    CPPUNIT_TEST(a_turn_that_may_be_lost_is_undecided_without_further_waiting);
    CPPUNIT_TEST(a_history_of_another_group_is_adopted);
    CPPUNIT_TEST(a_store_that_changed_its_group_is_not_asked_again_at_once);
    CPPUNIT_TEST_SUITE_END();

    static store_member member(store_id id) {
        return {id, "node-" + std::to_string(id), std::to_string(id), "zone"};
    }
    static store_table three_groups() {
        store_table table;
        table.epoch = 3;
        for (group_number group = 0; group < 3; ++group) {
            store_map map;
            map.epoch = 1 + group;
            map.group = group;
            for (store_id number = 0; number < 3; ++number) {
                map.current.push_back(member(10 * group + number));
            }
            table.groups.push_back(map);
        }
        return table;
    }
    /// @param epoch epoch of the map that the request was made under
    static find_reply answer(store_id store, bool held, map_epoch epoch) {
        return {request_number(1, epoch), store, {}, held};
    }
    /// Reply to a request under the map of the store's group in three_groups().
    static find_reply answer(store_id store, bool held) {
        return answer(store, held, 1 + store / 10);
    }
    static store_id no_store(const store_map& /*map*/) { return 0; }
    static instant at(int milliseconds) { return instant(std::chrono::milliseconds(milliseconds)); }

    void a_turn_is_absent_only_when_a_majority_of_each_group_denies_it() {
        turn_search search(three_groups(), "t", 0);
        search.on_reply(answer(10, false));
        search.on_reply(answer(11, false));
        search.on_reply(answer(20, false));
        CPPUNIT_ASSERT(!search.held_by_no_group());
        search.on_reply(answer(20, false));
        CPPUNIT_ASSERT(!search.held_by_no_group());
        search.on_reply(answer(22, false));
        CPPUNIT_ASSERT(search.held_by_no_group());
        CPPUNIT_ASSERT(!search.found());
    }

    void one_store_that_holds_the_turn_ends_the_search() {
        turn_search search(three_groups(), "t", 0);
        search.on_reply(answer(10, false));
        search.on_reply(answer(21, true));
        CPPUNIT_ASSERT(search.found());
        CPPUNIT_ASSERT_EQUAL(store_id{21}, search.sources().front().id);
        search.on_reply(answer(11, false));
        search.on_reply(answer(20, false));
        search.on_reply(answer(22, false));
        CPPUNIT_ASSERT(!search.held_by_no_group());
    }

    void a_reply_with_a_newer_map_does_not_count() {
        turn_search search(three_groups(), "t", 0);
        store_map newer = three_groups().groups[2];
        newer.epoch = 9;
        search.on_reply(answer(10, false));
        search.on_reply(answer(11, false));
        search.on_reply({request_number(1, 3), 20, {newer}, false});
        search.on_reply({request_number(1, 3), 21, {newer}, false});
        CPPUNIT_ASSERT(!search.held_by_no_group());
    }

    void a_newer_map_restarts_the_search_in_its_group() {
        turn_search search(three_groups(), "t", 0);
        for (const store_id id : {10, 11, 20}) {
            search.on_reply(answer(id, false));
        }
        store_table table = three_groups();
        table.groups[2].epoch = 9;
        table.groups[2].current[1] = member(29);
        search.use_table(table);
        search.on_reply(answer(21, false, 9));
        search.on_reply(answer(22, false, 9));
        CPPUNIT_ASSERT(!search.held_by_no_group());
        search.on_reply(answer(29, false, 9));
        CPPUNIT_ASSERT(search.held_by_no_group());
    }

    static begin_reply durable_reply(store_id store) {
        begin_reply reply;
        reply.operation = request_number(1, 1 + store / 10);
        reply.store = store;
        reply.durable = true;
        return reply;
    }

    /// Begin of a turn that continues a turn which its own group does not hold. Sets `group` to the
    /// own group.
    static begin_coordinator beginning(const store_table& table, group_number& group) {
        begin_parameters question;
        question.reservation = {"program", "own", 10, 60'000};
        question.previous = "t";
        group = table.group_of("program");
        begin_coordinator begun(1, question, table);
        begun.take_due_requests(at(0), table, no_store);
        begun.on_reply(durable_reply(10 * group));
        begun.on_reply(durable_reply(10 * group + 1));
        return begun;
    }

    void a_group_without_majority_leaves_a_turn_undecided() {
        const store_table table = three_groups();
        group_number group = 0;
        begin_coordinator begun = beginning(table, group);
        CPPUNIT_ASSERT(begun.is_undecided());
        const auto requests = begun.take_due_requests(at(1), table, no_store);
        // The third store of its own group, and all stores of the other two groups.
        CPPUNIT_ASSERT_EQUAL(std::size_t{7}, requests.size());
        const group_number other = (group + 1) % 3;
        const group_number silent = (group + 2) % 3;
        begun.on_reply(answer(10 * other, false));
        begun.on_reply(answer(10 * other + 1, false));
        begun.on_reply(answer(10 * silent, false));
        CPPUNIT_ASSERT(begun.is_undecided());
        CPPUNIT_ASSERT(begun.outcome().result == begin_result::unavailable);
        begun.on_reply(answer(10 * silent + 2, false));
        CPPUNIT_ASSERT(begun.outcome().result == begin_result::unknown_previous);
    }

    void a_turn_that_may_be_lost_is_undecided_without_further_waiting() {
        store_table table;
        table.epoch = 1;
        store_map map = three_groups().groups.front();
        map.after_loss = true;
        table.groups.push_back(map);
        begin_parameters question;
        question.reservation = {"program", "t", 1, 60'000};
        question.previous = "lost";
        begin_coordinator begun(1, question, table);
        begun.on_reply(durable_reply(0));
        begun.on_reply(durable_reply(1));
        CPPUNIT_ASSERT(begun.is_undecided());
        // The third store may hold the turn.
        CPPUNIT_ASSERT(!begun.cannot_be_decided());
        begun.on_reply(durable_reply(2));
        CPPUNIT_ASSERT(begun.is_undecided());
        CPPUNIT_ASSERT(begun.cannot_be_decided());
        CPPUNIT_ASSERT(begun.outcome().result == begin_result::unavailable);
    }

    void a_history_of_another_group_is_adopted() {
        const store_table table = three_groups();
        group_number group = 0;
        begin_coordinator begun = beginning(table, group);
        begun.take_due_requests(at(1), table, no_store);
        const store_id holder = 10 * ((group + 1) % 3) + 2;
        begun.on_reply(answer(holder, true));
        const auto requests = begun.take_due_requests(at(2), table, no_store);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, requests.size());
        CPPUNIT_ASSERT_EQUAL(holder, requests.front().store.id);
        CPPUNIT_ASSERT_EQUAL(std::string("t"),
                             std::get<history_request>(requests.front().body).request);
        history_reply reply{request_number(1, 1 + group), holder, {}};
        reply.history.records = {{"t", "s", "in-t", "out-t"}, {"s", "", "in-s", "out-s"}};
        begun.on_reply(reply);
        const begin_decision outcome = begun.outcome();
        CPPUNIT_ASSERT(outcome.result == begin_result::admitted);
        CPPUNIT_ASSERT(outcome.adopted);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, outcome.history.size());
        CPPUNIT_ASSERT_EQUAL(std::string("s"), outcome.history.front().request);
    }

    void a_store_that_changed_its_group_is_not_asked_again_at_once() {
        const store_table table = three_groups();
        begin_parameters question;
        question.reservation = {"program", "own", 10, 60'000};
        begin_coordinator begun(1, question, table);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3},
                             begun.take_due_requests(at(0), table, no_store).size());
        const group_number group = table.group_of("program");
        begin_reply moved;
        moved.operation = request_number(1, 1 + group);
        moved.store = 10 * group;
        store_map elsewhere = table.groups[(group + 1) % 3];
        elsewhere.epoch = 9;
        moved.newer_map = {elsewhere};
        begun.on_reply(moved);
        CPPUNIT_ASSERT(begun.take_due_requests(at(1), table, no_store).empty());
        // A newer map of the turn's own group makes a resend due at once.
        store_table newer = table;
        newer.groups[group].epoch = 10;
        moved.newer_map = {newer.groups[group]};
        begun.on_reply(moved);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3},
                             begun.take_due_requests(at(2), newer, no_store).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(turn_search_test);

}  // namespace tallyfold::tests
