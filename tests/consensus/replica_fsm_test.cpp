#include "tallyfold/consensus/replica_fsm.hpp"

#include "tests/support/replica_group.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace consensus;

class replica_fsm_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(replica_fsm_test);
    CPPUNIT_TEST(commits_survive_any_schedule);
    CPPUNIT_TEST(a_group_recovers_once_faults_end);
    CPPUNIT_TEST(a_lagging_voter_elects_a_member_that_it_knows_as_learner);
    CPPUNIT_TEST(a_replica_without_membership_does_not_vote);
    CPPUNIT_TEST(a_second_membership_change_waits_for_the_first);
    CPPUNIT_TEST_SUITE_END();

    void commits_survive_any_schedule() {
        check_property("one leader per term, one entry per committed index",
                       [](std::uint64_t seed) {
                           replica_group group(3 + 2 * (seed % 2), seed);
                           for (int step = 0; step < 400; ++step) {
                               group.step(0.03);
                           }
                           RC_ASSERT(group.violation() == "");
                       });
    }

    void a_group_recovers_once_faults_end() {
        check_property("a leader commits after the last fault", [](std::uint64_t seed) {
            replica_group group(3, seed);
            for (int step = 0; step < 200; ++step) {
                group.step(0.05);
            }
            RC_ASSERT(group.settle());
            RC_ASSERT(group.violation() == "");
        });
    }

    static replica_fsm voter_with(const membership& members, log_index last) {
        recovered_state state;
        state.state.term = 2;
        state.base = {last, 2, members, {}};
        replica_settings settings;
        settings.self = 3;
        return {settings, state, instant(std::chrono::seconds(1))};
    }

    static bool grants(replica_fsm& voter, const vote_request& request) {
        replica_message message;
        message.from = 1;
        message.to = 3;
        message.term = 3;
        message.body = request;
        // Long after any leader was heard.
        voter.step(message, instant(std::chrono::seconds(100)));
        ready work = voter.take_ready();
        work.messages_before_sync.insert(work.messages_before_sync.end(),
                                         work.messages_after_sync.begin(),
                                         work.messages_after_sync.end());
        for (const replica_message& reply : work.messages_before_sync) {
            if (const auto* vote = std::get_if<vote_reply>(&reply.body)) {
                return vote->granted;
            }
        }
        return false;
    }

    void a_lagging_voter_elects_a_member_that_it_knows_as_learner() {
        // Seed 21867: replica 2 lost its disk, replica 1 had become a voter, and replica 3 had
        // not yet heard of it; nobody could be elected any more.
        membership older;
        older.members = {{1, {"a", true}}, {2, {"b", false}}, {3, {"c", false}}};
        replica_fsm voter = voter_with(older, 137);
        CPPUNIT_ASSERT(grants(voter, {true, 140, 2}));
        CPPUNIT_ASSERT(grants(voter, {false, 140, 2}));
        replica_fsm current = voter_with(older, 141);
        CPPUNIT_ASSERT(!grants(current, {false, 140, 2}));
    }

    void a_replica_without_membership_does_not_vote() {
        replica_fsm empty = voter_with({}, 0);
        CPPUNIT_ASSERT(!grants(empty, {true, 10, 2}));
        CPPUNIT_ASSERT(!grants(empty, {false, 10, 2}));
    }

    void a_second_membership_change_waits_for_the_first() {
        replica_group group(3, 7);
        CPPUNIT_ASSERT(group.settle());
        for (auto& [id, replica] : group.replicas()) {
            if (replica.role() != replica_role::leader) {
                continue;
            }
            membership next = replica.members();
            next.members[9] = {"node-9", true};
            CPPUNIT_ASSERT(replica.propose_membership(next).has_value());
            next.members[10] = {"node-10", true};
            CPPUNIT_ASSERT(!replica.propose_membership(next).has_value());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(replica_fsm_test);

}  // namespace tallyfold::tests
