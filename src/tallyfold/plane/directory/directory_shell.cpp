#include "tallyfold/plane/directory/directory_shell.hpp"

#include "tallyfold/base/logging/event_log.hpp"
#include "tallyfold/plane/directory/admin_api_shell.hpp"
#include "tallyfold/plane/directory/backend_list_sharing_shell.hpp"
#include "tallyfold/plane/directory/crash_sharing_shell.hpp"
#include "tallyfold/plane/directory/directory_links_shell.hpp"
#include "tallyfold/plane/directory/directory_metrics.hpp"
#include "tallyfold/plane/directory/directory_replica_shell.hpp"
#include "tallyfold/plane/directory/dispatch_service_shell.hpp"
#include "tallyfold/plane/directory/permit_lending_shell.hpp"
#include "tallyfold/plane/directory/propagation_monitor_shell.hpp"
#include "tallyfold/plane/directory/report_service_shell.hpp"
#include "tallyfold/plane/messaging/peer_link_shell.hpp"
#include "tallyfold/plane/process/node_process_shell.hpp"

namespace tallyfold::directory {

namespace {

/// Resolution of all timers of the core; a quarter of its heartbeat interval.
constexpr duration tick_interval = std::chrono::milliseconds(20);
/// Time between a stop request and the end of the process, in which pending answers are sent. About
/// a hundred times the latency between zones.
constexpr duration stop_delay = std::chrono::milliseconds(300);
/// Interval at which a follower requests the list of back ends from the leader; a fifth of the poll
/// interval.
constexpr duration list_request_interval = std::chrono::milliseconds(200);
/// Interval at which the propagation of the configuration is checked. A change takes 0.2 to 0.4 s
/// to reach all nodes.
constexpr duration propagation_check_interval = std::chrono::milliseconds(200);
/// Interval at which expired crashes are removed, which visits all of them.
constexpr duration crash_expiry_interval = std::chrono::seconds(5);
/// Maximum size in bytes of an operator's request; four times the text of a configuration with
/// 6,000 routes.
constexpr std::size_t max_body_bytes = 8U << 20U;

/// Wires the components of a directory node, all of which run on the loop thread.
class directory_node {
  public:
    directory_node(const settings::node_settings& settings, const admin_codec& codec,
                   const discovery::backend_list_codec& lists);
    /// @return the exit code
    int run();

  private:
    /// @return why the node cannot be reached by other nodes or operators; empty on success
    std::string start_servers();
    void start_timers();
    void receive(const messaging::channel_pointer& channel, const messaging::peer_message& message);
    void on_storage_lost();
    /// Handles a message received over a link to another directory node.
    void receive_over_link(const node_name& from, const messaging::peer_message& message);
    void request_list_from_leader();
    void check_propagation();
    void tick();
    [[nodiscard]] replica_handlers make_replica_handlers();

