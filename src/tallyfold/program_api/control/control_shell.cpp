#include "tallyfold/program_api/control/control_shell.hpp"

#include <ctime>
#include <nlohmann/json.hpp>
#include <thread>

#include "tallyfold/base/common/bounded_ring.hpp"
#include "tallyfold/base/logging/event_log.hpp"
#include "tallyfold/base/settings/program_flags.hpp"
#include "tallyfold/program_api/control/commands/admin_commands.hpp"
#include "tallyfold/program_api/control/queries/render_status.hpp"
#include "tallyfold/program_api/control/storage_thread.hpp"
#include "tallyfold/program_api/http/http_server.hpp"
#include "tallyfold/program_api/process/logic_thread.hpp"
#include "tallyfold/program_api/process/metrics.hpp"
#include "tallyfold/program_api/process/process_runtime.hpp"
#include "tallyfold/program_api/transport/cluster_keys.hpp"
#include "tallyfold/program_api/transport/operator_keys.hpp"
#include "tallyfold/program_api/transport/peer_inputs.hpp"
#include "tallyfold/program_api/transport/transport.hpp"

namespace tallyfold::control {

namespace {

using logging::event_id;
using net::operator_role;

constexpr std::size_t ring_capacity = 1024;
constexpr auto metrics_interval = std::chrono::seconds(1);
constexpr auto admin_timeout = std::chrono::seconds(5);
constexpr unsigned leader_retry_seconds = 1;

/// Query that the logic thread answers from local state, without consensus.
enum class local_query : std::uint8_t { status_json, status_page, identity };

using logic_request = std::variant<admin_request, consensus::membership, local_query>;

struct admin_input {
    net::exchange_pointer exchange;
    logic_request request;
};

void respond_json(net::http_exchange& exchange, int status, std::string body,
                  unsigned retry_after = 0) {
    exchange.respond(status, "application/json", std::move(body), retry_after);
}

void respond_error(net::http_exchange& exchange, int status, const std::string& code,
                   const std::string& message, unsigned retry_after = 0) {
    const nlohmann::json body = {{"error", {{"code", code}, {"message", message}}}};
    respond_json(exchange, status, body.dump(), retry_after);
}

class control_process_runtime {
  public:
    control_process_runtime(const settings::control_process& settings, storage::log_store store)
        : settings_(settings),
          operators_(settings.operator_file),
          core_(settings.core, store.recovered(), net::monotonic_now()),
          logic_([this](instant now) { turn(now); }),
          peers_(logic_.notifier()),
          admin_inputs_(ring_capacity, logic_.notifier()),
          storage_(std::move(store), logic_.notifier()),
          transport_({settings.core.node, settings.listen, settings.key_file}, peers_.handlers()),
          server_({settings.http_listen},
                  [this](net::exchange_pointer exchange) { on_http(std::move(exchange)); }) {}

    int run(const std::atomic<bool>& stop) {
        if (!net::start_listening(transport_, server_)) {
            return static_cast<int>(settings::exit_code::failure);
        }
        for (const auto& [node, address] : settings_.control) {
            if (node != settings_.core.node) {
                transport_.dial(node, address);
            }
        }
        storage_.start();
        logic_.start();
        logging::write_event(event_id::process_started, "listen=" + settings_.listen);
        net::wait_until([&] { return stop || storage_.failed(); });
        const bool failed = storage_.failed();
        logging::write_event(event_id::process_stopping, "");
        logic_.stop();
        storage_.stop();
        transport_.stop();
        server_.stop();
        logging::write_event(event_id::process_stopped, "");
        return static_cast<int>(failed ? settings::exit_code::storage
                                       : settings::exit_code::success);
    }

  private:
    // --- HTTP, on the server's thread ------------------------------------------------------

    void on_http(net::exchange_pointer exchange) {
        const std::string& path = exchange->path();
        const bool reads = exchange->method() == "GET";
        if (reads && net::answer_health(*exchange, ready_, metrics_)) {
            return;
        }
        if (reads && path == "/") {
            enqueue(std::move(exchange), local_query::status_page);
        } else if (reads && path == "/v1/status") {
            if (authorize(*exchange, operator_role::viewer)) {
                enqueue(std::move(exchange), local_query::status_json);
            }
        } else if (reads && path == "/v1/cluster") {
            if (authorize(*exchange, operator_role::viewer)) {
                enqueue(std::move(exchange), local_query::identity);
            }
        } else if (reads && path == "/v1/configuration") {
            if (authorize(*exchange, operator_role::viewer)) {
                enqueue(std::move(exchange), admin_request(admin_read{}));
            }
        } else if (!reads && path == "/v1/changes") {
            on_change(std::move(exchange));
        } else if (!reads && path == "/v1/cluster") {
            on_initialise(std::move(exchange));
        } else {
            respond_error(*exchange, 404, "no_such_path", "see docs/API.md for the paths");
        }
    }

