#include "tallyfold/plane/turns/turn_table.hpp"

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace turns;

class turn_table_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(turn_table_test);
    CPPUNIT_TEST(a_late_reservation_does_not_reopen_a_settled_turn);
    CPPUNIT_TEST(a_history_reaches_back_to_its_first_turn);
    CPPUNIT_TEST(a_history_names_the_turn_that_is_missing);
    CPPUNIT_TEST(a_kept_turn_keeps_the_history_before_it);
    CPPUNIT_TEST(pages_rebuild_an_equal_table);
    CPPUNIT_TEST(a_copy_is_paged_and_omits_held_requests);
    CPPUNIT_TEST(an_adopted_history_is_complete_and_copied);
    CPPUNIT_TEST(adopting_a_held_turn_keeps_its_ledger_entry);
    CPPUNIT_TEST(pages_contain_an_adopted_turn_whose_cost_is_open);
    CPPUNIT_TEST(a_copied_adopted_turn_adds_no_cost);
    CPPUNIT_TEST(a_copied_adopted_turn_keeps_the_cost_in_later_pages);
    CPPUNIT_TEST(a_copy_contains_the_record_of_a_turn_whose_cost_is_held);
    CPPUNIT_TEST(a_copy_contains_the_cost_of_a_turn_whose_record_is_held);
    CPPUNIT_TEST(a_page_carries_the_retention_that_remains);
    CPPUNIT_TEST(changes_are_listed_in_pages);
    CPPUNIT_TEST(expired_requests_leave_the_order_of_changes);
    CPPUNIT_TEST_SUITE_END();

    static instant at(int seconds) { return instant(std::chrono::seconds(seconds)); }
    static turn_settlement answered_turn(const std::string& request, const std::string& previous,
                                         std::uint32_t retention_ms = 60'000) {
        return {"program", request, 9, retention_ms,
                turn_record{request, previous, "in-" + request, "out-" + request}};
    }

    void a_late_reservation_does_not_reopen_a_settled_turn() {
        turn_table table;
        table.apply(turn_settlement{"program", "a", 18, 60'000, std::nullopt}, at(0));
        table.apply(turn_reservation{"program", "a", 288, 60'000}, at(0));
        const ledger_entry entry = table.ledger_of("program").at("a");
        CPPUNIT_ASSERT(entry.settled);
        CPPUNIT_ASSERT_EQUAL(token_count{18}, entry.tokens);
    }

    void a_history_reaches_back_to_its_first_turn() {
        turn_table table;
        table.apply(answered_turn("a", ""), at(0));
        table.apply(answered_turn("b", "a"), at(0));
        table.apply(answered_turn("c", "b"), at(0));
        const history_part part = table.history_up_to("c");
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, part.records.size());
        CPPUNIT_ASSERT_EQUAL(std::string("a"), part.records.back().request);
        CPPUNIT_ASSERT(part.missing.empty());
    }

    void a_history_names_the_turn_that_is_missing() {
        turn_table table;
        table.apply(answered_turn("b", "a"), at(0));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), table.history_up_to("b").missing);
    }

    void a_kept_turn_keeps_the_history_before_it() {
        turn_table table;
        table.apply(answered_turn("a", ""), at(0));
        table.apply(answered_turn("b", "a"), at(50));
        table.expire(at(100), duration::zero());
        CPPUNIT_ASSERT(table.holds_turn("a"));
        table.expire(at(111), duration::zero());
        CPPUNIT_ASSERT(!table.holds_turn("a"));
        CPPUNIT_ASSERT(!table.holds_turn("b"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, table.bytes());
    }

    void pages_rebuild_an_equal_table() {
        turn_table table;
        table.apply(turn_reservation{"other", "r", 288, 60'000}, at(0));
        table.apply(answered_turn("a", ""), at(0));
        table.apply(answered_turn("b", "a"), at(0));
        turn_table rebuilt;
        constexpr std::size_t one_page = 1U << 20U;
        for (const turn_change& change : table.page_after("", {}, one_page, at(0)).changes) {
            rebuilt.apply(change, at(0));
        }
        CPPUNIT_ASSERT(table.ledger_of("program") == rebuilt.ledger_of("program"));
        CPPUNIT_ASSERT(table.ledger_of("other") == rebuilt.ledger_of("other"));
        CPPUNIT_ASSERT(table.history_up_to("b").records == rebuilt.history_up_to("b").records);
    }

    void a_copy_is_paged_and_omits_held_requests() {
        turn_table table;
        for (const char* request : {"a", "b", "c", "d"}) {
            table.apply(answered_turn(request, ""), at(0));
        }
        std::string next;
        std::set<std::string> copied;
        int pages = 0;
        do {
            const change_page page = table.page_after(next, {"b"}, 1, at(0));
            for (const turn_change& change : page.changes) {
                copied.insert(std::get<turn_settlement>(change).request);
            }
            next = page.next;
            ++pages;
        } while (!next.empty());
        const std::set<std::string> expected{"a", "c", "d"};
        CPPUNIT_ASSERT(copied == expected);
        CPPUNIT_ASSERT(pages >= 3);
    }

    void an_adopted_history_is_complete_and_copied() {
        turn_table table;
        turn_settlement own = answered_turn("c", "b");
        own.adopted = {{"a", "", "in-a", "out-a"}, {"b", "a", "in-b", "out-b"}};
        table.apply(own, at(0));
        CPPUNIT_ASSERT(table.history_up_to("c").missing.empty());
        turn_table copy;
        for (const turn_change& change : table.page_after("", {}, 1U << 20U, at(0)).changes) {
            copy.apply(change, at(0));
        }
        CPPUNIT_ASSERT(copy.history_up_to("c").missing.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, copy.turn_count());
    }

    void adopting_a_held_turn_keeps_its_ledger_entry() {
        turn_table table;
        table.apply(
            turn_settlement{"other", "a", 40, 60'000, turn_record{"a", "", "in-a", "out-a"}},
            at(0));
        turn_settlement own = answered_turn("b", "a");
        own.adopted = {{"a", "", "in-a", "out-a"}};
        table.apply(own, at(0));
        turn_table copy;
        for (const turn_change& change : table.page_after("", {}, 1U << 20U, at(0)).changes) {
            copy.apply(change, at(0));
        }
        CPPUNIT_ASSERT_EQUAL(token_count{40}, copy.ledger_of("other").at("a").tokens);
    }

    /// Settlement of turn "b", which continues turn "a" of another program.
    static turn_settlement adopting_turn() {
        turn_settlement own = answered_turn("b", "a");
        own.adopted = {{"a", "", "in-a", "out-a"}};
        return own;
    }
    static turn_settlement adopted_turn() {
        return {"other", "a", 40, 60'000, turn_record{"a", "", "in-a", "out-a"}};
    }
    /// Copies what `target` lacks of `source`.
    static void copy(const turn_table& source, turn_table& target) {
        const change_page page =
            source.page_after("", target.complete_requests(), 1U << 20U, at(0));
        for (const turn_change& change : page.changes) {
            target.apply(change, at(0));
        }
    }

    // A store missed the settlement of "a", and received the one of "b".
    void pages_contain_an_adopted_turn_whose_cost_is_open() {
        turn_table table;
        table.apply(turn_reservation{"other", "a", 288, 60'000}, at(0));
        table.apply(adopting_turn(), at(0));
        turn_table rebuilt;
        copy(table, rebuilt);
        CPPUNIT_ASSERT(rebuilt.history_up_to("b").missing.empty());
        const ledger_entry cost = rebuilt.ledger_of("other").at("a");
        CPPUNIT_ASSERT(!cost.settled);
        CPPUNIT_ASSERT_EQUAL(token_count{288}, cost.tokens);
    }

    void a_copied_adopted_turn_adds_no_cost() {
        turn_table table;
        table.apply(adopting_turn(), at(0));
        turn_table rebuilt;
        copy(table, rebuilt);
        CPPUNIT_ASSERT(rebuilt.history_up_to("b").missing.empty());
        CPPUNIT_ASSERT(table.ledger_of("program") == rebuilt.ledger_of("program"));
    }

    void a_copied_adopted_turn_keeps_the_cost_in_later_pages() {
        turn_table source;
        source.apply(adopting_turn(), at(0));
        turn_table table;
        table.apply(turn_reservation{"other", "a", 288, 60'000}, at(0));
        copy(source, table);
        turn_table rebuilt;
        copy(table, rebuilt);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, rebuilt.ledger_of("other").count("a"));
        CPPUNIT_ASSERT(rebuilt.holds_turn("a"));
    }

    // The record of "a" has expired in the target, whose ledger of the program is kept.
    void a_copy_contains_the_record_of_a_turn_whose_cost_is_held() {
        turn_table target;
        target.apply(turn_settlement{"other", "a", 40, 60'000, std::nullopt}, at(0));
        turn_table source;
        source.apply(adopted_turn(), at(0));
        source.apply(answered_turn("b", "a"), at(0));
        copy(source, target);
        CPPUNIT_ASSERT(target.history_up_to("b").missing.empty());
    }

    void a_copy_contains_the_cost_of_a_turn_whose_record_is_held() {
        turn_table target;
        target.apply(adopting_turn(), at(0));
        turn_table source;
        source.apply(adopted_turn(), at(0));
        copy(source, target);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, target.ledger_of("other").count("a"));
        turn_table rebuilt;
        copy(target, rebuilt);
        CPPUNIT_ASSERT_EQUAL(token_count{40}, rebuilt.ledger_of("other").at("a").tokens);
    }

    void a_page_carries_the_retention_that_remains() {
        turn_table table;
        table.apply(answered_turn("a", ""), at(0));
        const change_page page = table.page_after("", {}, 1U << 20U, at(50));
        const auto& copied = std::get<turn_settlement>(page.changes.front());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{10'000}, copied.retention_ms);
    }

    static summary_filter all_changes(std::size_t limit) {
        summary_filter filter;
        filter.changed_until = at(60);
        filter.limit = limit;
        return filter;
    }

    void changes_are_listed_in_pages() {
        turn_table table;
        for (const char* request : {"a", "b", "c"}) {
            table.apply(answered_turn(request, ""), at(0));
        }
        const summary_page first = table.changed_after(0, all_changes(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, first.changed.size());
        CPPUNIT_ASSERT(!first.complete);
        const summary_page second = table.changed_after(first.position, all_changes(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second.changed.size());
        CPPUNIT_ASSERT(second.complete);
        CPPUNIT_ASSERT(second.changed.front().key == key_of("c"));
        CPPUNIT_ASSERT(second.changed.front().settled && second.changed.front().has_record);
    }

    void expired_requests_leave_the_order_of_changes() {
        turn_table table;
        turn_settlement other = answered_turn("a", "");
        other.program = "other";
        table.apply(other, at(0));
        table.apply(answered_turn("b", ""), at(50));
        table.expire(at(70), duration::zero());
        const summary_page page = table.changed_after(0, all_changes(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, page.changed.size());
        CPPUNIT_ASSERT(page.changed.front().key == key_of("b"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(turn_table_test);

}  // namespace tallyfold::tests