    net::node_process process_;
    directory_metrics metrics_;
    directory_replica replica_;
    directory_links links_;
    backend_list_sharing list_;
    propagation_monitor propagation_;
    report_service reports_;
    crash_sharing crashes_;
    permit_lending permits_;
    dispatch_service dispatch_;
    admin_api admin_;
    messaging::peer_server peers_;
    http::endpoint_server operators_;
};

directory_node::directory_node(const settings::node_settings& settings, const admin_codec& codec,
                               const discovery::backend_list_codec& lists)
    : process_(settings),
      metrics_(process_.metrics()),
      replica_(process_, metrics_, make_replica_handlers()),
      links_(process_,
             [this](const node_name& from, const messaging::peer_message& message) {
                 receive_over_link(from, message);
             }),
      list_(process_, lists, replica_.core()),
      propagation_(metrics_),
      reports_(metrics_, list_, propagation_),
      crashes_(metrics_),
      permits_(process_.settings(), replica_.core()),
      dispatch_(process_, list_, replica_.core()),
      admin_(process_, codec, replica_.core(), [this] { replica_.run_work(); }),
      peers_(process_.loop(), settings.directory_listener(), &process_.clients()),
      operators_(process_.loop(), settings.operators_address, max_body_bytes, process_.clients(),
                 resources::client_group::operators) {}

replica_handlers directory_node::make_replica_handlers() {
    replica_handlers handlers;
    handlers.send = [this](addressed_message message) { links_.send(std::move(message)); };
    handlers.on_answer = [this](const directory_answer& answer) { admin_.on_answer(answer); };
    handlers.on_proof = [this](const directory_proof& proof) {
        reports_.on_proof(*replica_.core(), proof);
    };
    handlers.on_storage_lost = [this] { on_storage_lost(); };
    return handlers;
}

void directory_node::on_storage_lost() {
    reports_.drop_questions();
    admin_.on_storage_lost();
}

void directory_node::receive(const messaging::channel_pointer& channel,
                             const messaging::peer_message& message) {
    if (!replica_.core()) {
        return;
    }
    directory_core& core = *replica_.core();
    const instant now = http::steady_now();
    if (const auto* envelope = std::get_if<messaging::replica_envelope>(&message)) {
        core.record_peer_format(envelope->from, channel->peer_format(), now);
        core.receive(envelope->from, envelope->message, now);
    } else if (const auto* join = std::get_if<join_request>(&message)) {
        core.record_peer_format(join->address, channel->peer_format(), now);
        core.receive(*join, now);
    } else if (const auto* report = std::get_if<node_report>(&message)) {
        core.record_peer_format(report->node, channel->peer_format(), now);
        reports_.answer(core, channel, *report);
        if (report->wants_list) {
            crashes_.add_listener(channel, now);
        }
    } else if (const auto* request = std::get_if<configuration_request>(&message)) {
        reports_.answer(core, channel, *request);
    } else if (const auto* request = std::get_if<discovery::list_request>(&message)) {
        reports_.answer(channel, *request);
    } else if (const auto* failure = std::get_if<discovery::failure_report>(&message)) {
        reports_.record_failure(*failure);
    } else if (const auto* crash = std::get_if<poison::crash_report>(&message)) {
        crashes_.receive(channel, *crash, now);
    } else if (const auto* spent = std::get_if<tenants::permit_report>(&message)) {
        channel->send(permits_.answer(*spent, now));
    } else if (const auto* request = std::get_if<dispatch::place_request>(&message)) {
        dispatch_.receive(channel, *request, now);
    } else if (const auto* release = std::get_if<dispatch::place_release>(&message)) {
        dispatch_.receive(channel, *release, now);
    } else if (const auto* renewal = std::get_if<dispatch::place_renewal>(&message)) {
        dispatch_.receive(channel, *renewal, now);
    }
    replica_.run_work();
}

void directory_node::receive_over_link(const node_name& from,
                                       const messaging::peer_message& message) {
    std::optional<discovery::list_request> next;
    if (const auto* status = std::get_if<discovery::list_status>(&message)) {
        next = list_.on_leader_status(from, *status);
    } else if (const auto* part = std::get_if<discovery::list_part>(&message)) {
        next = list_.on_leader_part(from, *part);
    } else if (const auto* answer = std::get_if<node_report_answer>(&message)) {
        list_.on_leader_answer(*answer);
    }
    if (next) {
        links_.send(from, *next);
    }
}

void directory_node::request_list_from_leader() {
    if (!replica_.core()) {
        return;
    }
    const node_name leader = replica_.core()->leader_address();
    if (const auto report = list_.leader_report(links_.peer_format(leader))) {
        links_.send(leader, *report);
    }
}

void directory_node::check_propagation() {
    const instant now = http::steady_now();
    if (replica_.core()) {
        propagation_.on_applied(replica_.core()->state().configuration().version, now);
        metrics_.observe(*replica_.core(), now);
        reports_.set_active_nodes(replica_.core()->formats().active_count(now));
    }
    propagation_.check(now);
}

void directory_node::tick() {
    replica_.tick();
    permits_.tick(http::steady_now());
    dispatch_.tick(http::steady_now());
}

std::string directory_node::start_servers() {
    std::string problem =
        peers_.start([this](const messaging::channel_pointer& channel,
                            const messaging::peer_message& message) { receive(channel, message); });
    if (problem.empty()) {
        problem = operators_.start(
            [this](http::endpoint_request request) { return admin_.serve(std::move(request)); });
    }
    return problem;
}

void directory_node::start_timers() {
    process_.run_every(list_request_interval, [this] { request_list_from_leader(); });
    process_.run_every(propagation_check_interval, [this] { check_propagation(); });
    process_.run_every(tick_interval, [this] { tick(); });
    process_.run_every(crash_expiry_interval, [this] { crashes_.expire(http::steady_now()); });
}

int directory_node::run() {
    replica_.start();
    const std::string problem = start_servers();
    if (!problem.empty()) {
        logging::write_event(logging::event_id::settings_refused, "reason=\"" + problem + "\"");
        return 1;
    }
    list_.start();
    start_timers();
    return process_.run([this] { process_.run_after(stop_delay, [this] { process_.finish(); }); },
                        [](const settings::node_settings&) {});
}

}  // namespace

int run_directory(const settings::node_settings& settings, const admin_codec& codec,
                  const discovery::backend_list_codec& lists) {
    return directory_node(settings, codec, lists).run();
}

}  // namespace tallyfold::directory
