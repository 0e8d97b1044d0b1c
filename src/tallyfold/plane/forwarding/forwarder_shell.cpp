#include "tallyfold/plane/forwarding/forwarder_shell.hpp"

#include <algorithm>
#include <limits>
#include <optional>

#include "tallyfold/base/common/hash.hpp"
#include "tallyfold/base/logging/event_log.hpp"
#include "tallyfold/base/net/tcp_sockets_shell.hpp"
#include "tallyfold/plane/decisions/shutdown_sequence.hpp"
#include "tallyfold/plane/directory/directory_client_shell.hpp"
#include "tallyfold/plane/discovery/list_poller_shell.hpp"
#include "tallyfold/plane/discovery/poller_election.hpp"
#include "tallyfold/plane/forwarding/caller_listener_shell.hpp"
#include "tallyfold/plane/forwarding/forwarder_context.hpp"

namespace tallyfold::forwarding {

namespace {

/// Interval of silence checks; a fraction of the shortest silence limit of 700 ms.
constexpr duration silence_check_interval = std::chrono::milliseconds(100);
/// Interval at which the policy file is reread.
constexpr duration policy_check_interval = std::chrono::seconds(1);
/// Interval at which idle connections are expired. Must stay below the margin of 0.9 s by which
/// connection_pool closes them early.
constexpr duration housekeeping_interval = std::chrono::milliseconds(500);
/// Interval at which a shutdown checks for remaining work; small against the 600 ms that
/// shutdown_sequence reserves before the process is killed.
constexpr duration stop_check_interval = std::chrono::milliseconds(50);
/// Number of key freshness checks within the key revocation time, when stale keys are refused.
/// Requests are refused only if all of them fail.
constexpr int checks_per_revocation_time = 4;

directory::directory_client_settings client_settings(const settings::node_settings& settings) {
    directory::directory_client_settings chosen;
    if (settings.refuses_stale_keys) {
        chosen.proof_interval = settings.revocation / checks_per_revocation_time;
    }
    return chosen;
}

/// Owns the components of a forwarder and connects them.
class forwarder_node {
  public:
    forwarder_node(const settings::node_settings& settings, const request_codec& codec,
                   const discovery::backend_list_codec& lists);
    int run();

  private:
    void subscribe_to_directory();
    void subscribe_to_backend_list();
    void start_periodic_work();
    /// Starts listening for callers and readiness checks. @return the error; empty on success
    std::string listen();
    void apply_configuration(const directory::configuration_pointer& configuration);
    /// Applies a newly polled list of back ends. @param changes its differences from the last one
    void apply_backend_list(const discovery::list_changes& changes);
    /// True when this node should poll the list of back ends itself.
    [[nodiscard]] bool should_poll_list() const;
    /// Records back-end failures reported by other nodes.
    void apply_reported_failures(const std::vector<discovery::relayed_failure>& reported);
    /// Reads the policy file. When that fails, the previous policy stays in effect.
    void reload_policy();
    /// Logs the number of policy evaluations that failed since the last call, if any.
    void log_policy_failures();
    /// Adjusts the admission queues to the engines' pace.
    void adjust_admission();
    void eject_silent_backends();
    void stop();
    void continue_stop();
    static void log_cut_off(const remaining_work& cut_off);
    [[nodiscard]] bool ready() const;