    bool authorize(net::http_exchange& exchange, operator_role required_role) {
        net::signed_request request;
        request.operator_name = exchange.header(net::operator_header);
        request.time = exchange.header(net::time_header);
        request.proof = exchange.header(net::proof_header);
        request.method = exchange.method();
        request.path = exchange.path();
        request.body = exchange.body();
        const auto role = operators_.check(request, std::time(nullptr));
        const std::string fields = "operator=\"" + request.operator_name +
                                   "\" method=" + request.method + " path=" + request.path;
        if (!role || *role < required_role) {
            const std::string reason =
                role ? "needs the role " + std::string(to_string(required_role))
                     : role.error().detail;
            logging::write_event(event_id::admin_denied, fields + " reason=\"" + reason + "\"");
            respond_error(exchange, role ? 403 : 401, "denied", reason);
            return false;
        }
        logging::write_event(event_id::admin_request, fields);
        return true;
    }

    void on_change(net::exchange_pointer exchange) {
        if (!authorize(*exchange, operator_role::editor)) {
            return;
        }
        auto change = parse_admin_change(exchange->body(), exchange->header(net::operator_header));
        if (!change) {
            respond_error(*exchange, 400, "invalid", change.error().reason);
            return;
        }
        enqueue(std::move(exchange), admin_request(std::move(*change)));
    }

    void on_initialise(net::exchange_pointer exchange) {
        if (!authorize(*exchange, operator_role::administrator)) {
            return;
        }
        auto members = parse_initial_membership(exchange->body());
        if (!members) {
            respond_error(*exchange, 400, "invalid", members.error().reason);
            return;
        }
        enqueue(std::move(exchange), std::move(*members));
    }

    void enqueue(net::exchange_pointer exchange, logic_request request) {
        admin_input input{std::move(exchange), std::move(request)};
        if (!admin_inputs_.try_push(input)) {
            respond_error(*input.exchange, 429, "overloaded", "too many requests are waiting",
                          leader_retry_seconds);
        }
    }

    // --- the logic thread ------------------------------------------------------------------

    void turn(instant now) {
        net::drain_ring(storage_.results(), [&](durable_batch& batch) {
            core_.persisted(batch.number);
            for (protocol::outbound_message& message : batch.messages) {
                transport_.send(std::move(message));
            }
        });
        peers_.drain([&](net::peer_input& input) {
            if (input.message.has_value()) {
                core_.receive(input.from, *input.message, now);
            }
        });
        net::drain_ring(admin_inputs_, [&](admin_input& input) { on_admin(input, now); });
        core_.tick(now);
        emit(core_.take_output());
        expire_admin_requests(now);
        publish(now);
    }

    void on_admin(admin_input& input, instant now) {
        if (const auto* query = std::get_if<local_query>(&input.request)) {
            answer_query(*input.exchange, *query, now);
        } else if (const auto* members = std::get_if<consensus::membership>(&input.request)) {
            const bool formed = core_.initialise(*members);
            if (formed) {
                respond_json(*input.exchange, 200, R"({"formed":true})");
            } else {
                respond_error(*input.exchange, 409, "not_formed",
                              "this node belongs to a cluster already, or the list does not "
                              "name its replica");
            }
        } else {
            const std::uint64_t token = next_token_++;
            pending_requests_[token] = {std::move(input.exchange), now + admin_timeout};
            core_.request(token, std::get<admin_request>(input.request), now);
        }
    }

    void answer_query(net::http_exchange& exchange, local_query query, instant now) {
        const control_status status = core_.status(now);
        switch (query) {
            case local_query::status_json:
                respond_json(exchange, 200, render_status_json(status, settings_.core.node));
                break;
            case local_query::status_page:
                exchange.respond(200, "text/html; charset=utf-8",
                                 render_status_page(status, settings_.core.node));
                break;
            case local_query::identity:
                respond_json(exchange, 200, render_identity(status));
                break;
        }
    }

    std::string render_identity(const control_status& status) const {
        nlohmann::json members = nlohmann::json::array();
        for (const auto& [replica, member] : status.groups.front().members.members) {
            members.push_back({{"replica", std::to_string(replica)}, {"node", member.node}});
        }
        return nlohmann::json{{"node", settings_.core.node},
                              {"replica", std::to_string(status.replica)},
                              {"members", std::move(members)}}
            .dump();
    }

