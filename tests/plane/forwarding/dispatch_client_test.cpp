/// @file
/// Places at engines when the directory nodes that dispatch them answer late, not at all, or for
/// another process; and what the sending of requests makes of their answers. On loopback sockets.

#include "tests/plane/forwarding/fake_dispatcher.hpp"
#include "tests/plane/forwarding/forwarder_world.hpp"

namespace tallyfold::tests {

using namespace forwarding;
using dispatch::release_outcome;
using std::chrono::milliseconds;

namespace {

settings::node_settings dispatch_settings(std::size_t from_nodes) {
    settings::node_settings settings = forwarder_settings();
    settings.dispatch_from_nodes = from_nodes;
    return settings;
}

/// A request for a place, and its result once there is one.
struct asked_place {
    dispatch::place_request question;
    std::optional<place_result> result;
};
using asked_pointer = std::shared_ptr<asked_place>;

asio::awaitable<void> wait_for(dispatch_client& client, asked_pointer asked) {
    const place_result result = co_await client.acquire(asked->question, 1);
    asked->result = result;
}

/// A forwarder that is connected to directory nodes.
class dispatch_world {
  public:
    explicit dispatch_world(std::size_t node_count,
                            std::size_t from_nodes = fake_dispatcher::active_nodes)
        : world(dispatch_settings(from_nodes)) {
        world.serves_engines = true;
        world.apply_configuration();
        world.dispatch.start();
        started_at = http::steady_now();
        std::vector<std::string> addresses;
        for (std::size_t number = 0; number < node_count; ++number) {
            nodes.push_back(std::make_unique<fake_dispatcher>(world.process.loop(),
                                                              forwarder_world::own_address()));
            addresses.push_back(nodes.back()->address());
        }
        world.directory.add_seeds(addresses);
        CPPUNIT_ASSERT(run_until([&] {
            return world.directory.active_nodes() > 0 &&
                   std::all_of(addresses.begin(), addresses.end(),
                               [&](const node_name& node) { return supports_dispatch(node); });
        }));
    }

    [[nodiscard]] bool supports_dispatch(const node_name& node) const {
        return world.directory.supports(node, protocol::format_version::v4);
    }
    bool run_until(const std::function<bool()>& reached, duration limit = std::chrono::seconds(5)) {
        return world.run_until(reached, limit);
    }

    /// The node at this position in the order of the service's only group.
    fake_dispatcher& node(std::size_t position, const std::string& service = "service") {
        const auto order = dispatch::dispatch_order({service, 0}, world.directory.addresses(), {});
        const auto found = std::find_if(nodes.begin(), nodes.end(), [&](const auto& each) {
            return each->address() == order[position];
        });
        return **found;
    }

    asked_pointer ask(std::uint32_t longest_wait_ms = 5'000,
                      const std::string& service = "service") {
        auto asked = std::make_shared<asked_place>();
        asked->question.service = service;
        asked->question.longest_wait_ms = longest_wait_ms;
        asked->question.call = world.dispatch.next_call();
        asio::co_spawn(world.process.loop(), wait_for(world.dispatch, asked), asio::detached);
        return asked;
    }
    /// Requests a place and waits for the result.
    place_result acquire(std::uint32_t longest_wait_ms = 5'000,
                         const std::string& service = "service") {
        const asked_pointer asked = ask(longest_wait_ms, service);
        CPPUNIT_ASSERT(run_until([&] { return asked->result.has_value(); }));
        return *asked->result;
    }
    /// Reports that the call is sent to "backend-0".
    void send(const place_result& place) {
        world.dispatch.sent(place, "service", "backend-0", 0, 9, 1);
    }
    /// Releases a call that was answered.
    void finish(const place_result& place) {
        dispatch::released_call ended;
        ended.call = place.call;
        ended.service = "service";
        ended.outcome = release_outcome::answered;
        ended.engine = "backend-0";
        world.dispatch.release(ended);
    }

