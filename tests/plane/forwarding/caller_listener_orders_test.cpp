/// @file
/// Checks in every order of events on a caller's connection that no request is lost: one that was
/// passed on to a back end is answered whole, unless its caller left.

#include <thread>

#include "tests/plane/forwarding/forwarder_world.hpp"

namespace tallyfold::tests {

using namespace forwarding;

namespace {

/// Below the length of a slow turn, so that the idle timeout comes due together with other events.
constexpr std::uint32_t short_idle_ms = 1;
constexpr std::size_t orders_per_case = 12;
constexpr duration slow_turn = std::chrono::milliseconds(2);

enum class connection_event : std::uint8_t {
    part_of_request_arrives,
    request_arrives,
    two_requests_arrive,
    handler_runs,
    all_ready_handlers_run,
    loop_is_slow,
    stop,
    accept_time_ends,
    answer_ends,
    configuration_applied,
    caller_leaves,
};

/// Names the event in a counterexample.
std::ostream& operator<<(std::ostream& stream, connection_event event) {
    constexpr std::array names{"part_of_request_arrives",
                               "request_arrives",
                               "two_requests_arrive",
                               "handler_runs",
                               "all_ready_handlers_run",
                               "loop_is_slow",
                               "stop",
                               "accept_time_ends",
                               "answer_ends",
                               "configuration_applied",
                               "caller_leaves"};
    return stream << names.at(static_cast<std::size_t>(event));
}

/// One caller's connection to a forwarder, to which events happen in a given order.
class event_sequence {
  public:
    event_sequence() : backend_(world_.add_backend(backend_behavior::holds)) {
        world_.apply_configuration(20'000, short_idle_ms);
        caller_ = world_.connect();
    }

    void apply(connection_event event) {
        switch (event) {
            case connection_event::part_of_request_arrives:
                send_part();
                break;
            case connection_event::request_arrives:
                send_rest();
                break;
            case connection_event::two_requests_arrive:
                unsent_ += next_request();
                send_rest();
                break;
            case connection_event::handler_runs:
                world_.process.loop().restart();
                world_.process.loop().poll_one();
                break;
            case connection_event::all_ready_handlers_run:
                world_.process.loop().restart();
                world_.process.loop().poll();
                break;
            case connection_event::loop_is_slow:
                std::this_thread::sleep_for(slow_turn);
                break;
            case connection_event::stop:
                world_.context.stopping = true;
                break;
            case connection_event::accept_time_ends:
                world_.context.stopping = true;
                world_.callers.stop_accepting();
                break;
            case connection_event::answer_ends:
                backend_.release();
                break;
            case connection_event::configuration_applied:
                world_.apply_configuration(20'000, short_idle_ms);
                break;
            case connection_event::caller_leaves:
                left_ = true;
                caller_->close();
                break;
        }
    }

    /// Lets all requests end. @return true when every request that was passed on is answered whole
    bool ends_without_loss() {
        backend_.answer_all();
        const bool answered = world_.run_until([this] { return left_ || all_are_answered(); },
                                               std::chrono::seconds(2));
        return answered;
    }
    [[nodiscard]] std::size_t passed_on() const { return backend_.requests().size(); }

  private:
    std::string next_request() {
        return forwarder_world::request("once", "r" + std::to_string(++requests_));
    }
    void send_part() {
        if (unsent_.empty()) {
            unsent_ = next_request();
        }
        const std::size_t half = unsent_.size() / 2;
        send(unsent_.substr(0, half));
        unsent_.erase(0, half);
    }
    void send_rest() {
        if (unsent_.empty()) {
            unsent_ = next_request();
        }
        send(unsent_);
        unsent_.clear();
    }
    void send(const std::string& bytes) {
        if (!left_) {
            caller_->send(bytes);
        }
    }
    bool all_are_answered() {
        for (const std::string& id : backend_.requests()) {
            const std::size_t head = caller_->received().find("X-Request-Id: " + id + "\r\n");
            if (head == std::string::npos ||
                caller_->received().find("\r\n\r\nok", head) == std::string::npos) {
                return false;
            }
        }
        return world_.callers.active_request_count() == 0 || !unsent_.empty();
    }

    forwarder_world world_;
    counting_backend& backend_;
    std::unique_ptr<raw_caller> caller_;
    std::string unsent_;
    int requests_ = 0;
    bool left_ = false;
};

}  // namespace

class caller_listener_orders_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(caller_listener_orders_test);
    CPPUNIT_TEST(no_order_of_events_loses_a_request);
    CPPUNIT_TEST_SUITE_END();

    void no_order_of_events_loses_a_request() {
        check_property("a request that was passed on is answered", [] {
            // Frequent enough to pass requests on before the events that end connections.
            const auto event = rc::gen::weightedElement<connection_event>({
                {2, connection_event::part_of_request_arrives},
                {5, connection_event::request_arrives},
                {2, connection_event::two_requests_arrive},
                {6, connection_event::handler_runs},
                {6, connection_event::all_ready_handlers_run},
                {2, connection_event::loop_is_slow},
                {1, connection_event::stop},
                {1, connection_event::accept_time_ends},
                {3, connection_event::answer_ends},
                {1, connection_event::configuration_applied},
                {1, connection_event::caller_leaves},
            });
            // Several orders a case: only a few of them bring the decisive events into one turn.
            const auto orders = *rc::gen::container<std::vector<std::vector<connection_event>>>(
                orders_per_case, rc::gen::container<std::vector<connection_event>>(event));
            std::size_t passed_on = 0;
            for (const auto& events : orders) {
                event_sequence sequence;
                for (const connection_event next : events) {
                    sequence.apply(next);
                }
                RC_ASSERT(sequence.ends_without_loss());
                passed_on += sequence.passed_on();
            }
            RC_CLASSIFY(passed_on > 0, "passed on");
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_listener_orders_test);

}  // namespace tallyfold::tests
