#include "tallyfold/plane/decisions/backend_selection.hpp"

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace forwarding;
using scheduling::backend_member;

/// Tests the order of the selection rules and of their candidate lists.
class backend_selection_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(backend_selection_test);
    CPPUNIT_TEST(the_first_send_to_an_engine_uses_placement);
    CPPUNIT_TEST(a_retry_selects_an_untried_back_end_by_load);
    CPPUNIT_TEST(a_refused_placement_falls_back_to_load);
    CPPUNIT_TEST(an_object_is_sent_to_its_affinity_target);
    CPPUNIT_TEST(disabled_object_affinity_selects_by_load);
    CPPUNIT_TEST(at_most_once_calls_prefer_trusted_back_ends);
    CPPUNIT_TEST(at_most_once_calls_fall_back_to_distrusted_back_ends);
    CPPUNIT_TEST(ejected_back_ends_are_selected_last);
    CPPUNIT_TEST(excluded_back_ends_are_never_selected);
    CPPUNIT_TEST_SUITE_END();

    static constexpr instant now{std::chrono::seconds(50)};
    static constexpr std::size_t size = 4;

    /// A service of four back ends with the dependencies of the selector.
    struct service {
        explicit service(settings::disabled_mechanisms off = {})
            : selector("zone", scheduling::strategy::policy, std::move(off)) {
            members.resize(size);
            for (std::size_t index = 0; index < size; ++index) {
                members[index].name = "b" + std::to_string(index);
                members[index].address = "10.0.0.1:" + std::to_string(8000 + index);
                members[index].slots = 1;
                members[index].listed_only = true;
            }
            pool.update(members);
            subset.update(members);
        }
        std::optional<chosen_backend> select(const selection_request& question) {
            const selection_state state{pool, subset, reported, pace, cache};
            return selector.select(question, state, random, now);
        }

        std::vector<backend_member> members;
        scheduling::backend_pool pool;
        backend_subset subset{1};
        reported_failures reported;
        scheduling::engine_pace pace;
        scheduling::cache_map cache;
        random_source random{1};
        backend_selector selector;
    };

    static selection_request engine_call() {
        selection_request question;
        question.is_engine = true;
        question.program = "program";
        return question;
    }
    static selection_request plain_call(bool repeatable) {
        selection_request question;
        question.repeatable = repeatable;
        return question;
    }

    void the_first_send_to_an_engine_uses_placement() {
        service engines;
        const chosen_backend chosen = *engines.select(engine_call());
        CPPUNIT_ASSERT(chosen.rule == selection_rule::placement);
        CPPUNIT_ASSERT_EQUAL(scheduling::affinity_target("program", engines.pool, now),
                             chosen.name);
    }

    void a_retry_selects_an_untried_back_end_by_load() {
        service engines;
        selection_request question = engine_call();
        question.tried = {"b0", "b2", "b3"};
        const chosen_backend chosen = *engines.select(question);
        CPPUNIT_ASSERT(chosen.rule == selection_rule::less_loaded_of_two);
        CPPUNIT_ASSERT_EQUAL(std::string("b1"), chosen.name);
        question.tried.insert("b1");
        CPPUNIT_ASSERT(!engines.select(question));
    }

    void a_refused_placement_falls_back_to_load() {
        service engines;
        for (const backend_member& member : engines.members) {
            engines.pool.started(member.name, 0);
        }
        CPPUNIT_ASSERT(engines.select(engine_call())->rule == selection_rule::less_loaded_of_two);
    }

    void an_object_is_sent_to_its_affinity_target() {
        service plain;
        selection_request question = plain_call(true);
        question.object = "object";
        const chosen_backend chosen = *plain.select(question);
        CPPUNIT_ASSERT(chosen.rule == selection_rule::affinity_target);
        for (int count = 0; count < 20; ++count) {
            CPPUNIT_ASSERT_EQUAL(chosen.name, plain.select(question)->name);
        }
        plain.pool.unreachable(chosen.name, now);
        CPPUNIT_ASSERT(plain.select(question)->name != chosen.name);
    }

    void disabled_object_affinity_selects_by_load() {
        settings::disabled_mechanisms off;
        off.add("object_home");
        service plain(off);
        selection_request question = plain_call(true);
        question.object = "object";
        CPPUNIT_ASSERT(plain.select(question)->rule == selection_rule::less_loaded_of_two);
    }

    void at_most_once_calls_prefer_trusted_back_ends() {
        service plain;
        plain.reported.record("b0", now);
        plain.reported.record("b1", now);
        for (int count = 0; count < 50; ++count) {
            const chosen_backend chosen = *plain.select(plain_call(false));
            CPPUNIT_ASSERT(chosen.name == "b2" || chosen.name == "b3");
            CPPUNIT_ASSERT(chosen.accepted_eligibility == backend_eligibility::trusted);
        }
        CPPUNIT_ASSERT(plain.select(plain_call(true))->accepted_eligibility ==
                       backend_eligibility::distrusted);
    }

    void at_most_once_calls_fall_back_to_distrusted_back_ends() {
        service plain;
        plain.reported.record("b0", now);
        selection_request question = plain_call(false);
        question.tried = {"b1", "b2", "b3"};
        const chosen_backend chosen = *plain.select(question);
        CPPUNIT_ASSERT_EQUAL(std::string("b0"), chosen.name);
        CPPUNIT_ASSERT(chosen.accepted_eligibility == backend_eligibility::distrusted);
    }

    void ejected_back_ends_are_selected_last() {
        service plain;
        plain.pool.unreachable("b0", now);
        selection_request question = plain_call(true);
        for (int count = 0; count < 50; ++count) {
            CPPUNIT_ASSERT(plain.select(question)->name != "b0");
        }
        question.tried = {"b1", "b2", "b3"};
        const chosen_backend chosen = *plain.select(question);
        CPPUNIT_ASSERT_EQUAL(std::string("b0"), chosen.name);
        CPPUNIT_ASSERT(chosen.accepted_eligibility == backend_eligibility::unavailable);
    }

    void excluded_back_ends_are_never_selected() {
        service plain;
        plain.pool.set_drained("b0", true);
        selection_request question = plain_call(true);
        question.tried = {"b1", "b2", "b3"};
        CPPUNIT_ASSERT(!plain.select(question));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(backend_selection_test);

}  // namespace tallyfold::tests