    net::node_process process_;
    forwarder_metrics metrics_;
    backend_registry backends_;
    connection_pool connections_;
    directory::directory_client directory_;
    tenants::quota_client quotas_;
    turns::turn_client turns_;
    streams::origin_client origins_;
    discovery::list_poller poller_;
    discovery::backend_list list_;
    /// When this process started.
    instant started_at_;
    call_ranking ranking_;
    dispatch_client dispatch_;
    poison::crash_client crashes_;
    crash_detector crash_detector_;
    forwarder_context context_;
    caller_listener callers_;
    http::endpoint_server readiness_;
    std::uint64_t logged_policy_failures_ = 0;
    /// Set while the node is shutting down.
    std::optional<shutdown_sequence> stop_;
};

forwarder_node::forwarder_node(const settings::node_settings& settings, const request_codec& codec,
                               const discovery::backend_list_codec& lists)
    : process_(settings),
      metrics_(process_.metrics()),
      backends_(
          settings.zone, stable_hash(settings.node),
          scheduling::parse_strategy(settings.placement).value_or(scheduling::strategy::policy),
          settings.disabled),
      directory_(process_, client_settings(settings)),
      quotas_(process_, directory_),
      turns_(process_, [this](const turns::store_map& map) { directory_.merge_map(map); }),
      origins_(process_, turns_),
      poller_(process_, lists),
      started_at_(http::steady_now()),
      dispatch_(process_, directory_, metrics_),
      crashes_(process_, directory_),
      crash_detector_(process_, connections_, crashes_, metrics_),
      context_{process_,        codec,        directory_, quotas_,  turns_,    origins_,
               backends_,       connections_, metrics_,   ranking_, dispatch_, crashes_,
               crash_detector_, {},           nullptr,    {},       false},
      callers_(context_),
      readiness_(process_.loop(), settings.readiness_address, 0, process_.clients(),
                 resources::client_group::readiness) {}

bool forwarder_node::ready() const {
    return context_.routes && backends_.has_backend_list() && turns_.has_store_table() &&
           !context_.stopping;
}

void forwarder_node::apply_configuration(const directory::configuration_pointer& configuration) {
    context_.routes = std::make_shared<routing::route_table>(configuration);
    quotas_.use(configuration->tenants);
    if (stop_) {
        stop_->set_longest_request(context_.routes->longest_timeout());
    }
    logging::write_event(logging::event_id::configuration_applied,
                         "version=" + std::to_string(configuration->version) +
                             " routes=" + std::to_string(configuration->routes.size()) +
                             " tenants=" + std::to_string(configuration->tenants.size()));
}

void forwarder_node::apply_backend_list(const discovery::list_changes& changes) {
    if (!list_.known()) {
        return;
    }
    backends_.apply(changes, list_.last_polled_at());
    if (changes.changed.empty() && changes.removed.empty()) {
        return;
    }
    logging::write_event(logging::event_id::backend_list_changed,
                         "backends=" + std::to_string(list_.size()) +
                             " leaving=" + std::to_string(list_.leaving_count()) +
                             " changed=" + std::to_string(changes.changed.size()) +
                             " removed=" + std::to_string(changes.removed.size()));
}

bool forwarder_node::should_poll_list() const {
    if (directory_.version() == routing::no_version) {
        // Without a configuration, no request can be forwarded.
        return false;
    }
    discovery::forwarder_polling polling;
    polling.seen = list_.last_polled_at();
    polling.started = started_at_;
    polling.last_poll = poller_.last_poll();
    polling.nodes = directory_.active_nodes();
    polling.pages = list_.pages();
    polling.phase = static_cast<double>(stable_hash(process_.settings().node)) /
                    static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    return polling.should_poll(http::steady_now());
}

void forwarder_node::apply_reported_failures(
    const std::vector<discovery::relayed_failure>& reported) {
    const instant now = http::steady_now();
    for (const discovery::relayed_failure& failure : reported) {
        const instant at = now - std::chrono::milliseconds(failure.age_ms);
        const std::string address = backends_.record_broken_connection(failure.backend, at);
        if (!address.empty()) {
            connections_.drop(address);
            logging::write_event(
                logging::event_id::backend_doubted,
                "backend=" + failure.backend + " told_age_ms=" + std::to_string(failure.age_ms));
        }
    }
}

void forwarder_node::reload_policy() {
    const std::string& path = process_.settings().policy_file;
    const auto change = ranking_.set_policy(path.empty() ? std::string{} : net::file_text(path));
    if (!change) {
        logging::write_event(logging::event_id::policy_failed,
                             "policy=" + path + " line=" + std::to_string(change.error().line) +
                                 " reason=\"" + change.error().reason + "\"");
    } else if (*change != policy_change::unchanged) {
        const bool removed = *change == policy_change::removed;
        logging::write_event(logging::event_id::policy_applied,
                             "policy=" + (removed ? std::string("-") : path));
    }
    log_policy_failures();
}

void forwarder_node::log_policy_failures() {
    const std::uint64_t failures = ranking_.failures();
    // Each new policy resets the count.
    const std::uint64_t logged = std::min(logged_policy_failures_, failures);
    logged_policy_failures_ = failures;
    if (failures > logged) {
        logging::write_event(logging::event_id::policy_failed,
                             "policy=" + process_.settings().policy_file +
                                 " failed_evaluations=" + std::to_string(failures - logged) +
                                 " reason=\"the built-in rule ranked these calls\"");
    }
}

void forwarder_node::adjust_admission() {
    const instant now = http::steady_now();
    double max_slowdown = 1;
    std::size_t waiting = 0;
    for (auto& [service, queue] : context_.admission_queues) {
        const bool bounded_before = queue.window().size() > 0;
        const double slowdown = backends_.pace_of(service).slowdown(now);
        queue.adjust(slowdown);
        max_slowdown = std::max(max_slowdown, slowdown);
        waiting += queue.waiting();
        if (const bool bounded = queue.window().size() > 0; bounded != bounded_before) {
            logging::write_event(
                bounded ? logging::event_id::calls_bounded : logging::event_id::calls_unbounded,
                "service=" + service + " slowdown=" + std::to_string(slowdown) +
                    " running=" + std::to_string(queue.window().running()) +
                    " waiting=" + std::to_string(queue.waiting()));
        }
    }
    metrics_.set_engine_pace(max_slowdown, waiting);
}

void forwarder_node::eject_silent_backends() {
    for (const backend_name& name : backends_.eject_silent(http::steady_now())) {
        logging::write_event(logging::event_id::backend_ejected,
                             "backend=" + name + " reason=silent");
    }
}

void forwarder_node::stop() {
    context_.stopping = true;
    const duration longest =
        context_.routes ? context_.routes->longest_timeout() : process_.settings().grace;
    stop_.emplace(http::steady_now(), process_.settings().grace, longest);
    context_.shutdown = &*stop_;
    continue_stop();
}

void forwarder_node::continue_stop() {
    const remaining_work remaining{callers_.active_request_count(),
                                   turns_.background_settlement_count()};
    switch (stop_->next(http::steady_now(), remaining)) {
        case shutdown_step::stop_accepting:
            callers_.stop_accepting();
            break;
        case shutdown_step::cut_off:
            log_cut_off(remaining);
            callers_.cut_off_requests();
            break;
        case shutdown_step::finish:
            callers_.abort_requests();
            process_.run_after(stop_check_interval, [this] { process_.finish(); });
            return;
        case shutdown_step::wait:
            break;
    }
    process_.run_after(stop_check_interval, [this] { continue_stop(); });
}

void forwarder_node::log_cut_off(const remaining_work& cut_off) {
    logging::write_event(logging::event_id::requests_cut_off,
                         "requests=" + std::to_string(cut_off.requests) +
                             " settlements=" + std::to_string(cut_off.settlements));
}

void forwarder_node::subscribe_to_directory() {
    directory_.start(
        [this](const directory::configuration_pointer& configuration) {
            apply_configuration(configuration);
        },
        [this](const turns::store_table& stores) {
            logging::write_event(logging::event_id::store_map_changed,
                                 "epoch=" + std::to_string(stores.epoch) +
                                     " groups=" + std::to_string(stores.groups.size()));
            turns_.update_stores(stores);
        },
        {});
    quotas_.start();
    dispatch_.start();
    crashes_.start();
    directory_.on_evacuated_zones([this](const std::vector<std::string>& zones) {
        backends_.set_evacuated_zones({zones.begin(), zones.end()});
        logging::write_event(logging::event_id::zone_evacuation_changed,
                             "zones=" + std::to_string(zones.size()));
    });
    directory_.on_relayed_failures([this](const std::vector<discovery::relayed_failure>& reported) {
        apply_reported_failures(reported);
    });
}

void forwarder_node::subscribe_to_backend_list() {
    // The directory distributes the list; this node polls the source itself only when no update has
    // arrived for some time.
    directory_.share_list(
        list_, [this](const discovery::list_changes& changes) { apply_backend_list(changes); });
    poller_.start(
        [this](const discovery::polled_list& polled) {
            const auto changes = list_.record_poll(polled, http::steady_now());
            if (!changes) {
                return text_of(changes.error());
            }
            apply_backend_list(*changes);
            return std::string{};
        },
        [this] { return should_poll_list(); });
}

void forwarder_node::start_periodic_work() {
    reload_policy();
    process_.run_every(policy_check_interval, [this] { reload_policy(); });
    process_.run_every(housekeeping_interval, [this] { connections_.expire(http::steady_now()); });
    process_.run_every(admission_window::interval, [this] { adjust_admission(); });
    process_.run_every(silence_check_interval, [this] { eject_silent_backends(); });
}

std::string forwarder_node::listen() {
    const std::string problem = callers_.start(process_.settings().callers_address);
    if (!problem.empty()) {
        return problem;
    }
    return readiness_.start(
        [this](const http::endpoint_request&) -> asio::awaitable<http::endpoint_response> {
            http::endpoint_response response;
            response.status = ready() ? 200 : 503;
            co_return response;
        });
}

int forwarder_node::run() {
    subscribe_to_directory();
    subscribe_to_backend_list();
    start_periodic_work();
    const std::string problem = listen();
    if (!problem.empty()) {
        logging::write_event(logging::event_id::settings_refused, "reason=\"" + problem + "\"");
        return 1;
    }
    return process_.run([this] { stop(); },
                        [this](const settings::node_settings& settings) {
                            directory_.add_seeds(settings.seed_directories());
                        });
}

}  // namespace

int run_forwarder(const settings::node_settings& settings, const request_codec& codec,
                  const discovery::backend_list_codec& lists) {
    return forwarder_node(settings, codec, lists).run();
}

}  // namespace tallyfold::forwarding
