#include "tallyfold/program_api/gateway/gateway_shell.hpp"

#include <map>
#include <set>

#include "tallyfold/base/common/bounded_ring.hpp"
#include "tallyfold/base/logging/event_log.hpp"
#include "tallyfold/program_api/gateway/commands/parse_request.hpp"
#include "tallyfold/program_api/gateway/gateway_core.hpp"
#include "tallyfold/program_api/gateway/queries/render_answer.hpp"
#include "tallyfold/program_api/http/http_server.hpp"
#include "tallyfold/program_api/process/logic_thread.hpp"
#include "tallyfold/program_api/process/metrics.hpp"
#include "tallyfold/program_api/process/process_runtime.hpp"
#include "tallyfold/program_api/transport/cluster_keys.hpp"
#include "tallyfold/program_api/transport/peer_inputs.hpp"
#include "tallyfold/program_api/transport/transport.hpp"

namespace tallyfold::gateway {

namespace {

using logging::event_id;

constexpr std::size_t ring_capacity = 8192;
/// Bodies up to this multiple of the limit are read, so that they get an answer; for longer ones
/// the connection is closed.
constexpr std::size_t readable_body_factor = 4;
constexpr auto metrics_interval = std::chrono::seconds(1);

struct http_input {
    net::exchange_pointer exchange;
    caller_request request;
};

class gateway_process_runtime {
  public:
    explicit gateway_process_runtime(const settings::gateway_process& settings)
        : settings_(settings),
          core_(settings.core),
          logic_([this](instant now) { turn(now); }),
          http_inputs_(ring_capacity, logic_.notifier()),
          peers_(logic_.notifier()),
          transport_({settings.core.node, {}, settings.key_file}, peers_.handlers()),
          server_({settings.http_listen, settings.largest_body * readable_body_factor},
                  [this](net::exchange_pointer exchange) { on_http(std::move(exchange)); }) {}

    int run(const std::atomic<bool>& stop) {
        if (!net::start_listening(transport_, server_)) {
            return 1;
        }
        for (const auto& [node, address] : settings_.control) {
            transport_.dial(node, address);
        }
        logic_.start();
        logging::write_event(event_id::process_started, "http=" + settings_.http_listen);
        net::wait_until([&] { return stop.load(); });
        logging::write_event(event_id::process_stopping, "");
        draining_ = true;
        net::wait_until([this] { return drained_.load(); });
        server_.stop();
        logic_.stop();
        transport_.stop();
        logging::write_event(event_id::process_stopped, "");
        return 0;
    }

  private:
    void on_http(net::exchange_pointer exchange) {
        if (net::answer_health(*exchange, ready_, metrics_)) {
            return;
        }
        if (exchange->body().size() > settings_.largest_body) {
            journal::outcome refused;
            refused.code = journal::answer_code::too_large;
            refused.detail = "the body has more than " + std::to_string(settings_.largest_body) +
                             " bytes; send a shorter one";
            respond(*exchange, {}, refused);
            return;
        }
        auto request = parse_request(exchange->method(), exchange->path(), exchange->body(),
                                     exchange->header("Idempotency-Key"));
        if (!request) {
            respond(*exchange, {}, request.error());
            return;
        }
        http_input input{std::move(exchange), std::move(*request)};
        if (!http_inputs_.try_push(input)) {
            journal::outcome refused;
            refused.code = journal::answer_code::overloaded;
            refused.detail = "the gateway is overloaded";
            refused.retry_after_ms = 1000;
            respond(*input.exchange, input.request, refused);
        }
    }

    static void respond(net::http_exchange& exchange, const caller_request& request,
                        const journal::outcome& result) {
        exchange.respond(status_of(result), "application/json", render_answer(request, result),
                         retry_after_seconds(result));
    }

