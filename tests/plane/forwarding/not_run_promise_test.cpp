/// @file
/// Guards against answers that promise that a request has not run although it has (REFUSED of the
/// users' rules): ends a request after each handler of the loop, so at every point at which it can
/// wait.

#include <set>

#include "tests/plane/forwarding/forwarder_world.hpp"

namespace tallyfold::tests {

using namespace forwarding;

namespace {

constexpr const char* request_id = "r1";
constexpr int back_end_count = 2;
/// Limits of one sweep: handlers, time without a handler, and time since the request was sent.
constexpr int max_handlers = 60;
constexpr duration idle_time = std::chrono::milliseconds(30);
constexpr duration longest_request = std::chrono::milliseconds(60);
/// Time within which a request must have ended.
constexpr duration end_limit = std::chrono::seconds(3);
/// Time in which a request that has ended would be sent again.
constexpr duration settling_time = std::chrono::milliseconds(10);

enum class request_end : std::uint8_t { cut_off, caller_closes };

struct sweep {
    std::string route;
    backend_behavior behavior;
    std::string headers;
};

/// One request, which is ended after a number of handlers.
class interrupted_request {
  public:
    explicit interrupted_request(const sweep& played) : rejects_(rejects(played.behavior)) {
        world_.apply_configuration();
        for (int number = 0; number < back_end_count; ++number) {
            backends_.push_back(&world_.add_backend(played.behavior, "v1"));
        }
        caller_ = world_.connect();
        caller_->send(forwarder_world::request(played.route, request_id, played.headers));
    }

    /// @return false when the request ended or came to rest before that many handlers
    bool run_handlers(int count) {
        const instant started = http::steady_now();
        for (int handler = 0; handler < count; ++handler) {
            if (has_ended() || http::steady_now() - started > longest_request ||
                !world_.run_one_handler(idle_time)) {
                return false;
            }
        }
        return true;
    }

    void end(request_end how) {
        sends_before_ = sends();
        if (how == request_end::cut_off) {
            world_.cut_off();
        } else {
            caller_->close();
        }
        CPPUNIT_ASSERT_MESSAGE(
            "the request has no end",
            world_.run_until([&] { return world_.callers.active_request_count() == 0; },
                             end_limit));
        world_.run_for(settling_time);
    }

    /// Checks what the caller was told, after a cut-off.
    void check_answer(const std::string& point) {
        static const std::set<std::string> promises{"408", "421", "429", "503"};
        const std::string status = caller_->received().substr(0, 12);
        const bool promised = status.size() == 12 && promises.contains(status.substr(9));
        const bool ran = !rejects_ && sends() > 0;
        CPPUNIT_ASSERT_MESSAGE(point + ": ran, answered " + status, !(ran && promised));
        CPPUNIT_ASSERT_MESSAGE(point + ": the caller is left waiting", caller_->ended());
    }

    /// Checks that the request wasn't sent after its end. One send may have been under way.
    void check_sends(const std::string& point) {
        CPPUNIT_ASSERT_MESSAGE(point + ": sent again", sends() <= sends_before_ + 1);
    }

  private:
    static bool rejects(backend_behavior behavior) {
        return behavior == backend_behavior::rejects ||
               behavior == backend_behavior::rejects_partly;
    }
    [[nodiscard]] std::size_t sends() const {
        std::size_t count = 0;
        for (const counting_backend* backend : backends_) {
            count += backend->requests().size();
        }
        return count;
    }
    bool has_ended() {
        began_ = began_ || world_.callers.active_request_count() > 0;
        return began_ && caller_->received_text("HTTP/1.1") &&
               world_.callers.active_request_count() == 0;
    }

    forwarder_world world_;
    std::vector<counting_backend*> backends_;
    std::unique_ptr<raw_caller> caller_;
    bool rejects_;
    bool began_ = false;
    std::size_t sends_before_ = 0;
};

}  // namespace

class not_run_promise_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(not_run_promise_test);
    CPPUNIT_TEST(request_that_ran_is_not_promised_otherwise_while_its_back_end_is_examined);
    CPPUNIT_TEST(request_cut_off_at_any_point_gets_a_true_answer);
    CPPUNIT_TEST(request_of_a_caller_that_left_is_not_sent_again);
    CPPUNIT_TEST(request_that_ran_keeps_its_permit_at_a_cut_off);
    CPPUNIT_TEST(request_that_did_not_run_returns_its_permit_at_a_cut_off);
    CPPUNIT_TEST_SUITE_END();