    void emit(control_output output) {
        for (protocol::outbound_message& message : output.messages) {
            transport_.send(std::move(message));
        }
        if (output.batch.has_value()) {
            storage_.submit(std::move(*output.batch));
        }
        for (admin_reply& reply : output.admin_replies) {
            answer_admin(reply);
        }
    }

    void answer_admin(const admin_reply& reply) {
        const auto found = pending_requests_.find(reply.token);
        if (found == pending_requests_.end()) {
            return;
        }
        net::http_exchange& exchange = *found->second.exchange;
        if (reply.status == admin_status::not_leader) {
            // The change may have been accepted; a resend with the same identity returns its
            // result.
            respond_error(
                exchange, 503, "not_leader",
                "ask the leader" + (reply.leader.empty() ? std::string{} : ", " + reply.leader),
                leader_retry_seconds);
        } else if (reply.view.has_value()) {
            respond_json(exchange, 200, configuration::render_view(*reply.view));
        } else {
            const bool accepted = reply.change.status == configuration::change_status::accepted;
            if (accepted) {
                logging::write_event(event_id::configuration_changed,
                                     "version=" + std::to_string(reply.change.version));
            }
            const bool conflict =
                reply.change.status == configuration::change_status::version_conflict;
            respond_json(exchange,
                         accepted   ? 200
                         : conflict ? 409
                                    : 400,
                         configuration::render_result(reply.change));
        }
        pending_requests_.erase(found);
    }

    void expire_admin_requests(instant now) {
        std::erase_if(pending_requests_, [&](auto& entry) {
            if (now < entry.second.deadline) {
                return false;
            }
            respond_error(*entry.second.exchange, 503, "no_quorum",
                          "no quorum answered; repeat the request with the same identity",
                          leader_retry_seconds);
            return true;
        });
    }

    void publish(instant now) {
        if (now < next_publish_) {
            return;
        }
        next_publish_ = now + metrics_interval;
        const control_status status = core_.status(now);
        ready_ = core_.is_member();
        double commits = 0;
        std::size_t programs = 0;
        for (const group_status& group : status.groups) {
            commits += static_cast<double>(group.commit_index);
            log_leadership_change(group);
        }
        for (const auto& [shard, count] : status.program_counts) {
            programs += count;
        }
        const auto number = [](auto value) { return static_cast<double>(value); };
        metrics_.publish(
            {{"control_commit_index_total", "Committed entries, all groups.", commits, true},
             {"control_groups_led", "Groups that this replica leads.", number(led_groups_.size()),
              false},
             {"control_programs", "Programs in the journals.", number(programs), false},
             {"control_nodes", "Nodes heard from.", number(status.nodes.size()), false},
             {"control_storage_syncs_total", "Syncs of the log.", number(storage_.syncs()), true},
             {"control_storage_bytes_total", "Bytes written to the log.",
              number(storage_.bytes_written()), true},
             {"configuration_version", "Configuration in force in this process.",
              number(core_.configuration().version()), false}});
    }

    void log_leadership_change(const group_status& group) {
        const std::string fields =
            "group=" + std::to_string(group.group) + " term=" + std::to_string(group.term);
        if (group.leads && led_groups_.insert(group.group).second) {
            logging::write_event(event_id::leadership_gained, fields);
        } else if (!group.leads && led_groups_.erase(group.group) > 0) {
            logging::write_event(event_id::leadership_lost, fields);
        }
    }

    struct pending_admin_request {
        net::exchange_pointer exchange;
        instant deadline{};
    };

    const settings::control_process& settings_;
    net::operator_keys operators_;
    control_core core_;
    net::logic_thread logic_;
    net::peer_input_ring peers_;
    bounded_ring<admin_input> admin_inputs_;
    storage_thread storage_;
    net::metrics_board metrics_;
    net::transport transport_;
    net::http_server server_;
    std::map<std::uint64_t, pending_admin_request> pending_requests_;
    std::set<group_id> led_groups_;
    std::uint64_t next_token_ = 1;
    instant next_publish_{};
    std::atomic<bool> ready_{false};
};

}  // namespace

int run_control(settings::control_process settings, const std::atomic<bool>& stop) {
    settings.core.seed = net::random_number();
    auto store = storage::log_store::open(settings.data_folder, net::random_number() | 1U);
    if (!store) {
        logging::write_event(event_id::storage_failed, "reason=\"" + store.error().detail + "\"");
        return static_cast<int>(settings::exit_code::storage);
    }
    logging::write_event(event_id::storage_opened, "folder=" + settings.data_folder);
    if (store->recovered().truncated_bytes > 0) {
        logging::write_event(event_id::storage_tail_cut,
                             "bytes=" + std::to_string(store->recovered().truncated_bytes));
    }
    return control_process_runtime(settings, std::move(*store)).run(stop);
}

}  // namespace tallyfold::control
