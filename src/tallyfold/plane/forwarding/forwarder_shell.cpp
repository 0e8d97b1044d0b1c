#include "tallyfold/plane/forwarding/forwarder_shell.hpp"

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <optional>
#include <set>

#include "tallyfold/base/common/hash.hpp"
#include "tallyfold/base/logging/event_log.hpp"
#include "tallyfold/base/net/tcp_sockets_shell.hpp"
#include "tallyfold/plane/decisions/stop_sequence.hpp"
#include "tallyfold/plane/directory/directory_client_shell.hpp"
#include "tallyfold/plane/discovery/list_poller_shell.hpp"
#include "tallyfold/plane/discovery/poller_election.hpp"
#include "tallyfold/plane/forwarding/request_relay_shell.hpp"

namespace tallyfold::forwarding {

namespace {

constexpr duration silence_check_interval = std::chrono::milliseconds(100);
constexpr duration policy_check_interval = std::chrono::seconds(1);
constexpr duration housekeeping_interval = std::chrono::milliseconds(500);
constexpr duration stop_check_interval = std::chrono::milliseconds(50);
constexpr duration write_limit = std::chrono::seconds(2);
/// Nodes that refuse stale keys renew the proof that theirs are the newest so often within the time
/// for a key's removal: three times before they would refuse.
constexpr int proofs_in_revocation = 4;

directory::directory_client_settings client_settings(const settings::node_settings& settings) {
    directory::directory_client_settings chosen;
    if (settings.refuses_stale_keys) {
        chosen.proof_interval = settings.revocation / proofs_in_revocation;
    }
    return chosen;
}

class forwarder_node {
  public:
    forwarder_node(const settings::node_settings& settings, const request_codec& codec,
                   const discovery::backend_list_codec& lists);
    int run();

  private:
    void accept();
    asio::awaitable<void> serve_caller(http::connection_pointer caller);
    asio::awaitable<bool> read_request(http::connection_pointer caller, caller_request& request);
    asio::awaitable<void> reject(http::connection_pointer caller, unsigned status,
                                 std::string reason);
    void use_configuration(const directory::configuration_pointer& configuration);
    void use_list(bool changed);
    void learn_breaks(const std::vector<discovery::relayed_failure>& told);
    void read_policy();
    void adjust_gates();
    void stop();
    void continue_stop();
    void take_no_more();
    void cut_off_what_is_left();
    [[nodiscard]] bool takes_requests() const { return !stop_ || stop_->takes_requests(); }
    [[nodiscard]] bool ready() const;
    [[nodiscard]] routing::caller_limits limits() const;

