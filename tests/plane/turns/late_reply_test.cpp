#include "tallyfold/plane/turns/begin_coordinator.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace turns;

/// Replies that were made under an earlier map of a group and arrive under a later one.
class late_reply_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(late_reply_test);
    CPPUNIT_TEST(a_denial_from_before_a_copy_does_not_make_a_turn_unknown);
    CPPUNIT_TEST(a_ledger_from_before_a_copy_does_not_admit_a_turn);
    CPPUNIT_TEST(a_late_reply_that_holds_the_turn_counts);
    CPPUNIT_TEST(a_search_ignores_denials_made_under_an_earlier_map);
    CPPUNIT_TEST_SUITE_END();

    static store_member member(store_id id) {
        return {id, "node-" + std::to_string(id), std::to_string(id), "zone"};
    }
    static store_map map_of(group_number group, map_epoch epoch, std::vector<store_id> current,
                            std::vector<store_id> next = {}) {
        store_map map;
        map.epoch = epoch;
        map.group = group;
        for (const store_id id : current) {
            map.current.push_back(member(id));
        }
        for (const store_id id : next) {
            map.next.push_back(member(id));
        }
        return map;
    }
    static store_id no_store(const store_map& /*map*/) { return 0; }
    static instant at(int milliseconds) { return instant(std::chrono::milliseconds(milliseconds)); }

    /// Store 6 joins in place of store 5.
    static store_table joining() { return {1, {map_of(0, 1, {1, 2, 3, 4, 5}, {1, 2, 3, 4, 6})}}; }
    static store_table joined() { return {2, {map_of(0, 2, {1, 2, 3, 4, 6})}}; }

    static begin_coordinator beginning(token_count budget) {
        begin_parameters question;
        question.reservation = {"program", "own", 10, 60'000};
        question.previous = "t";
        question.budget = budget;
        return {1, question, joining()};
    }

    /// The begin request to a store among `requests`.
    static begin_request request_to(store_id store,
                                    const std::vector<addressed_request>& requests) {
        for (const addressed_request& request : requests) {
            if (request.store.id == store) {
                return std::get<begin_request>(request.body);
            }
        }
        CPPUNIT_FAIL("no request to store " + std::to_string(store));
        return {};
    }

    static begin_reply reply_to(const begin_request& request, store_id store, bool holds_previous) {
        begin_reply reply;
        reply.operation = request.operation;
        reply.store = store;
        reply.durable = true;
        reply.holds_previous = holds_previous;
        return reply;
    }

    // Stores 1, 2 and 5 hold the turn, and store 6 copies it from them after its first reply.
    void a_denial_from_before_a_copy_does_not_make_a_turn_unknown() {
        begin_coordinator begun = beginning(0);
        const auto before = begun.take_due_requests(at(0), joining(), no_store);
        begun.on_store_connected(3);
        const auto after = begun.take_due_requests(at(10), joined(), no_store);
        begun.on_reply(reply_to(request_to(6, before), 6, false));
        begun.on_reply(reply_to(request_to(3, after), 3, false));
        begun.on_reply(reply_to(request_to(4, after), 4, false));
        CPPUNIT_ASSERT(begun.outcome().result == begin_result::unavailable);
        CPPUNIT_ASSERT(begun.is_undecided());
        CPPUNIT_ASSERT(!begun.cannot_be_decided());
        // Its reply under the later map decides.
        begun.on_reply(reply_to(request_to(6, after), 6, true));
        CPPUNIT_ASSERT(begun.outcome().result != begin_result::unknown_previous);
    }

    // The same stores hold another turn's reservation, which leaves no tokens.
    void a_ledger_from_before_a_copy_does_not_admit_a_turn() {
        begin_parameters question;
        question.reservation = {"program", "own", 10, 60'000};
        question.budget = 15;
        begin_coordinator begun(1, question, joining());
        const auto before = begun.take_due_requests(at(0), joining(), no_store);
        begun.on_store_connected(3);
        const auto after = begun.take_due_requests(at(10), joined(), no_store);
        begun.on_reply(reply_to(request_to(6, before), 6, false));
        begun.on_reply(reply_to(request_to(3, after), 3, false));
        begun.on_reply(reply_to(request_to(4, after), 4, false));
        CPPUNIT_ASSERT(begun.outcome().result == begin_result::unavailable);
        begin_reply copied = reply_to(request_to(6, after), 6, false);
        copied.ledger = {{"other", {10, false}}};
        begun.on_reply(copied);
        CPPUNIT_ASSERT(begun.outcome().result == begin_result::over_budget);
    }

    void a_late_reply_that_holds_the_turn_counts() {
        begin_coordinator begun = beginning(0);
        const auto before = begun.take_due_requests(at(0), joining(), no_store);
        begun.on_store_connected(3);
        const auto after = begun.take_due_requests(at(10), joined(), no_store);
        begin_reply late = reply_to(request_to(1, before), 1, true);
        late.history.records = {{"t", "", "in", "out"}};
        begun.on_reply(late);
        CPPUNIT_ASSERT(begun.is_undecided());
        for (const store_id id : {3, 4, 6}) {
            begun.on_reply(reply_to(request_to(id, after), id, false));
        }
        CPPUNIT_ASSERT(begun.outcome().result == begin_result::admitted);
    }

    void a_search_ignores_denials_made_under_an_earlier_map() {
        store_table before{2, {map_of(0, 1, {11, 12, 13}), joining().groups.front()}};
        before.groups[1].group = 1;
        before.groups[1].epoch = 2;
        turn_search search(before, "t", 0);
        const auto early = search.unanswered(1);
        store_table after = before;
        after.epoch = 3;
        after.groups[1] = map_of(1, 3, {1, 2, 3, 4, 6});
        search.use_table(after);
        const auto deny = [&search](store_id store, const auto& requests) {
            for (const turn_search::store_request& sent : requests) {
                if (sent.store.id == store) {
                    search.on_reply({sent.request.operation, store, {}, false});
                }
            }
        };
        deny(6, early);
        deny(3, search.unanswered(1));
        deny(4, search.unanswered(1));
        CPPUNIT_ASSERT(!search.held_by_no_group());
        deny(6, search.unanswered(1));
        CPPUNIT_ASSERT(search.held_by_no_group());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(late_reply_test);

}  // namespace tallyfold::tests
