/// @file
/// The dispatchers of a directory node: which engines they grant places at as the list of back
/// ends, the evacuated zones and the configuration change. A forwarder asks over a loopback
/// connection; the node's replica is the only one of its group.

#include <unistd.h>

#include "platform/replica_list.hpp"
#include "tallyfold/plane/directory/dispatch_service_shell.hpp"
#include "tallyfold/plane/http/connection_shell.hpp"
#include "tallyfold/plane/messaging/peer_link_shell.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace directory;
using dispatch::place_outcome;
using dispatch::release_outcome;
using std::chrono::milliseconds;

namespace {

settings::node_settings directory_node_settings() {
    settings::node_settings settings;
    settings.node = "directory";
    settings.zone = "a";
    return settings;
}

discovery::listed_backend engine(int number, const std::string& zone = "a") {
    // All numbers have the same width, so that names sort by number.
    discovery::listed_backend listed;
    listed.service = "model";
    listed.member.name = "engine-" + std::to_string(100 + number);
    listed.member.address = "10.0.0.1:" + std::to_string(1'000 + number);
    listed.member.zone = zone;
    listed.member.slots = 1;
    listed.member.listed_only = true;
    return listed;
}

std::vector<discovery::listed_backend> engines(int count) {
    std::vector<discovery::listed_backend> listed;
    for (int number = 0; number < count; ++number) {
        listed.push_back(engine(number));
    }
    return listed;
}

class dispatch_service_world {
  public:
    dispatch_service_world()
        : process_(directory_node_settings()),
          core_(make_core()),
          list_(process_, codec_, core_),
          service_(process_, list_, core_),
          server_(process_.loop(), address()) {
        CPPUNIT_ASSERT_EQUAL(std::string{},
                             server_.start([this](const messaging::channel_pointer& channel,
                                                  const messaging::peer_message& message) {
                                 receive(channel, message);
                             }));
        link_ = std::make_shared<messaging::peer_link>(process_.loop(), address());
        link_->start(
            [this](const messaging::peer_message& message) {
                answers.push_back(std::get<dispatch::place_answer>(message));
            },
            nullptr);
        CPPUNIT_ASSERT(run_until([this] { return core_->leads(); }));
        CPPUNIT_ASSERT(
            run_until([this] { return link_->peer_format() == protocol::newest_format; }));
        use_services({"model"});
    }
    ~dispatch_service_world() { link_->stop(); }
    dispatch_service_world(const dispatch_service_world&) = delete;
    dispatch_service_world& operator=(const dispatch_service_world&) = delete;

    /// Puts a configuration into force with these engine services, and "app", which is none.
    void use_services(const std::vector<std::string>& names) {
        routing::configuration configuration;
        configuration.version = ++version_;
        configuration.services.push_back({"app", "/health", 9});
        for (const std::string& name : names) {
            routing::service service{"", "/health", 9, true};
            service.name = name;
            configuration.services.push_back(service);
        }
        core_->submit(1, replace_configuration{configuration, {}});
        CPPUNIT_ASSERT(
            run_until([this] { return core_->state().configuration().version == version_; }));
    }
    void use_list(const std::vector<discovery::listed_backend>& listed) {
        node_report_answer answer;
        discovery::list_update update;
        update.fingerprint = discovery::fingerprint_of(listed);
        update.changes.changed = listed;
        answer.list.push_back(update);
        list_.on_leader_answer(answer);
        CPPUNIT_ASSERT_EQUAL(listed.size(), list_.list().backends().size());
    }
    void evacuate(const std::string& zone, bool evacuated) {
        const std::uint64_t revision = core_->evacuations().revision;
        core_->submit(2, evacuate_zone{zone, evacuated, 1'000});
        CPPUNIT_ASSERT(run_until([&] { return core_->evacuations().revision > revision; }));
    }

    void ask(dispatch::call_number call, std::uint64_t program = 0,
             const std::string& service = "model") {
        dispatch::place_request request;
        request.node = "forwarder";
        request.process_id = 1;
        request.call = call;
        request.service = service;
        request.zone = "a";
        request.program = program;
        request.longest_wait_ms = 20'000;
        request.prompt_tokens = 10;
        request.max_tokens = 10;
        link_->send(request);
    }
    /// Asks and waits. @return the first answer to the request
    dispatch::place_answer answer_to(dispatch::call_number call, std::uint64_t program = 0,
                                     const std::string& service = "model") {
        const std::size_t before = answers.size();
        ask(call, program, service);
        CPPUNIT_ASSERT(run_until([&] { return answers.size() > before; }));
        CPPUNIT_ASSERT_EQUAL(call, answers[before].call);
        return answers[before];
    }
    /// @param process of the forwarder that releases the call
    void release(dispatch::call_number call, const std::string& service, const backend_name& engine,
                 std::uint64_t process = 1) {
        dispatch::released_call ended;
        ended.call = call;
        ended.service = service;
        ended.outcome = engine.empty() ? release_outcome::not_sent : release_outcome::answered;
        ended.engine = engine;
        link_->send(dispatch::place_release{"forwarder", process, {ended}});
    }
    void renew(dispatch::call_number call, const backend_name& engine) {
        link_->send(dispatch::place_renewal{"forwarder", 1, {{call, "model", engine, 0, 20}}});
    }
    /// Engine at which the call got a place within the limit; empty without one.
    backend_name granted(dispatch::call_number call, duration limit = std::chrono::seconds(5)) {
        backend_name found;
        run_until(
            [&] {
                for (const dispatch::place_answer& each : answers) {
                    if (each.call == call && each.outcome == place_outcome::granted) {
                        found = each.engine;
                    }
                }
                return !found.empty();
            },
            limit);
        return found;
    }
    /// True when the call has no place after some ticks.
    bool still_waits(dispatch::call_number call) {
        return granted(call, milliseconds(100)).empty();
    }

    bool run_until(const std::function<bool()>& reached, duration limit = std::chrono::seconds(5)) {
        const instant end = http::steady_now() + limit;
        while (!reached() && http::steady_now() < end) {
            process_.loop().restart();
            process_.loop().run_one_for(milliseconds(5));
            const instant now = http::steady_now();
            core_->tick(now);
            drain();
            service_.tick(now);
        }
        return reached();
    }

    std::vector<dispatch::place_answer> answers;

  private:
    static std::string address() {
        constexpr std::uint32_t loopback_network = 127U << 24U;
        const asio::ip::address_v4 own(loopback_network | static_cast<std::uint32_t>(::getpid()));
        return own.to_string() + ":17181";
    }
    static std::unique_ptr<directory_core> make_core() {
        directory_settings settings;
        settings.first_start = true;
        settings.address = address();
        settings.seeds = {settings.address};
        settings.members.min_voters = 1;
        settings.members.max_voters = 1;
        return std::make_unique<directory_core>(settings, first_identity(settings.address),
                                                consensus::recovered_state{}, http::steady_now());
    }
    void drain() {
        for (directory_work work = core_->take_work(); !work.empty(); work = core_->take_work()) {
            if (work.write.has_value()) {
                core_->persisted();
            }
        }
    }
    void receive(const messaging::channel_pointer& channel,
                 const messaging::peer_message& message) {
        const instant now = http::steady_now();
        if (const auto* request = std::get_if<dispatch::place_request>(&message)) {
            service_.receive(channel, *request, now);
        } else if (const auto* release = std::get_if<dispatch::place_release>(&message)) {
            service_.receive(channel, *release, now);
        } else if (const auto* renewal = std::get_if<dispatch::place_renewal>(&message)) {
            service_.receive(channel, *renewal, now);
        }
    }

    net::node_process process_;
    platform::replica_list codec_;
    std::unique_ptr<directory_core> core_;
    backend_list_sharing list_;
    dispatch_service service_;
    messaging::peer_server server_;
    messaging::link_pointer link_;
    routing::configuration_version version_ = 0;
};

}  // namespace

class dispatch_service_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(dispatch_service_test);
    CPPUNIT_TEST(service_without_engines_is_unknown);
    CPPUNIT_TEST(places_are_granted_at_the_engines_of_the_list);
    CPPUNIT_TEST(engines_of_an_evacuated_zone_get_no_calls);
    CPPUNIT_TEST(waiting_call_gets_an_engine_that_joins);
    CPPUNIT_TEST(engine_that_leaves_the_list_gets_no_calls);
    CPPUNIT_TEST(service_that_leaves_the_configuration_becomes_unknown);
    CPPUNIT_TEST(place_is_released_without_its_engine);
    CPPUNIT_TEST(withdrawal_of_an_unknown_call_ends_no_other_process);
    CPPUNIT_TEST(renewed_calls_take_slots);
    CPPUNIT_TEST(programs_are_dispatched_by_their_group);
    CPPUNIT_TEST_SUITE_END();

    /// Guards against calls that wait for a dispatcher which cannot decide.
    void service_without_engines_is_unknown() {
        dispatch_service_world world;
        // No list is known.
        CPPUNIT_ASSERT(world.answer_to(1).outcome == place_outcome::unknown_service);
        discovery::listed_backend app = engine(0);
        app.service = "app";
        world.use_list({app});
        CPPUNIT_ASSERT(world.answer_to(2).outcome == place_outcome::unknown_service);
        CPPUNIT_ASSERT(world.answer_to(3, 0, "app").outcome == place_outcome::unknown_service);
        CPPUNIT_ASSERT(world.answer_to(4, 0, "other").outcome == place_outcome::unknown_service);
        const dispatch::place_answer last = world.answers.back();
        CPPUNIT_ASSERT(last.process_id == 1);
    }

    void places_are_granted_at_the_engines_of_the_list() {
        dispatch_service_world world;
        world.use_list(engines(2));
        const dispatch::place_answer first = world.answer_to(1);
        const dispatch::place_answer second = world.answer_to(2);
        CPPUNIT_ASSERT(first.outcome == place_outcome::granted);
        CPPUNIT_ASSERT(second.outcome == place_outcome::granted);
        CPPUNIT_ASSERT(std::set<backend_name>({first.engine, second.engine}) ==
                       std::set<backend_name>({"engine-100", "engine-101"}));
        CPPUNIT_ASSERT(second.slots == 2);
        CPPUNIT_ASSERT(world.answer_to(3).outcome == place_outcome::waiting);
        CPPUNIT_ASSERT(world.still_waits(3));
        world.release(2, "model", second.engine);
        CPPUNIT_ASSERT_EQUAL(second.engine, world.granted(3));
    }

    /// Guards against calls to a zone that operators are emptying.
    void engines_of_an_evacuated_zone_get_no_calls() {
        dispatch_service_world world;
        world.use_list({engine(0, "a"), engine(1, "b")});
        world.evacuate("a", true);
        CPPUNIT_ASSERT_EQUAL(backend_name("engine-101"), world.answer_to(1).engine);
        CPPUNIT_ASSERT(world.answer_to(2).outcome == place_outcome::waiting);
        CPPUNIT_ASSERT(world.still_waits(2));
        world.evacuate("a", false);
        CPPUNIT_ASSERT_EQUAL(backend_name("engine-100"), world.granted(2));
    }

    void waiting_call_gets_an_engine_that_joins() {
        dispatch_service_world world;
        world.use_list(engines(1));
        CPPUNIT_ASSERT(world.answer_to(1).outcome == place_outcome::granted);
        CPPUNIT_ASSERT(world.answer_to(2).outcome == place_outcome::waiting);
        world.use_list(engines(2));
        CPPUNIT_ASSERT_EQUAL(backend_name("engine-101"), world.granted(2));
    }

    void engine_that_leaves_the_list_gets_no_calls() {
        dispatch_service_world world;
        world.use_list(engines(2));
        CPPUNIT_ASSERT(world.answer_to(1).outcome == place_outcome::granted);
        CPPUNIT_ASSERT(world.answer_to(2).outcome == place_outcome::granted);
        world.use_list({engine(1)});
        CPPUNIT_ASSERT(world.answer_to(3).outcome == place_outcome::waiting);
        // The call at the engine that left ends; its slot is gone.
        const bool first_left = world.answers[0].engine == "engine-100";
        world.release(first_left ? 1 : 2, "model", "engine-100");
        CPPUNIT_ASSERT(world.still_waits(3));
        world.release(first_left ? 2 : 1, "model", "engine-101");
        CPPUNIT_ASSERT_EQUAL(backend_name("engine-101"), world.granted(3));
        // An engine that is leaving is still listed.
        discovery::listed_backend leaving = engine(1);
        leaving.member.leaving = true;
        world.use_list({leaving});
        world.release(3, "model", "engine-101");
        CPPUNIT_ASSERT(world.answer_to(4).outcome != place_outcome::granted);
        CPPUNIT_ASSERT(world.still_waits(4));
    }

    void service_that_leaves_the_configuration_becomes_unknown() {
        dispatch_service_world world;
        world.use_list(engines(1));
        CPPUNIT_ASSERT(world.answer_to(1).outcome == place_outcome::granted);
        world.use_services({});
        CPPUNIT_ASSERT(world.answer_to(2).outcome == place_outcome::unknown_service);
        world.use_services({"model"});
        world.release(1, "model", "engine-100");
        CPPUNIT_ASSERT(world.answer_to(3).outcome == place_outcome::granted);
    }

    /// Guards against slots that stay taken until their lease ends: a forwarder gives back a late
    /// grant without knowing its service.
    void place_is_released_without_its_engine() {
        dispatch_service_world world;
        world.use_list(engines(1));
        CPPUNIT_ASSERT(world.answer_to(1).outcome == place_outcome::granted);
        world.release(1, {}, {});
        CPPUNIT_ASSERT(world.answer_to(2).outcome == place_outcome::granted);
        // A waiting call is withdrawn with its service.
        CPPUNIT_ASSERT(world.answer_to(3).outcome == place_outcome::waiting);
        world.release(3, "model", {});
        world.release(2, "model", "engine-100");
        CPPUNIT_ASSERT(world.still_waits(3));
        CPPUNIT_ASSERT(world.answer_to(4).outcome == place_outcome::granted);
    }

    /// Guards against a withdrawal that goes to all groups of a service, and in each of them makes
    /// its sender, a process of before, the present one, whose calls it ends.
    void withdrawal_of_an_unknown_call_ends_no_other_process() {
        dispatch_service_world world;
        world.use_list(engines(1));
        CPPUNIT_ASSERT(world.answer_to(1).outcome == place_outcome::granted);
        world.release(9, "model", {}, 7);
        CPPUNIT_ASSERT(world.answer_to(2).outcome == place_outcome::waiting);
        world.release(1, "model", "engine-100");
        CPPUNIT_ASSERT_EQUAL(backend_name("engine-100"), world.granted(2));
    }

    /// Guards against a dispatcher that has restarted and grants slots which are taken.
    void renewed_calls_take_slots() {
        dispatch_service_world world;
        world.use_list(engines(2));
        world.renew(1, "engine-100");
        // Passed over: the engine is not in the list.
        world.renew(2, "engine-177");
        CPPUNIT_ASSERT_EQUAL(backend_name("engine-101"), world.answer_to(3).engine);
        CPPUNIT_ASSERT(world.answer_to(4).outcome == place_outcome::waiting);
        world.release(1, "model", "engine-100");
        CPPUNIT_ASSERT_EQUAL(backend_name("engine-100"), world.granted(4));
    }

    /// Guards against calls that are counted in one group and released in another.
    void programs_are_dispatched_by_their_group() {
        constexpr int count = 70;
        dispatch_service_world world;
        const auto listed = engines(count);
        world.use_list(listed);
        std::vector<backend_name> names;
        for (const discovery::listed_backend& each : listed) {
            names.push_back(each.member.name);
        }
        const std::vector<dispatch::group_index> assigned = dispatch::assign_groups(names);
        const auto group_of = [&](const backend_name& name) {
            const auto found = std::find(names.begin(), names.end(), name);
            return assigned[static_cast<std::size_t>(found - names.begin())];
        };
        std::set<dispatch::group_index> groups;
        for (std::uint64_t program = 1; program <= 20; ++program) {
            const dispatch::place_answer answer = world.answer_to(program, program);
            CPPUNIT_ASSERT(answer.outcome == place_outcome::granted);
            CPPUNIT_ASSERT_EQUAL(dispatch::group_of_program(program, 2), group_of(answer.engine));
            CPPUNIT_ASSERT(answer.slots == count / 2);
            groups.insert(group_of(answer.engine));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, groups.size());
        for (std::uint64_t program = 1; program <= 20; ++program) {
            world.release(program, "model", world.answers[program - 1].engine);
        }
        for (std::uint64_t program = 1; program <= 2; ++program) {
            // `running` counts the call itself.
            CPPUNIT_ASSERT(world.answer_to(100 + program, 7 * program).running <= 2);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(dispatch_service_test);

}  // namespace tallyfold::tests