    net::node_process process_;
    forwarder_metrics metrics_;
    backend_registry backends_;
    connection_pool connections_;
    directory::directory_client directory_;
    tenants::quota_client quotas_;
    turns::turn_client turns_;
    discovery::list_poller poller_;
    discovery::list_memory list_;
    call_ranking ranking_;
    forwarder_context context_;
    asio::ip::tcp::acceptor callers_;
    http::endpoint_server readiness_;
    std::set<std::shared_ptr<request_relay>> under_way_;
    /// Callers' connections that wait for their next request.
    std::set<http::connection_pointer> idle_callers_;
    std::size_t reading_ = 0;
    std::optional<stop_sequence> stop_;
};

forwarder_node::forwarder_node(const settings::node_settings& settings, const request_codec& codec,
                               const discovery::backend_list_codec& lists)
    : process_(settings),
      metrics_(process_.metrics()),
      backends_(
          settings.zone, stable_hash(settings.node),
          scheduling::parse_strategy(settings.placement).value_or(scheduling::strategy::policy),
          settings.off),
      directory_(process_, client_settings(settings)),
      quotas_(process_, directory_),
      turns_(process_, [this](const turns::store_map& map) { directory_.learn_map(map); }),
      poller_(process_, lists),
      context_{process_, codec,    directory_, quotas_, turns_, backends_, connections_,
               metrics_, ranking_, {},         nullptr, {},     false},
      callers_(process_.loop()),
      readiness_(process_.loop(), settings.readiness_address, 0) {}

bool forwarder_node::ready() const {
    return context_.routes && backends_.has_list() && turns_.knows_stores() && !context_.stopping;
}

routing::caller_limits forwarder_node::limits() const {
    return context_.routes ? context_.routes->source().limits : routing::caller_limits{};
}

void forwarder_node::use_configuration(const directory::configuration_pointer& configuration) {
    context_.routes = std::make_shared<routing::route_table>(configuration);
    quotas_.use(configuration->tenants);
    logging::write_event(logging::event_id::configuration_applied,
                         "version=" + std::to_string(configuration->version) +
                             " routes=" + std::to_string(configuration->routes.size()) +
                             " tenants=" + std::to_string(configuration->tenants.size()));
}

void forwarder_node::use_list(bool changed) {
    backends_.update(list_.backends(), list_.seen());
    if (!changed) {
        return;
    }
    std::size_t leaving = 0;
    for (const discovery::listed_backend& backend : list_.backends()) {
        leaving += backend.member.leaving ? 1 : 0;
    }
    logging::write_event(logging::event_id::backend_list_changed,
                         "backends=" + std::to_string(list_.backends().size()) +
                             " leaving=" + std::to_string(leaving));
}

void forwarder_node::learn_breaks(const std::vector<discovery::relayed_failure>& told) {
    const instant now = http::steady_now();
    for (const discovery::relayed_failure& each : told) {
        const instant at = now - std::chrono::milliseconds(each.age_ms);
        const std::string address = backends_.broke_off(each.backend, at);
        if (!address.empty()) {
            connections_.drop(address);
            logging::write_event(
                logging::event_id::backend_doubted,
                "backend=" + each.backend + " told_age_ms=" + std::to_string(each.age_ms));
        }
    }
}

void forwarder_node::read_policy() {
    const std::string& path = process_.settings().policy_file;
    const auto change = ranking_.use(path.empty() ? std::string{} : net::file_text(path));
    if (!change) {
        logging::write_event(logging::event_id::policy_failed,
                             "policy=" + path + " line=" + std::to_string(change.error().line) +
                                 " reason=\"" + change.error().reason + "\"");
    } else if (*change != policy_change::none) {
        const bool removed = *change == policy_change::removed;
        logging::write_event(logging::event_id::policy_applied,
                             "policy=" + (removed ? std::string("-") : path));
    }
}

void forwarder_node::adjust_gates() {
    const instant now = http::steady_now();
    double max_slowdown = 1;
    std::size_t waiting = 0;
    for (auto& [service, gate] : context_.admission_queues) {
        const bool bounded_before = gate.window().size() > 0;
        const double slowdown = backends_.pace_of(service).slowdown(now);
        gate.adjust(slowdown);
        max_slowdown = std::max(max_slowdown, slowdown);
        waiting += gate.waiting();
        if (const bool bounded = gate.window().size() > 0; bounded != bounded_before) {
            logging::write_event(
                bounded ? logging::event_id::calls_bounded : logging::event_id::calls_unbounded,
                "service=" + service + " slowdown=" + std::to_string(slowdown) +
                    " running=" + std::to_string(gate.window().running()) +
                    " waiting=" + std::to_string(gate.waiting()));
        }
    }
    metrics_.paced(max_slowdown, waiting);
}

void forwarder_node::accept() {
    callers_.async_accept([this](const std::error_code& error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            auto caller = std::make_shared<http::connection>(
                std::move(socket), http::message_kind::request, limits().header_bytes);
            asio::co_spawn(process_.loop(), serve_caller(std::move(caller)), asio::detached);
        }
        accept();
    });
}

asio::awaitable<void> forwarder_node::reject(http::connection_pointer caller, unsigned status,
                                             std::string reason) {
    logging::write_event(logging::event_id::call_refused,
                         "status=" + std::to_string(status) + " reason=\"" + reason + "\"");
    metrics_.finished("rejected", duration::zero());
    std::string bytes = render_own_answer(status, reason, retry_after::never(), false);
    const instant limit = http::steady_now() + write_limit;
    co_await caller->write(std::move(bytes), limit);
    caller->close();
}

asio::awaitable<bool> forwarder_node::read_request(http::connection_pointer caller,
                                                   caller_request& request) {
    const routing::caller_limits bounds = limits();
    const duration head_limit = std::chrono::milliseconds(bounds.header_timeout_ms);
    const duration idle_limit = std::chrono::milliseconds(bounds.idle_timeout_ms);
    const auto head = co_await caller->read_head(http::steady_now() + head_limit);
    if (!head) {
        if (head.error() == http::io_failure::timed_out) {
            co_await reject(caller, 408, "the head did not come in time");
        } else if (head.error() == http::io_failure::head_too_large) {
            co_await reject(caller, 431, "the head is too large");
        } else if (head.error() == http::io_failure::malformed) {
            co_await reject(caller, 400, "not an HTTP request");
        }
        co_return false;
    }
    request.head = caller->head();
    if (request.head.content_length > bounds.body_bytes) {
        co_await reject(caller, 413, "the body is too large");
        co_return false;
    }
    if (const std::string* expect = request.head.headers.find("Expect"); expect != nullptr) {
        std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await caller->write(std::move(interim), http::steady_now() + write_limit);
    }
    while (true) {
        auto piece = co_await caller->read_body_piece(http::steady_now() + idle_limit);
        if (!piece) {
            if (piece.error() == http::io_failure::timed_out) {
                co_await reject(caller, 408, "the body did not come in time");
            } else if (piece.error() == http::io_failure::malformed) {
                co_await reject(caller, 400, "the body is malformed");
            }
            co_return false;
        }
        request.body += *piece;
        if (request.body.size() > bounds.body_bytes) {
            co_await reject(caller, 413, "the body is too large");
            co_return false;
        }
        if (caller->message_complete()) {
            break;
        }
    }
    request.received = http::steady_now();
    co_return true;
}

asio::awaitable<void> forwarder_node::serve_caller(http::connection_pointer caller) {
    while (caller->open() && takes_requests()) {
        const duration idle_limit = std::chrono::milliseconds(limits().idle_timeout_ms);
        idle_callers_.insert(caller);
        const auto waited = co_await caller->wait_for_message(http::steady_now() + idle_limit);
        idle_callers_.erase(caller);
        if (!waited) {
            break;
        }
        caller_request request;
        ++reading_;
        const bool read = co_await read_request(caller, request);
        --reading_;
        if (!read) {
            break;
        }
        auto relay = std::make_shared<request_relay>(context_, caller, std::move(request));
        under_way_.insert(relay);
        const bool keep = co_await relay->serve();
        under_way_.erase(relay);
        if (!keep) {
            break;
        }
        caller->next_message();
    }
    caller->close();
}

void forwarder_node::stop() {
    context_.stopping = true;
    const duration longest =
        context_.routes ? context_.routes->longest_timeout() : process_.settings().grace;
    stop_.emplace(http::steady_now(), process_.settings().grace, longest);
    continue_stop();
}

void forwarder_node::continue_stop() {
    const work_left left{under_way_.size() + reading_, turns_.settling()};
    switch (stop_->next(http::steady_now(), left)) {
        case stop_step::take_no_more:
            take_no_more();
            break;
        case stop_step::finish:
            cut_off_what_is_left();
            process_.after(stop_check_interval, [this] { process_.finish(); });
            return;
        case stop_step::wait:
            break;
    }
    process_.after(stop_check_interval, [this] { continue_stop(); });
}

void forwarder_node::take_no_more() {
    std::error_code ignored;
    callers_.close(ignored);
    // A caller that kept its connection would bring a request too late for its answer.
    for (const auto& caller : idle_callers_) {
        caller->close();
    }
}

void forwarder_node::cut_off_what_is_left() {
    for (const auto& relay : under_way_) {
        relay->cut_off();
    }
}

int forwarder_node::run() {
    directory_.start(
        [this](const directory::configuration_pointer& configuration) {
            use_configuration(configuration);
        },
        [this](const turns::store_table& stores) {
            logging::write_event(logging::event_id::store_map_changed,
                                 "epoch=" + std::to_string(stores.epoch) +
                                     " groups=" + std::to_string(stores.groups.size()));
            turns_.use_stores(stores);
        },
        {});
    quotas_.start();
    directory_.on_breaks(
        [this](const std::vector<discovery::relayed_failure>& told) { learn_breaks(told); });
    // The directory's nodes read the list and tell it; this node reads it itself only when they
    // haven't for a while.
    directory_.share_list(list_, [this](bool changed) { use_list(changed); });
    poller_.start(
        [this](const std::vector<discovery::listed_backend>& backends) {
            use_list(list_.see(backends, http::steady_now()));
        },
        [this, started = http::steady_now()] {
            return discovery::forwarder_reads(list_.seen(), started, http::steady_now());
        });
    read_policy();
    process_.every(policy_check_interval, [this] { read_policy(); });
    process_.every(housekeeping_interval, [this] { connections_.expire(http::steady_now()); });
    process_.every(admission_window::interval, [this] { adjust_gates(); });
    process_.every(silence_check_interval, [this] {
        for (const backend_name& name : backends_.suspect_silent(http::steady_now())) {
            logging::write_event(logging::event_id::backend_ejected,
                                 "backend=" + name + " reason=silent");
        }
    });
    std::string problem = net::listen_on(callers_, process_.settings().callers_address);
    if (problem.empty()) {
        accept();
        problem = readiness_.start(
            [this](const http::endpoint_request&) -> asio::awaitable<http::endpoint_response> {
                http::endpoint_response response;
                response.status = ready() ? 200 : 503;
                co_return response;
            });
    }
    if (!problem.empty()) {
        logging::write_event(logging::event_id::settings_refused, "reason=\"" + problem + "\"");
        return 1;
    }
    return process_.run([this] { stop(); },
                        [this](const settings::node_settings& settings) {
                            directory_.use_seeds(settings.seed_directories());
                        });
}

}  // namespace

int run_forwarder(const settings::node_settings& settings, const request_codec& codec,
                  const discovery::backend_list_codec& lists) {
    return forwarder_node(settings, codec, lists).run();
}

}  // namespace tallyfold::forwarding
