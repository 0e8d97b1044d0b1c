#include "tallyfold/program_api/journal/shard_state.hpp"

#include "tallyfold/base/protocol/binary_codec.hpp"
#include "tallyfold/program_api/journal/journal_state_machine.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace journal;

class shard_state_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(shard_state_test);
    CPPUNIT_TEST(usage_never_exceeds_the_budget);
    CPPUNIT_TEST(non_repeatable_request_begins_once);
    CPPUNIT_TEST(calls_begin_in_order);
    CPPUNIT_TEST(repeated_changes_are_idempotent);
    CPPUNIT_TEST(sub_agents_use_the_root_budget);
    CPPUNIT_TEST(commands_with_a_stale_epoch_are_rejected);
    CPPUNIT_TEST(snapshot_preserves_the_state);
    CPPUNIT_TEST_SUITE_END();

    static constexpr token_count budget = 1000;

    static shard_state state_with_root_program() {
        shard_state state;
        CPPUNIT_ASSERT(state.apply(open_program{"p", "p", "t", "c", "id", budget}) ==
                       journal_error::none);
        return state;
    }

    static begin_attempt begin(sequence_number sequence, std::uint32_t attempt,
                               token_count reservation, bool repeatable = true) {
        begin_attempt change;
        change.program = "p";
        change.sequence = sequence;
        change.attempt = attempt;
        change.request_identity = "r" + std::to_string(sequence);
        change.reservation = reservation;
        change.repeatable = repeatable;
        change.target = "engine-1";
        return change;
    }

    static rc::Gen<program_change> any_change() {
        return rc::gen::exec([] {
            const auto sequence = static_cast<sequence_number>(*rc::gen::inRange(1, 5));
            const auto attempt = static_cast<std::uint32_t>(*rc::gen::inRange(1, 4));
            const auto tokens = static_cast<token_count>(*rc::gen::inRange(0, 700));
            const program_id program = *rc::gen::element<program_id>("p", "p.child");
            switch (*rc::gen::inRange(0, 5)) {
                case 0: {
                    begin_attempt change = begin(sequence, attempt, tokens);
                    change.program = program;
                    return program_change(change);
                }
                case 1:
                    return program_change(fail_attempt{
                        program, sequence, attempt,
                        *rc::gen::element(ran_state::no, ran_state::unknown, ran_state::yes)});
                case 2:
                    return program_change(end_call{program, sequence, attempt, tokens, {}, {}});
                case 3:
                    return program_change(open_program{"p.child", "p", "t", "c", "child", 0});
                default:
                    return program_change(begin(sequence, attempt, tokens));
            }
        });
    }

    void usage_never_exceeds_the_budget() {
        check_property("charged and reserved stay within the budget", [] {
            shard_state state = state_with_root_program();
            for (const program_change& change :
                 *rc::gen::container<std::vector<program_change>>(any_change())) {
                (void)state.apply(change);
                const program_record& root = *state.find("p");
                RC_ASSERT(root.charged + root.reserved <= budget);
                // The root's reservation equals the sum over all open attempts.
                token_count open = 0;
                for (const auto& [id, program] : state.programs()) {
                    for (const auto& [number, call] : program.calls) {
                        open += call.reserved;
                    }
                }
                RC_ASSERT(root.reserved == open);
            }
        });
    }

    void non_repeatable_request_begins_once() {
        shard_state state = state_with_root_program();
        CPPUNIT_ASSERT(state.apply(begin(1, 1, 10, false)) == journal_error::none);
        CPPUNIT_ASSERT(state.apply(begin(1, 2, 10, false)) == journal_error::not_repeatable);
        CPPUNIT_ASSERT(state.apply(fail_attempt{"p", 1, 1, ran_state::unknown}) ==
                       journal_error::none);
        CPPUNIT_ASSERT(state.apply(begin(1, 2, 10, false)) == journal_error::not_repeatable);
        // A new attempt is allowed only after the first one is known not to have run.
        CPPUNIT_ASSERT(state.apply(fail_attempt{"p", 1, 1, ran_state::no}) == journal_error::none);
        CPPUNIT_ASSERT(state.apply(begin(1, 2, 10, false)) == journal_error::none);
    }

    void calls_begin_in_order() {
        shard_state state = state_with_root_program();
        CPPUNIT_ASSERT(state.apply(begin(2, 1, 1)) == journal_error::sequence_out_of_order);
        CPPUNIT_ASSERT(state.apply(begin(1, 1, 1)) == journal_error::none);
        CPPUNIT_ASSERT(state.apply(begin(2, 1, 1)) == journal_error::sequence_out_of_order);
        CPPUNIT_ASSERT(state.apply(end_call{"p", 1, 1, 1, {}, {}}) == journal_error::none);
        CPPUNIT_ASSERT(state.apply(begin(2, 1, 1)) == journal_error::none);
    }

    void repeated_changes_are_idempotent() {
        check_property("reapplying an applied change leaves the state unchanged", [] {
            shard_state state = state_with_root_program();
            for (const program_change& change :
                 *rc::gen::container<std::vector<program_change>>(any_change())) {
                if (state.apply(change) != journal_error::none) {
                    continue;
                }
                const std::string before = protocol::encode(state);
                (void)state.apply(change);
                RC_ASSERT(protocol::encode(state) == before);
            }
        });
    }

    void sub_agents_use_the_root_budget() {
        shard_state state = state_with_root_program();
        CPPUNIT_ASSERT(state.apply(open_program{"p.a", "p", "t", "c", "a", 0}) ==
                       journal_error::none);
        begin_attempt change = begin(1, 1, 900);
        change.program = "p.a";
        CPPUNIT_ASSERT(state.apply(change) == journal_error::none);
        CPPUNIT_ASSERT(state.apply(begin(1, 1, 200)) == journal_error::over_budget);
        CPPUNIT_ASSERT(state.apply(close_program{"p", "done"}) == journal_error::none);
        CPPUNIT_ASSERT(state.find("p.a")->closed);
        CPPUNIT_ASSERT_EQUAL(token_count{0}, state.find("p")->reserved);
    }

    void commands_with_a_stale_epoch_are_rejected() {
        journal_state_machine machine;
        std::uint64_t index = 0;
        const auto apply = [&](const journal_command& command) {
            return machine.apply(protocol::encode(command), ++index);
        };
        const program_change open = open_program{"p", "p", "t", "c", "id", budget};
        CPPUNIT_ASSERT(apply(assign_shard{3, 0, "a"}) == journal_error::none);
        CPPUNIT_ASSERT(apply(owner_command{3, 1, open}) == journal_error::none);
        CPPUNIT_ASSERT(apply(assign_shard{3, 1, "b"}) == journal_error::none);
        CPPUNIT_ASSERT(apply(owner_command{3, 1, program_change(begin(1, 1, 1))}) ==
                       journal_error::stale_epoch);
        CPPUNIT_ASSERT(apply(owner_command{3, 2, program_change(begin(1, 1, 1))}) ==
                       journal_error::none);
        // An assignment with an outdated epoch is rejected.
        CPPUNIT_ASSERT(apply(assign_shard{3, 1, "c"}) != journal_error::none);
        CPPUNIT_ASSERT_EQUAL(node_name("b"), machine.lease_of(3).holder);
        // Only lease changes advance the lease version; a snapshot preserves it.
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, machine.lease_version());
        journal_state_machine restored;
        restored.restore(machine.save());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, restored.lease_version());
    }

    void snapshot_preserves_the_state() {
        check_property("restore(save()) is the same state", [] {
            shard_state state = state_with_root_program();
            for (const program_change& change :
                 *rc::gen::container<std::vector<program_change>>(any_change())) {
                (void)state.apply(change);
            }
            const std::string bytes = protocol::encode(state);
            const auto again = protocol::decode<shard_state>(bytes);
            RC_ASSERT(again.has_value());
            RC_ASSERT(protocol::encode(*again) == bytes);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(shard_state_test);

}  // namespace tallyfold::tests