    forwarder_world world;
    std::vector<std::unique_ptr<fake_dispatcher>> nodes;
    instant started_at;
};

}  // namespace

class dispatch_client_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(dispatch_client_test);
    CPPUNIT_TEST(granted_place_is_returned);
    CPPUNIT_TEST(waiting_call_repeats_its_request_until_it_is_granted);
    CPPUNIT_TEST(refused_place_is_returned);
    CPPUNIT_TEST(node_that_knows_no_service_is_passed_over);
    CPPUNIT_TEST(node_that_knows_no_service_is_asked_for_others);
    CPPUNIT_TEST(node_without_an_engine_for_a_call_is_asked_for_others);
    CPPUNIT_TEST(call_without_an_answer_is_decided_alone_and_reported_to_the_next_node);
    CPPUNIT_TEST(running_calls_move_with_the_dispatcher);
    CPPUNIT_TEST(running_calls_move_back_after_an_answer_only);
    CPPUNIT_TEST(late_grant_is_given_back);
    CPPUNIT_TEST(late_grant_of_a_reported_call_is_kept);
    CPPUNIT_TEST(node_goes_silent_while_a_call_waits);
    CPPUNIT_TEST(cancelled_wait_is_withdrawn);
    CPPUNIT_TEST(call_is_sent_without_a_place_after_its_longest_wait);
    CPPUNIT_TEST(restarted_dispatcher_learns_of_running_calls);
    CPPUNIT_TEST(node_of_an_earlier_format_is_not_asked);
    CPPUNIT_TEST(answer_for_another_process_is_ignored);
    CPPUNIT_TEST(engine_that_has_left_is_not_used);
    CPPUNIT_TEST(refused_request_is_answered_before_it_is_sent);
    CPPUNIT_TEST(request_that_may_have_run_is_not_refused);
    CPPUNIT_TEST(request_that_was_rejected_is_not_refused);
    CPPUNIT_TEST(place_is_released_when_a_stream_was_received);
    CPPUNIT_TEST(place_is_released_when_a_buffered_answer_was_received);
    CPPUNIT_TEST(resumed_stream_is_reported_at_once);
    CPPUNIT_TEST(caller_leaves_while_its_call_waits);
    CPPUNIT_TEST(nothing_is_asked_while_dispatch_is_off);
    CPPUNIT_TEST_SUITE_END();