    void turn(instant now) {
        peers_.drain([&](net::peer_input& input) {
            if (input.message.has_value()) {
                core_.receive(input.from, *input.message, now);
            } else {
                core_.peer_lost(input.from, now);
            }
        });
        net::drain_ring(http_inputs_, [&](http_input& input) {
            const request_token token = next_token_++;
            protocol::scheduler_call call = input.request.call;
            open_exchanges_[token] = {std::move(input.exchange), std::move(input.request), false};
            core_.submit(token, std::move(call), now);
        });
        if (draining_ && !drain_started_) {
            drain_started_ = true;
            core_.drain();
        }
        core_.tick(now);
        dial_schedulers();
        emit(core_.take_output());
        ready_ = core_.ready(now);
        drained_ = core_.drained() && open_exchanges_.empty();
        publish(now);
    }

    void dial_schedulers() {
        for (const auto& [node, address] : core_.session().schedulers()) {
            if (dialled_addresses_[node] != address) {
                dialled_addresses_[node] = address;
                transport_.dial(node, address);
            }
        }
    }

    void emit(gateway_output output) {
        for (protocol::outbound_message& message : output.messages) {
            transport_.send(std::move(message));
        }
        for (const client_pieces& added : output.pieces) {
            const auto found = open_exchanges_.find(added.token);
            if (found == open_exchanges_.end() || !found->second.request.stream) {
                continue;
            }
            start_stream(found->second);
            for (const std::string& piece : added.pieces) {
                found->second.exchange->write(render_piece(found->second.request, piece));
            }
        }
        for (const client_answer& answered : output.answers) {
            finish(answered);
        }
    }

    struct open_exchange {
        net::exchange_pointer exchange;
        caller_request request;
        bool streaming = false;
    };

    static void start_stream(open_exchange& open) {
        if (!open.streaming) {
            open.streaming = true;
            open.exchange->start_stream();
        }
    }

    void finish(const client_answer& answered) {
        const auto found = open_exchanges_.find(answered.token);
        if (found == open_exchanges_.end()) {
            return;
        }
        open_exchange& open = found->second;
        const bool ok = answered.result.code == journal::answer_code::ok;
        if (open.request.stream && (ok || open.streaming)) {
            // The answer to a resend of a finished call comes in one piece.
            if (!open.streaming && !answered.result.answer.empty()) {
                start_stream(open);
                open.exchange->write(render_piece(open.request, answered.result.answer));
            }
            start_stream(open);
            open.exchange->write(render_stream_end(open.request, answered.result));
            if (ok) {
                open.exchange->finish();
            } else {
                open.exchange->abort();
            }
        } else {
            respond(*open.exchange, open.request, answered.result);
        }
        open_exchanges_.erase(found);
    }

    void publish(instant now) {
        if (now < next_publish_) {
            return;
        }
        next_publish_ = now + metrics_interval;
        const gateway_counters& counters = core_.counters();
        metrics_.publish({{"gateway_requests_total", "Requests taken from callers.",
                           static_cast<double>(counters.requests), true},
                          {"gateway_answers_total", "Final answers given.",
                           static_cast<double>(counters.answers), true},
                          {"gateway_refusals_total", "Answers other than ok.",
                           static_cast<double>(counters.refusals), true},
                          {"gateway_failovers_total", "Searches for another owner.",
                           static_cast<double>(counters.failovers), true},
                          {"gateway_requests_pending", "Requests under way.",
                           static_cast<double>(core_.pending()), false},
                          {"configuration_version", "Configuration in force in this process.",
                           static_cast<double>(core_.session().configuration().version()), false}});
    }

    const settings::gateway_process& settings_;
    gateway_core core_;
    net::logic_thread logic_;
    bounded_ring<http_input> http_inputs_;
    net::peer_input_ring peers_;
    net::metrics_board metrics_;
    net::transport transport_;
    net::http_server server_;
    std::map<request_token, open_exchange> open_exchanges_;
    std::map<node_name, std::string> dialled_addresses_;
    request_token next_token_ = 1;
    instant next_publish_{};
    bool drain_started_ = false;
    std::atomic<bool> ready_{false};
    std::atomic<bool> draining_{false};
    std::atomic<bool> drained_{false};
};

}  // namespace

int run_gateway(settings::gateway_process settings, const std::atomic<bool>& stop) {
    settings.core.seed = net::random_number();
    return gateway_process_runtime(settings).run(stop);
}

}  // namespace tallyfold::gateway
