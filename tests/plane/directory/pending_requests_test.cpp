#include "tallyfold/plane/directory/pending_requests.hpp"

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace directory;

class pending_requests_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(pending_requests_test);
    CPPUNIT_TEST(an_applied_command_is_answered_once);
    CPPUNIT_TEST(command_replaced_by_other_leader_has_unknown_outcome);
    CPPUNIT_TEST(leaders_own_command_needs_no_answer);
    CPPUNIT_TEST(reads_and_proofs_are_separate);
    CPPUNIT_TEST(lost_leadership_ends_all_commands);
    CPPUNIT_TEST_SUITE_END();

    void an_applied_command_is_answered_once() {
        pending_requests pending;
        pending.add_command(5, 77, 2);
        CPPUNIT_ASSERT(!pending.on_applied(4, 2).has_value());
        const auto answer = pending.on_applied(5, 2);
        CPPUNIT_ASSERT(answer.has_value());
        CPPUNIT_ASSERT_EQUAL(request_token{77}, answer->token);
        CPPUNIT_ASSERT(answer->kind == answer_kind::done);
        CPPUNIT_ASSERT(!pending.on_applied(5, 2).has_value());
    }

    void command_replaced_by_other_leader_has_unknown_outcome() {
        pending_requests pending;
        pending.add_command(5, 77, 2);
        const auto answer = pending.on_applied(5, 3);
        CPPUNIT_ASSERT(answer.has_value() && answer->kind == answer_kind::unknown);
    }

    void leaders_own_command_needs_no_answer() {
        pending_requests pending;
        pending.add_command(5, leader_command_token, 2);
        CPPUNIT_ASSERT(pending.has_own_command());
        CPPUNIT_ASSERT(!pending.on_applied(5, 2).has_value());
        CPPUNIT_ASSERT(!pending.has_own_command());
    }

    void reads_and_proofs_are_separate() {
        pending_requests pending;
        const auto read = pending.next_read();
        const auto proof = pending.next_read();
        CPPUNIT_ASSERT(read != proof);
        pending.add_read(read, 7);
        pending.add_proof(proof, 7);
        CPPUNIT_ASSERT(!pending.take_read(proof).has_value());
        CPPUNIT_ASSERT(!pending.take_proof(read).has_value());
        CPPUNIT_ASSERT(pending.take_read(read) == request_token{7});
        CPPUNIT_ASSERT(pending.take_proof(proof) == request_token{7});
        CPPUNIT_ASSERT(!pending.take_read(read).has_value());
    }

    void lost_leadership_ends_all_commands() {
        pending_requests pending;
        pending.add_command(5, 77, 2);
        pending.add_command(6, leader_command_token, 2);
        pending.add_command(7, 78, 2);
        CPPUNIT_ASSERT((pending.take_commands() == std::vector<request_token>{77, 78}));
        CPPUNIT_ASSERT(!pending.has_own_command());
        CPPUNIT_ASSERT(!pending.on_applied(5, 2).has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(pending_requests_test);

}  // namespace tallyfold::tests
