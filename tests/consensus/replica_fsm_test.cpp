#include "tallyfold/consensus/replica_fsm.hpp"

#include "tests/support/replica_group.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace consensus;

class replica_fsm_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(replica_fsm_test);
    CPPUNIT_TEST(committed_entries_survive_any_schedule);
    CPPUNIT_TEST(a_group_recovers_once_faults_end);
    CPPUNIT_TEST(every_replica_confirms_reads_while_there_is_a_leader);
    CPPUNIT_TEST(a_replica_without_a_leader_fails_its_reads);
    CPPUNIT_TEST(a_lagging_voter_can_elect_a_promoted_learner);
    CPPUNIT_TEST(a_replica_without_membership_does_not_vote);
    CPPUNIT_TEST(a_second_membership_change_waits_for_the_first);
    CPPUNIT_TEST(a_lagging_follower_gets_its_backlog_once);
    CPPUNIT_TEST(a_follower_that_does_not_answer_gets_a_bounded_backlog);
    CPPUNIT_TEST(a_lost_backlog_is_resent);
    CPPUNIT_TEST_SUITE_END();

    void committed_entries_survive_any_schedule() {
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
        check_property("a leader is elected and commits once faults end", [](std::uint64_t seed) {
            replica_group group(3, seed);
            for (int step = 0; step < 200; ++step) {
                group.step(0.05);
            }
            RC_ASSERT(group.settle());
            RC_ASSERT(group.violation() == "");
        });
    }

    void every_replica_confirms_reads_while_there_is_a_leader() {
        replica_group group(5, 11);
        CPPUNIT_ASSERT(group.settle());
        // Long enough for a heartbeat to announce the leader to all replicas.
        for (int count = 0; count < 20; ++count) {
            CPPUNIT_ASSERT(group.settle(1));
        }
        for (replica_id id = 1; id <= 5; ++id) {
            group.propose("before the read at " + std::to_string(id));
            group.read(id);
            for (int count = 0; count < 20; ++count) {
                CPPUNIT_ASSERT(group.settle(1));
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t(id), group.confirmed_reads());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), group.failed_reads());
        CPPUNIT_ASSERT_EQUAL(std::string(), group.violation());
    }

    void a_replica_without_a_leader_fails_its_reads() {
        replica_group group(3, 12);
        CPPUNIT_ASSERT(group.settle());
        for (int count = 0; count < 20; ++count) {
            CPPUNIT_ASSERT(group.settle(1));
        }
        const replica_id leader = leader_of(group).leader();
        const replica_id follower = leader == 1 ? 2 : 1;
        for (replica_id id = 1; id <= 3; ++id) {
            if (id != follower) {
                group.crash(id);
            }
        }
        group.read(follower);
        group.run_alone(follower, std::chrono::seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), group.confirmed_reads());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), group.failed_reads());
    }

    static replica_fsm voter_with(const membership& members, log_index last) {
        recovered_state state;
        state.state.term = 2;
        state.base = {last, 2, members, {}};
        replica_settings settings;
        settings.self = 3;
        return {settings, state, instant(std::chrono::seconds(1))};
    }

    static bool grants_vote(replica_fsm& voter, const vote_request& request) {
        replica_message message;
        message.from = 1;
        message.to = 3;
        message.term = 3;
        message.body = request;
        // Long after the last leader contact, which would prevent a vote.
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

    void a_lagging_voter_can_elect_a_promoted_learner() {
        // Guards against a group without electable replicas (seed 21867): replica 2 has lost its
        // disk, and replica 3 has not yet received the promotion of replica 1 to voter.
        membership outdated;
        outdated.members = {{1, {"a", true}}, {2, {"b", false}}, {3, {"c", false}}};
        replica_fsm voter = voter_with(outdated, 137);
        CPPUNIT_ASSERT(grants_vote(voter, {true, 140, 2}));
        CPPUNIT_ASSERT(grants_vote(voter, {false, 140, 2}));
        replica_fsm current = voter_with(outdated, 141);
        CPPUNIT_ASSERT(!grants_vote(current, {false, 140, 2}));
    }

    void a_replica_without_membership_does_not_vote() {
        replica_fsm empty = voter_with({}, 0);
        CPPUNIT_ASSERT(!grants_vote(empty, {true, 10, 2}));
        CPPUNIT_ASSERT(!grants_vote(empty, {false, 10, 2}));
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

    static constexpr std::size_t entry_bytes = 100'000;
    static constexpr int backlog_entries = 60;

    /// Payload bytes of the leader's pending messages to `to`; sets `round` to their latest round.
    static std::size_t take_append_bytes(replica_fsm& leader, replica_id to, std::uint64_t& round) {
        const ready work = leader.take_ready();
        std::size_t bytes = 0;
        for (const auto* messages : {&work.messages_before_sync, &work.messages_after_sync}) {
            for (const replica_message& message : *messages) {
                const auto* request = std::get_if<append_request>(&message.body);
                if (message.to != to || request == nullptr) {
                    continue;
                }
                round = request->round;
                for (const log_entry& entry : request->entries) {
                    bytes += entry.payload.size();
                }
            }
        }
        return bytes;
    }

    static replica_fsm& leader_of(replica_group& group) {
        for (auto& [id, replica] : group.replicas()) {
            if (replica.role() == replica_role::leader) {
                return replica;
            }
        }
        throw std::logic_error("the group has no leader");
    }

    static replica_message reply_from(const replica_fsm& leader, replica_id from,
                                      append_reply reply) {
        replica_message message;
        message.from = from;
        message.to = leader.leader();
        message.term = leader.term();
        message.body = reply;
        return message;
    }

    static replica_id follower_of(replica_group& group) {
        const replica_id leader = leader_of(group).leader();
        return leader == 3 ? 2 : 3;
    }

    /// Leader with an unreachable follower that has received nothing of a backlog of 6 MB.
    struct lagging_follower {
        replica_group group{3, 11};
        replica_fsm* leader = nullptr;
        replica_id follower = 0;
        std::uint64_t round = 0;
        log_index matched = 0;
        std::size_t sent_bytes = 0;

        lagging_follower() {
            CPPUNIT_ASSERT(group.settle());
            leader = &leader_of(group);
            follower = follower_of(group);
            matched = leader->log().last_index();
            take_append_bytes(*leader, follower, round);
            leader->step(reply_from(*leader, follower, {true, matched, round}), {});
            for (int number = 0; number < backlog_entries; ++number) {
                CPPUNIT_ASSERT(leader->propose(std::string(entry_bytes, 'x')).has_value());
                sent_bytes += take_append_bytes(*leader, follower, round);
            }
        }
    };

    /// Guards against resending the backlog for each rejection after an outage, which overflows the
    /// channel's queue again and again. Reproduces huayin-preview-grown scale-2 --seed 12763920105.
    void a_lagging_follower_gets_its_backlog_once() {
        lagging_follower lag;
        const std::uint64_t old_round = lag.round;
        std::size_t bytes = 0;
        for (int rejection = 0; rejection < 10; ++rejection) {
            lag.leader->step(reply_from(*lag.leader, lag.follower, {false, lag.matched, old_round}),
                             {});
            bytes += take_append_bytes(*lag.leader, lag.follower, lag.round);
        }
        CPPUNIT_ASSERT(bytes > 0);
        CPPUNIT_ASSERT(bytes <= replica_settings{}.max_bytes_in_flight + entry_bytes);
    }

    void a_follower_that_does_not_answer_gets_a_bounded_backlog() {
        const lagging_follower lag;
        CPPUNIT_ASSERT(lag.sent_bytes <= replica_settings{}.max_bytes_in_flight + entry_bytes);
    }

    void a_lost_backlog_is_resent() {
        lagging_follower lag;
        log_index matched = lag.matched;
        const log_index last = lag.leader->log().last_index();
        // Each rejection refers to the last resend, which was lost as well.
        for (int repeat = 0; repeat < 3; ++repeat) {
            lag.leader->step(reply_from(*lag.leader, lag.follower, {false, matched, lag.round}),
                             {});
            CPPUNIT_ASSERT(take_append_bytes(*lag.leader, lag.follower, lag.round) > 0);
        }
        // Each reply triggers the next part of the backlog.
        for (int step = 0; step < 2 * backlog_entries && matched < last; ++step) {
            matched += 1;
            lag.leader->step(reply_from(*lag.leader, lag.follower, {true, matched, lag.round}), {});
            take_append_bytes(*lag.leader, lag.follower, lag.round);
        }
        CPPUNIT_ASSERT_EQUAL(last, lag.leader->match_index(lag.follower));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(replica_fsm_test);

}  // namespace tallyfold::tests
