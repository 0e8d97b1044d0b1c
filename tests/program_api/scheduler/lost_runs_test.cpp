/// @file
/// Guards against calls that end each engine which runs them and are begun at further ones.

#include "tallyfold/program_api/scheduler/scheduler_core.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace scheduler;
using std::chrono::milliseconds;

namespace {

constexpr const char* program = "program-1";
constexpr lease_epoch epoch = 12;
constexpr instant start{std::chrono::seconds(10)};
constexpr int engine_count = 6;

scheduler_settings core_settings() {
    scheduler_settings made;
    made.node = "scheduler-1";
    made.address = "127.0.0.1:1";
    made.zone = "zone-a";
    made.control_nodes = {"control-1"};
    return made;
}

/// A scheduler whose control node commits everything at once, and whose engines end under each
/// call.
class ending_engines {
  public:
    ending_engines() : core_(core_settings(), start) {
        deliver_configuration();
        deliver_shard();
        members_answered members;
        for (int number = 0; number < engine_count; ++number) {
            scheduling::backend_member engine;
            engine.name = "engine-" + std::to_string(number);
            engine.address = "127.0.0.2:" + std::to_string(number + 1);
            engine.zone = "zone-a";
            engine.variant = "model";
            members.members.push_back(engine);
        }
        core_.report(members, now_);
        report_status();
    }

    void send_call() {
        protocol::program_call call;
        call.program = program;
        call.sequence = 1;
        call.request_identity = "identity-1";
        call.request_hash = 31;
        call.messages = {{"user", "question", 10}};
        call.max_tokens = 20;
        core_.receive("gateway-1", protocol::scheduler_request{1, call}, now_);
    }

    /// Runs until the call has an outcome. @return it
    journal::outcome run() {
        for (int step = 0; step < 4'000; ++step) {
            now_ += milliseconds(10);
            core_.tick(now_);
            if (step % 20 == 0) {
                core_.receive("control-1", protocol::lease_confirmation{group(), next_++}, now_);
                report_status();
            }
            const scheduler_output output = core_.take_output();
            for (const protocol::outbound_message& sent : output.messages) {
                if (const auto* reply = std::get_if<protocol::scheduler_reply>(&sent.message)) {
                    return reply->result;
                }
                commit(sent.message);
            }
            for (const backend_order& order : output.orders) {
                fail(order);
            }
        }
        CPPUNIT_FAIL("the call has no outcome");
        return {};
    }

    /// Number of times that an engine began the call; each ends, and comes back under its name.
    std::uint32_t ended = 0;
    /// What the engines report of the call instead of an answer.
    failure_kind failure = failure_kind::broken;

  private:
    static shard_id shard() { return journal::shard_of(program, core_settings().shard_count); }
    static group_id group() {
        return journal::group_of_shard(shard(), core_settings().journal_groups);
    }

    void deliver_configuration() {
        using namespace configuration;
        core_.tick(start);
        core_.receive("control-1", protocol::lease_confirmation{group(), next_++}, start);
        class_settings program_class;
        program_class.model = "model";
        configuration_delta delta;
        delta.version = 2;
        delta.items = {{{item_kind::tenant, "tenant-a"}, 1, 1, false, tenant_settings{}},
                       {{item_kind::program_class, "class-a"}, 1, 2, false, program_class}};
        core_.receive("control-1", protocol::configuration_update{1, delta}, start);
    }

    void deliver_shard() {
        journal::shard_state state;
        const journal::program_change opened =
            journal::open_program{program, program, "tenant-a", "class-a", "identity-0", 1'000'000};
        CPPUNIT_ASSERT(state.apply(opened) == journal::journal_error::none);
        protocol::lease_update leases;
        leases.group = group();
        leases.version.version = 1;
        leases.leases = {{shard(), {epoch, "scheduler-1"}}};
        core_.receive("control-1", leases, start);
        core_.receive("control-1",
                      protocol::shard_contents{group(), shard(), epoch, protocol::encode(state)},
                      start);
    }

    void report_status() {
        for (int number = 0; number < engine_count; ++number) {
            status_answered status;
            status.backend = "engine-" + std::to_string(number);
            core_.report(status, now_);
        }
    }

    void commit(const protocol::internal_message& message) {
        if (const auto* append = std::get_if<protocol::journal_append>(&message)) {
            protocol::journal_append_reply reply;
            reply.group = append->group;
            reply.correlation = append->correlation;
            reply.committed = true;
            core_.receive("control-1", reply, now_);
        }
    }

    void fail(const backend_order& order) {
        if (const auto* begun = std::get_if<start_stream>(&order)) {
            ++ended;
            core_.report(attempt_failed{begun->key, failure}, now_);
        } else if (const auto* resumed = std::get_if<resume_stream>(&order)) {
            core_.report(attempt_failed{resumed->key, failure_kind::unknown_stream}, now_);
        }
    }

    scheduler_core core_;
    instant now_ = start;
    std::uint64_t next_ = 1;
};

}  // namespace

class lost_runs_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(lost_runs_test);
    CPPUNIT_TEST(call_ends_three_engines_at_most);
    CPPUNIT_TEST(call_that_engines_fail_is_begun_again_as_before);
    CPPUNIT_TEST_SUITE_END();

    void call_ends_three_engines_at_most() {
        ending_engines world;
        world.send_call();
        const journal::outcome result = world.run();
        CPPUNIT_ASSERT(result.code == journal::answer_code::backend_failed);
        CPPUNIT_ASSERT(result.ran == journal::ran_state::unknown);
        CPPUNIT_ASSERT_EQUAL(core_settings().lost_run_limit, world.ended);
    }

    void call_that_engines_fail_is_begun_again_as_before() {
        ending_engines world;
        world.failure = failure_kind::failed;
        world.send_call();
        CPPUNIT_ASSERT(world.run().code == journal::answer_code::backend_failed);
        CPPUNIT_ASSERT_EQUAL(core_settings().attempt_limit, world.ended);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(lost_runs_test);

}  // namespace tallyfold::tests