    void granted_place_is_returned() {
        dispatch_world test(2);
        const place_result place = test.acquire();
        CPPUNIT_ASSERT(place.kind == place_kind::granted);
        CPPUNIT_ASSERT_EQUAL(backend_name("backend-0"), place.engine);
        CPPUNIT_ASSERT_EQUAL(token_count{5}, place.cached_tokens);
        CPPUNIT_ASSERT(place.waited == milliseconds(7));
        CPPUNIT_ASSERT_EQUAL(test.node(0).address(), place.dispatcher);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, test.node(0).requests.size());
        CPPUNIT_ASSERT_EQUAL(std::string("forwarder"), test.node(0).requests.front().node);
        CPPUNIT_ASSERT_EQUAL(place.call, test.node(0).requests.front().call);
        CPPUNIT_ASSERT(test.node(1).requests.empty());
        // A grant that is repeated while the call runs is not given back.
        test.send(place);
        test.node(0).grant(test.node(0).requests.front());
        test.world.run_for(milliseconds(50));
        CPPUNIT_ASSERT(test.node(0).released.empty());
    }

    /// Guards against a call that leaves the queue because its request was not repeated.
    void waiting_call_repeats_its_request_until_it_is_granted() {
        dispatch_world test(1);
        fake_dispatcher& node = test.node(0);
        node.reply = place_reply::waits;
        const asked_pointer asked = test.ask();
        CPPUNIT_ASSERT(test.run_until([&] { return node.requests.size() == 3; }));
        CPPUNIT_ASSERT(!asked->result.has_value());
        CPPUNIT_ASSERT_EQUAL(node.requests[0].call, node.requests[2].call);
        node.grant(node.requests.front());
        CPPUNIT_ASSERT(test.run_until([&] { return asked->result.has_value(); }));
        CPPUNIT_ASSERT(asked->result->kind == place_kind::granted);
        CPPUNIT_ASSERT(node.released.empty());
    }

    void refused_place_is_returned() {
        dispatch_world test(1);
        test.node(0).reply = place_reply::refuses;
        const place_result place = test.acquire();
        CPPUNIT_ASSERT(place.kind == place_kind::refused);
        CPPUNIT_ASSERT(place.reason == dispatch::place_reason::wait_too_long);
        CPPUNIT_ASSERT(place.retry_after == milliseconds(fake_dispatcher::retry_after_ms));
        CPPUNIT_ASSERT_EQUAL(test.node(0).address(), place.dispatcher);
    }

    /// Guards against calls without places while the first node in the order has just started and
    /// has no list of back ends.
    void node_that_knows_no_service_is_passed_over() {
        dispatch_world test(2);
        test.node(0).reply = place_reply::unknown_service;
        CPPUNIT_ASSERT(test.acquire().kind == place_kind::alone);
        CPPUNIT_ASSERT(test.acquire().kind == place_kind::granted);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, test.node(0).requests.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, test.node(1).requests.size());
    }

    /// Guards against a service without engines for which the calls of all others are decided
    /// alone.
    void node_that_knows_no_service_is_asked_for_others() {
        dispatch_world test(1);
        test.node(0).reply = place_reply::unknown_service;
        CPPUNIT_ASSERT(test.acquire(5'000, "empty").kind == place_kind::alone);
        test.node(0).reply = place_reply::grants;
        CPPUNIT_ASSERT(test.acquire().kind == place_kind::granted);
        CPPUNIT_ASSERT(test.acquire(5'000, "empty").kind == place_kind::alone);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, test.node(0).requests.size());
    }

    /// Guards against one call that has tried all engines, for which those after it are decided
    /// alone.
    void node_without_an_engine_for_a_call_is_asked_for_others() {
        dispatch_world test(1);
        test.node(0).reply = place_reply::no_engine;
        CPPUNIT_ASSERT(test.acquire().kind == place_kind::alone);
        test.node(0).reply = place_reply::grants;
        CPPUNIT_ASSERT(test.acquire().kind == place_kind::granted);
    }

    void call_without_an_answer_is_decided_alone_and_reported_to_the_next_node() {
        dispatch_world test(2);
        test.node(0).reply = place_reply::silent;
        const instant asked_at = http::steady_now();
        const place_result place = test.acquire();
        CPPUNIT_ASSERT(place.kind == place_kind::alone);
        CPPUNIT_ASSERT(http::steady_now() - asked_at >= milliseconds(40));
        test.send(place);
        CPPUNIT_ASSERT(test.run_until([&] { return test.node(1).has_renewed(place.call); },
                                      milliseconds(300)));
        // The request is withdrawn, for a node that was only late.
        CPPUNIT_ASSERT(test.run_until(
            [&] { return test.node(0).was_released(place.call, release_outcome::not_sent); }));
        const place_result next = test.acquire();
        CPPUNIT_ASSERT(next.kind == place_kind::granted);
        CPPUNIT_ASSERT_EQUAL(test.node(1).address(), next.dispatcher);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, test.node(0).requests.size());
        test.finish(place);
        CPPUNIT_ASSERT(test.run_until(
            [&] { return test.node(1).was_released(place.call, release_outcome::answered); }));
    }

    /// Guards against a dispatcher that takes over and counts the running calls only from their
    /// next renewal on.
    void running_calls_move_with_the_dispatcher() {
        dispatch_world test(2);
        const place_result running = test.acquire();
        test.send(running);
        test.node(0).reply = place_reply::silent;
        CPPUNIT_ASSERT(test.acquire().kind == place_kind::alone);
        CPPUNIT_ASSERT(test.run_until([&] { return test.node(1).has_renewed(running.call); },
                                      milliseconds(200)));
        test.finish(running);
        CPPUNIT_ASSERT(test.run_until(
            [&] { return test.node(1).was_released(running.call, release_outcome::answered); }));
    }

    /// Guards against leases that expire at the node which decides, because the renewals go to a
    /// silent node once it may be asked again.
    void running_calls_move_back_after_an_answer_only() {
        dispatch_world test(2);
        fake_dispatcher& first = test.node(0);
        fake_dispatcher& second = test.node(1);
        const place_result running = test.acquire();
        test.send(running);
        first.reply = place_reply::silent;
        CPPUNIT_ASSERT(test.acquire().kind == place_kind::alone);
        first.renewed.clear();
        test.world.run_for(milliseconds(1'200));
        second.renewed.clear();
        CPPUNIT_ASSERT(test.run_until([&] { return second.has_renewed(running.call); }));
        CPPUNIT_ASSERT(!first.has_renewed(running.call));
        // The next request tries the first node again; it is still silent, now for two seconds.
        CPPUNIT_ASSERT(test.acquire().kind == place_kind::alone);
        CPPUNIT_ASSERT(test.acquire().dispatcher == second.address());
        first.reply = place_reply::grants;
        test.world.run_for(milliseconds(2'000));
        CPPUNIT_ASSERT(!first.has_renewed(running.call));
        CPPUNIT_ASSERT(test.acquire().dispatcher == first.address());
        CPPUNIT_ASSERT(
            test.run_until([&] { return first.has_renewed(running.call); }, milliseconds(700)));
    }

    /// Guards against slots that stay taken by calls which were sent elsewhere.
    void late_grant_is_given_back() {
        dispatch_world test(2);
        fake_dispatcher& late = test.node(0);
        late.reply = place_reply::silent;
        const place_result place = test.acquire();
        test.send(place);
        CPPUNIT_ASSERT(test.run_until([&] { return late.released.size() == 1; }));
        late.grant(late.requests.front());
        CPPUNIT_ASSERT(test.run_until([&] { return late.released.size() == 2; }));
        CPPUNIT_ASSERT_EQUAL(place.call, late.released.back().call);
        CPPUNIT_ASSERT(late.released.back().outcome == release_outcome::not_sent);
        // The answer ends the silence.
        late.reply = place_reply::grants;
        CPPUNIT_ASSERT_EQUAL(late.address(), test.acquire().dispatcher);
    }

    /// Guards against a running call that its dispatcher no longer counts.
    void late_grant_of_a_reported_call_is_kept() {
        dispatch_world test(1);
        fake_dispatcher& node = test.node(0);
        node.reply = place_reply::waits;
        const place_result place = test.acquire(50);
        CPPUNIT_ASSERT(place.kind == place_kind::alone);
        test.send(place);
        CPPUNIT_ASSERT(test.run_until([&] { return node.has_renewed(place.call); }));
        const std::size_t released = node.released.size();
        node.grant(node.requests.front());
        test.world.run_for(milliseconds(50));
        CPPUNIT_ASSERT_EQUAL(released, node.released.size());
    }

    void node_goes_silent_while_a_call_waits() {
        dispatch_world test(2);
        fake_dispatcher& node = test.node(0);
        node.reply = place_reply::silent;
        node.next_replies = {place_reply::waits};
        const instant asked_at = http::steady_now();
        const place_result place = test.acquire();
        const duration took = http::steady_now() - asked_at;
        CPPUNIT_ASSERT(place.kind == place_kind::alone);
        // The request was repeated after 200 ms, and was not answered for 40 ms.
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, node.requests.size());
        CPPUNIT_ASSERT(took >= milliseconds(240));
        CPPUNIT_ASSERT(took < milliseconds(1'000));
        CPPUNIT_ASSERT(test.acquire().dispatcher == test.node(1).address());
    }

    void cancelled_wait_is_withdrawn() {
        dispatch_world test(1);
        fake_dispatcher& node = test.node(0);
        node.reply = place_reply::waits;
        const asked_pointer asked = test.ask();
        CPPUNIT_ASSERT(test.run_until([&] { return !node.requests.empty(); }));
        test.world.dispatch.cancel(asked->question.call);
        CPPUNIT_ASSERT(test.run_until(
            [&] { return node.was_released(asked->question.call, release_outcome::not_sent); }));
        CPPUNIT_ASSERT(asked->result.has_value());
        CPPUNIT_ASSERT(asked->result->kind == place_kind::alone);
        // The node has answered, so it is not silent.
        node.reply = place_reply::grants;
        CPPUNIT_ASSERT(test.acquire().kind == place_kind::granted);
    }

    /// Guards against a call that waits for ever at a dispatcher which keeps it in its queue.
    void call_is_sent_without_a_place_after_its_longest_wait() {
        dispatch_world test(1);
        fake_dispatcher& node = test.node(0);
        node.reply = place_reply::waits;
        const instant asked_at = http::steady_now();
        const place_result place = test.acquire(100);
        CPPUNIT_ASSERT(place.kind == place_kind::alone);
        CPPUNIT_ASSERT(http::steady_now() - asked_at >= milliseconds(200));
        CPPUNIT_ASSERT(test.run_until(
            [&] { return node.was_released(place.call, release_outcome::not_sent); }));
        node.reply = place_reply::grants;
        CPPUNIT_ASSERT(test.acquire().kind == place_kind::granted);
    }

    /// Guards against a new dispatcher that grants the slots of calls which are under way: a call
    /// younger than 500 ms is not renewed otherwise.
    void restarted_dispatcher_learns_of_running_calls() {
        dispatch_world test(1);
        fake_dispatcher& node = test.node(0);
        // Renewals come every 500 ms from the start on.
        test.world.run_for(test.started_at + milliseconds(520) - http::steady_now());
        const place_result running = test.acquire();
        test.send(running);
        CPPUNIT_ASSERT(!node.has_renewed(running.call));
        node.kill();
        CPPUNIT_ASSERT(test.run_until([&] { return !test.supports_dispatch(node.address()); }));
        node.restart();
        CPPUNIT_ASSERT(test.run_until([&] { return node.has_renewed(running.call); },
                                      test.started_at + milliseconds(1'250) - http::steady_now()));
        CPPUNIT_ASSERT_EQUAL(backend_name("backend-0"), node.renewed.front().engine);
        CPPUNIT_ASSERT(node.renewed.front().tokens == 9);
        // Later renewals name it again.
        node.renewed.clear();
        CPPUNIT_ASSERT(test.run_until([&] { return node.has_renewed(running.call); }));
    }

    /// Guards against messages that an earlier build has to pass over, and against calls that wait
    /// for its answer.
    void node_of_an_earlier_format_is_not_asked() {
        dispatch_world test(1);
        third_format_node earlier(test.world.process.loop(), forwarder_world::own_address());
        test.world.directory.add_seeds({earlier.address()});
        CPPUNIT_ASSERT(test.run_until([&] {
            return test.world.directory.supports(earlier.address(), protocol::format_version::v3);
        }));
        std::size_t first_choices = 0;
        for (int number = 0; number < 12; ++number) {
            const std::string service = "service-" + std::to_string(number);
            const auto order =
                dispatch::dispatch_order({service, 0}, test.world.directory.addresses(), {});
            first_choices += order.front() == earlier.address() ? 1 : 0;
            CPPUNIT_ASSERT(test.acquire(5'000, service).kind == place_kind::granted);
        }
        CPPUNIT_ASSERT(first_choices > 0);
        // Without a node of format v4 the call does not wait for an answer.
        test.nodes.front()->kill();
        CPPUNIT_ASSERT(
            test.run_until([&] { return !test.supports_dispatch(test.nodes.front()->address()); }));
        const instant asked_at = http::steady_now();
        const place_result place = test.acquire();
        CPPUNIT_ASSERT(place.kind == place_kind::alone);
        CPPUNIT_ASSERT(http::steady_now() - asked_at < milliseconds(40));
        test.send(place);
        test.world.run_for(milliseconds(50));
        CPPUNIT_ASSERT(!earlier.kinds().empty());
        for (const std::uint32_t kind : earlier.kinds()) {
            CPPUNIT_ASSERT(kind < messaging::kinds_in_third_format);
        }
    }

    /// Guards against grants that were meant for the process before a restart, with the same call
    /// numbers.
    void answer_for_another_process_is_ignored() {
        dispatch_world test(1);
        fake_dispatcher& node = test.node(0);
        node.reply = place_reply::grants_other_process;
        const place_result place = test.acquire();
        CPPUNIT_ASSERT(place.kind == place_kind::alone);
        // One withdrawal because of the silence, none in answer to the grant.
        test.world.run_for(milliseconds(50));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, node.released.size());
    }

    /// Guards against requests to an engine that the dispatcher still lists.
    void engine_that_has_left_is_not_used() {
        dispatch_world test(1);
        fake_dispatcher& node = test.node(0);
        node.engine = "backend-9";
        counting_backend& backend = test.world.add_backend(backend_behavior::holds);
        const auto caller = test.world.connect();
        caller->send(forwarder_world::request("once", "r1"));
        CPPUNIT_ASSERT(test.run_until([&] { return backend.requests().size() == 1; }));
        const dispatch::call_number call = node.requests.front().call;
        CPPUNIT_ASSERT(test.run_until([&] { return node.has_renewed(call); }));
        CPPUNIT_ASSERT(node.was_released(call, release_outcome::not_sent));
        CPPUNIT_ASSERT_EQUAL(backend_name("backend-0"), node.renewed.front().engine);
        backend.answer_all();
        CPPUNIT_ASSERT(test.run_until([&] { return caller->received_text("HTTP/1.1 200"); }));
        CPPUNIT_ASSERT(
            test.run_until([&] { return node.was_released(call, release_outcome::answered); }));
    }

    void refused_request_is_answered_before_it_is_sent() {
        dispatch_world test(1);
        test.node(0).reply = place_reply::refuses;
        const counting_backend& backend = test.world.add_backend(backend_behavior::answers);
        const auto caller = test.world.connect();
        caller->send(forwarder_world::request("once", "r1"));
        CPPUNIT_ASSERT(test.run_until([&] { return caller->received_text("\r\n\r\n"); }));
        CPPUNIT_ASSERT(caller->received().starts_with("HTTP/1.1 503"));
        CPPUNIT_ASSERT(caller->received_text("wait_too_long"));
        const std::string field = "Retry-After: ";
        const std::size_t found = caller->received().find(field);
        CPPUNIT_ASSERT(found != std::string::npos);
        const double seconds = std::stod(caller->received().substr(found + field.size()));
        CPPUNIT_ASSERT(seconds >= 1.5);
        CPPUNIT_ASSERT(seconds <= 2.25);
        CPPUNIT_ASSERT(backend.requests().empty());
        CPPUNIT_ASSERT(test.node(0).released.empty());
    }

    /// Sends a request whose first attempt fails at "backend-0" and whose second place is refused.
    static void refuse_second_place(dispatch_world& test, backend_behavior first_attempt) {
        fake_dispatcher& node = test.node(0);
        node.reply = place_reply::refuses;
        node.next_replies = {place_reply::grants};
        const counting_backend& failing = test.world.add_backend(first_attempt);
        const counting_backend& second = test.world.add_backend(backend_behavior::answers);
        const auto caller = test.world.connect();
        caller->send(forwarder_world::request("repeatable", "r1"));
        CPPUNIT_ASSERT(test.run_until([&] { return caller->received_text("\r\n\r\nok"); }));
        CPPUNIT_ASSERT(caller->received().starts_with("HTTP/1.1 200"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, failing.requests().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second.requests().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, node.requests.size());
        CPPUNIT_ASSERT(node.requests[0].excluded.empty());
        CPPUNIT_ASSERT(node.requests[1].excluded == std::vector<backend_name>{"backend-0"});
        CPPUNIT_ASSERT(node.requests[1].call > node.requests[0].call);
        CPPUNIT_ASSERT(test.run_until([&] { return node.released.size() == 2; }));
        CPPUNIT_ASSERT_EQUAL(node.requests[0].call, node.released[0].call);
        CPPUNIT_ASSERT_EQUAL(backend_name("backend-0"), node.released[0].engine);
        CPPUNIT_ASSERT_EQUAL(node.requests[1].call, node.released[1].call);
        CPPUNIT_ASSERT(node.released[1].outcome == release_outcome::answered);
        CPPUNIT_ASSERT_EQUAL(backend_name("backend-1"), node.released[1].engine);
    }

    /// Guards against a refusal that tells the caller that nothing has run.
    void request_that_may_have_run_is_not_refused() {
        dispatch_world test(1);
        refuse_second_place(test, backend_behavior::closes);
        CPPUNIT_ASSERT(test.node(0).released[0].outcome == release_outcome::failed);
    }

    void request_that_was_rejected_is_not_refused() {
        dispatch_world test(1);
        refuse_second_place(test, backend_behavior::rejects);
        CPPUNIT_ASSERT(test.node(0).released[0].outcome == release_outcome::not_sent);
    }

    /// Guards against a slot that counts as taken while the caller still reads the answer.
    void place_is_released_when_a_stream_was_received() {
        dispatch_world test(1);
        fake_dispatcher& node = test.node(0);
        counting_backend& backend = test.world.add_backend(backend_behavior::starts_answer);
        const auto caller = test.world.connect();
        caller->send(forwarder_world::request("turn", "r1"));
        CPPUNIT_ASSERT(test.run_until([&] { return caller->received_text("ok\r\n"); }));
        test.world.run_for(milliseconds(50));
        CPPUNIT_ASSERT(node.released.empty());
        backend.release();
        CPPUNIT_ASSERT(test.run_until([&] { return !node.released.empty(); }));
        CPPUNIT_ASSERT(node.released.front().outcome == release_outcome::answered);
        CPPUNIT_ASSERT_EQUAL(backend_name("backend-0"), node.released.front().engine);
        CPPUNIT_ASSERT_EQUAL(std::string("service"), node.released.front().service);
        test.world.run_for(milliseconds(50));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, node.released.size());
    }

    /// Guards against answered calls that the dispatcher takes for calls which were not sent, and
    /// learns nothing from.
    void place_is_released_when_a_buffered_answer_was_received() {
        dispatch_world test(1);
        fake_dispatcher& node = test.node(0);
        test.world.add_backend(backend_behavior::answers);
        const auto caller = test.world.connect();
        caller->send(forwarder_world::request("once", "r1"));
        CPPUNIT_ASSERT(test.run_until([&] { return caller->received_text("\r\n\r\nok"); }));
        CPPUNIT_ASSERT(test.run_until([&] { return !node.released.empty(); }));
        CPPUNIT_ASSERT(node.released.front().outcome == release_outcome::answered);
        CPPUNIT_ASSERT_EQUAL(backend_name("backend-0"), node.released.front().engine);
    }

    /// Guards against a slot that is granted to another call while a resumed stream takes it: the
    /// place was released with the attempt that broke off.
    void resumed_stream_is_reported_at_once() {
        dispatch_world test(1);
        fake_dispatcher& node = test.node(0);
        counting_backend& backend = test.world.add_backend(backend_behavior::breaks_stream);
        const auto caller = test.world.connect();
        caller->send(forwarder_world::request("resumable", "r1"));
        CPPUNIT_ASSERT(test.run_until([&] { return caller->received_text("id: 2\n"); }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, backend.requests().size());
        const dispatch::call_number call = node.requests.front().call;
        CPPUNIT_ASSERT(test.run_until([&] { return node.has_renewed(call); }, milliseconds(250)));
        CPPUNIT_ASSERT(node.was_released(call, release_outcome::failed));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, node.requests.size());
        backend.release();
        CPPUNIT_ASSERT(
            test.run_until([&] { return node.was_released(call, release_outcome::answered); }));
    }

    void caller_leaves_while_its_call_waits() {
        dispatch_world test(1);
        fake_dispatcher& node = test.node(0);
        node.reply = place_reply::waits;
        const counting_backend& backend = test.world.add_backend(backend_behavior::answers);
        const auto caller = test.world.connect();
        caller->send(forwarder_world::request("once", "r1"));
        CPPUNIT_ASSERT(test.run_until([&] { return !node.requests.empty(); }));
        test.world.run_for(milliseconds(20));
        caller->close();
        CPPUNIT_ASSERT(test.run_until([&] { return !node.released.empty(); }));
        CPPUNIT_ASSERT(node.released.front().outcome == release_outcome::not_sent);
        CPPUNIT_ASSERT_EQUAL(node.requests.front().call, node.released.front().call);
        test.world.run_for(milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, node.requests.size());
        CPPUNIT_ASSERT(node.renewed.empty());
        CPPUNIT_ASSERT(backend.requests().empty());
    }

    /// Off by the setting, or because fewer nodes are active than it names.
    void nothing_is_asked_while_dispatch_is_off() {
        for (const std::size_t from_nodes : {std::size_t{0}, std::size_t{4}}) {
            dispatch_world test(1, from_nodes);
            test.node(0).reply = place_reply::refuses;
            counting_backend& backend = test.world.add_backend(backend_behavior::holds);
            const auto caller = test.world.connect();
            caller->send(forwarder_world::request("once", "r1"));
            CPPUNIT_ASSERT(test.run_until([&] { return backend.requests().size() == 1; }));
            // Longer than the interval of renewals.
            test.world.run_for(milliseconds(600));
            backend.answer_all();
            CPPUNIT_ASSERT(test.run_until([&] { return caller->received_text("\r\n\r\nok"); }));
            test.world.run_for(milliseconds(50));
            CPPUNIT_ASSERT(test.node(0).requests.empty());
            CPPUNIT_ASSERT(test.node(0).released.empty());
            CPPUNIT_ASSERT(test.node(0).renewed.empty());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(dispatch_client_test);

}  // namespace tallyfold::tests
