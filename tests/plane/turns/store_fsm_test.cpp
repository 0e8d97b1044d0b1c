#include "tallyfold/plane/turns/store_fsm.hpp"

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace turns;

class store_fsm_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(store_fsm_test);
    CPPUNIT_TEST(a_begin_returns_the_engine_that_caches_its_prompt);
    CPPUNIT_TEST(the_engine_with_the_longest_cached_prefix_comes_first);
    CPPUNIT_TEST(a_begin_without_a_prompt_returns_no_engine);
    CPPUNIT_TEST(a_store_that_moved_to_another_group_refuses_requests_of_the_old_one);
    CPPUNIT_TEST(a_spare_store_ignores_maps_that_do_not_list_it);
    CPPUNIT_TEST(a_store_answers_whether_it_holds_a_turn);
    CPPUNIT_TEST_SUITE_END();

    static store_fsm store() { return {1, store_map{}, turn_table{}, 1}; }

    static void settle(store_fsm& store, const std::string& engine, token_count tokens) {
        settle_request request;
        request.settlement.program = "program";
        request.settlement.request = "settled-at-" + engine;
        request.held = {engine, {{7, 1000}, {8, tokens}}};
        store.receive(1, request);
        store.begin_write();
        store.finish_write(true, instant{});
    }

    /// Engines in the reply to a begin with this prompt.
    static std::vector<scheduling::cached_prefix> begin(
        store_fsm& store, const std::vector<scheduling::prefix_point>& prompt) {
        begin_request request;
        request.reservation.program = "program";
        request.reservation.request = "begun";
        request.prompt = prompt;
        store.receive(2, request);
        store.begin_write();
        const auto replies = store.finish_write(true, instant{});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, replies.size());
        return std::get<begin_reply>(replies.front().body).holders;
    }

    void a_begin_returns_the_engine_that_caches_its_prompt() {
        store_fsm asked = store();
        settle(asked, "engine-1", 1500);
        const auto holders = begin(asked, {{7, 1000}, {8, 1900}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, holders.size());
        CPPUNIT_ASSERT_EQUAL(std::string("engine-1"), holders.front().engine);
        CPPUNIT_ASSERT_EQUAL(scheduling::prefix_hash{8}, holders.front().hash);
        CPPUNIT_ASSERT_EQUAL(token_count{1500}, holders.front().tokens);
        // A sub-agent's prompt begins with its parent's prompt.
        const auto opening = begin(asked, {{7, 1000}, {8, 1700}, {9, 2000}});
        CPPUNIT_ASSERT_EQUAL(token_count{1500}, opening.front().tokens);
    }

    void the_engine_with_the_longest_cached_prefix_comes_first() {
        store_fsm asked = store();
        settle(asked, "engine-1", 1500);
        settle(asked, "engine-2", 2400);
        const auto holders = begin(asked, {{7, 1000}, {8, 2600}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, holders.size());
        CPPUNIT_ASSERT_EQUAL(std::string("engine-2"), holders.front().engine);
        CPPUNIT_ASSERT_EQUAL(token_count{1500}, holders.back().tokens);
    }

    void a_begin_without_a_prompt_returns_no_engine() {
        store_fsm asked = store();
        settle(asked, "engine-1", 1500);
        CPPUNIT_ASSERT(begin(asked, {}).empty());
    }

    static store_map map_of(group_number group, map_epoch epoch, std::vector<store_id> ids) {
        store_map map;
        map.epoch = epoch;
        map.group = group;
        for (const store_id id : ids) {
            map.current.push_back({id, "", "", ""});
        }
        return map;
    }

    void a_store_that_moved_to_another_group_refuses_requests_of_the_old_one() {
        store_fsm moved = store();
        CPPUNIT_ASSERT(moved.learn_table({2, {map_of(0, 1, {1, 2, 3}), map_of(1, 2, {4, 5, 6})}}));
        CPPUNIT_ASSERT_EQUAL(map_epoch{1}, moved.map().epoch);
        // The store leaves group 0 in epoch 3 and joins group 1 in epoch 4.
        CPPUNIT_ASSERT(moved.learn_table({4, {map_of(0, 3, {2, 3, 7}), map_of(1, 4, {1, 5, 6})}}));
        CPPUNIT_ASSERT_EQUAL(group_number{1}, moved.map().group);
        begin_request late;
        late.epoch = 1;
        const auto replies = moved.receive(5, late);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, replies.size());
        CPPUNIT_ASSERT(!std::get<begin_reply>(replies.front().body).durable);
        CPPUNIT_ASSERT(!std::get<begin_reply>(replies.front().body).newer_map.empty());
        CPPUNIT_ASSERT(!moved.learn_table({4, {map_of(0, 3, {2, 3, 7}), map_of(1, 4, {1, 5, 6})}}));
    }

    void a_spare_store_ignores_maps_that_do_not_list_it() {
        store_fsm spare = store();
        CPPUNIT_ASSERT(!spare.learn_table({2, {map_of(0, 1, {7, 2, 3}), map_of(1, 2, {4, 5, 6})}}));
        CPPUNIT_ASSERT_EQUAL(map_epoch{0}, spare.map().epoch);
        CPPUNIT_ASSERT(!spare.next_copy().has_value());
    }

    void a_store_answers_whether_it_holds_a_turn() {
        store_fsm asked = store();
        settle_request request;
        request.settlement = {"program", "t", 1, 60'000, turn_record{"t", "", "in", "out"}};
        asked.receive(1, request);
        const auto held = [&](const std::string& turn) {
            return std::get<find_reply>(asked.receive(2, find_request{1, 0, turn}).front().body)
                .held;
        };
        // A turn that is not durable yet does not count as held.
        CPPUNIT_ASSERT(!held("t"));
        asked.begin_write();
        asked.finish_write(true, instant{});
        CPPUNIT_ASSERT(held("t"));
        CPPUNIT_ASSERT(!held("u"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_fsm_test);

}  // namespace tallyfold::tests