    /// Ends the request after one handler, two handlers and so on.
    static void play(const sweep& played, request_end how) {
        bool is_running = true;
        for (int handlers = 1; is_running && handlers <= max_handlers; ++handlers) {
            interrupted_request request(played);
            is_running = request.run_handlers(handlers);
            const std::string point = played.route + ", back ends of kind " +
                                      std::to_string(static_cast<int>(played.behavior)) +
                                      ", after handler " + std::to_string(handlers);
            request.end(how);
            request.check_sends(point);
            if (how == request_end::cut_off) {
                request.check_answer(point);
            }
        }
    }

    static std::vector<sweep> all_sweeps() {
        using enum backend_behavior;
        const std::string soon = "X-Deadline-Ms: 300\r\n";
        std::vector<sweep> sweeps;
        for (const backend_behavior behavior :
             {silent, rejects, rejects_partly, answers, starts_answer, closes, ends, loses_power}) {
            sweeps.push_back({"once", behavior, soon});
        }
        for (const backend_behavior behavior : {rejects, closes, loses_power}) {
            sweeps.push_back({"repeatable", behavior, soon});
        }
        for (const backend_behavior behavior :
             {starts_answer, loses_power, breaks_stream, dies_in_stream}) {
            sweeps.push_back({"resumable", behavior, soon});
        }
        return sweeps;
    }

    /// A back end without power resets the request; the cut-off comes during the probe.
    void request_that_ran_is_not_promised_otherwise_while_its_back_end_is_examined() {
        play({"once", backend_behavior::loses_power, {}}, request_end::cut_off);
    }

    void request_cut_off_at_any_point_gets_a_true_answer() {
        for (const sweep& each : all_sweeps()) {
            play(each, request_end::cut_off);
        }
    }

    void request_of_a_caller_that_left_is_not_sent_again() {
        for (const sweep& each : all_sweeps()) {
            play(each, request_end::caller_closes);
        }
    }

    /// Cuts off a request of a tenant with a single permit. @return whether the permit is free then
    static bool frees_permit(backend_behavior behavior) {
        settings::node_settings settings = forwarder_settings();
        settings.quota_window = std::chrono::seconds(5);
        settings.quota_lease = std::chrono::seconds(2);
        forwarder_world world(settings);
        routing::tenant tenant;
        tenant.name = "tenant";
        tenant.keys = {"key"};
        tenant.rate_per_second = 1;
        world.configured_tenants = {tenant};
        world.apply_configuration();
        const counting_backend& backend = world.add_backend(behavior);
        const auto caller = world.connect();
        caller->send(forwarder_world::request("once", request_id, "X-Credential: key\r\n"));
        CPPUNIT_ASSERT(world.run_until([&] { return !backend.requests().empty(); }));
        // The request is examined, or waits to be sent again.
        world.remove_backends();
        world.run_for(std::chrono::milliseconds(20));
        world.cut_off();
        CPPUNIT_ASSERT(world.run_until([&] { return world.callers.active_request_count() == 0; }));
        std::optional<tenants::permit_state> state;
        asio::co_spawn(world.process.loop(),
                       world.quotas.acquire(tenant.name, tenants::permit_need::running_program),
                       [&](const std::exception_ptr&, const tenants::permit_decision& decision) {
                           state = decision.state;
                       });
        CPPUNIT_ASSERT(world.run_until([&] { return state.has_value(); }));
        return *state == tenants::permit_state::granted;
    }

    void request_that_ran_keeps_its_permit_at_a_cut_off() {
        CPPUNIT_ASSERT(!frees_permit(backend_behavior::loses_power));
    }

    void request_that_did_not_run_returns_its_permit_at_a_cut_off() {
        CPPUNIT_ASSERT(frees_permit(backend_behavior::rejects));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(not_run_promise_test);

}  // namespace tallyfold::tests
