#include "tallyfold/program_api/scheduler/scheduler_shell.hpp"

#include <thread>

#include "tallyfold/base/common/bounded_ring.hpp"
#include "tallyfold/base/logging/event_log.hpp"
#include "tallyfold/program_api/http/http_server.hpp"
#include "tallyfold/program_api/process/logic_thread.hpp"
#include "tallyfold/program_api/process/metrics.hpp"
#include "tallyfold/program_api/process/process_runtime.hpp"
#include "tallyfold/program_api/scheduler/backend_client.hpp"
#include "tallyfold/program_api/transport/cluster_keys.hpp"
#include "tallyfold/program_api/transport/peer_inputs.hpp"
#include "tallyfold/program_api/transport/transport.hpp"

namespace tallyfold::scheduler {

namespace {

using logging::event_id;

constexpr auto metrics_interval = std::chrono::seconds(1);

class scheduler_process_runtime {
  public:
    explicit scheduler_process_runtime(const settings::scheduler_process& settings)
        : settings_(settings),
          core_(settings.core, net::monotonic_now()),
          logic_([this](instant now) { turn(now); }),
          peers_(logic_.notifier()),
          transport_({settings.core.node, settings.listen, settings.key_file}, peers_.handlers()),
          backends_(settings.members_address, logic_.notifier()),
          server_({settings.http_listen},
                  [this](net::exchange_pointer exchange) { on_http(*exchange); }) {}

    int run(const std::atomic<bool>& stop) {
        if (!net::start_listening(transport_, server_)) {
            return 1;
        }
        for (const auto& [node, address] : settings_.control) {
            transport_.dial(node, address);
        }
        backends_.start();
        logic_.start();
        logging::write_event(event_id::process_started, "listen=" + settings_.listen);
        net::wait_until([&] { return stop.load(); });
        logging::write_event(event_id::process_stopping, "");
        draining_ = true;
        net::wait_until([this] { return drained_.load(); });
        logic_.stop();
        backends_.stop();
        transport_.stop();
        server_.stop();
        logging::write_event(event_id::process_stopped, "");
        return 0;
    }

  private:
    void on_http(net::http_exchange& exchange) {
        if (!net::answer_health(exchange, ready_, metrics_)) {
            exchange.respond(404, "text/plain", "paths: /healthz /readyz /metrics\n");
        }
    }

    void turn(instant now) {
        peers_.drain([&](net::peer_input& input) {
            if (input.message.has_value()) {
                core_.receive(input.from, *input.message, now);
            }
        });
        for (const backend_report& report : backends_.take_reports()) {
            core_.report(report, now);
        }
        if (draining_ && !drain_started_) {
            drain_started_ = true;
            core_.drain();
        }
        core_.tick(now);
        emit(core_.take_output());
        const scheduler_gauges gauges = core_.gauges(now);
        ready_ = gauges.configuration_fresh && !draining_;
        drained_ = core_.drained();
        publish(gauges, now);
    }

    void emit(scheduler_output output) {
        for (protocol::outbound_message& message : output.messages) {
            transport_.send(std::move(message));
        }
        for (const backend_order& order : output.orders) {
            backends_.submit(order);
        }
        for (const logging::event_record& record : output.events) {
            logging::write_event(record);
        }
    }

    void publish(const scheduler_gauges& gauges, instant now) {
        if (now < next_publish_) {
            return;
        }
        next_publish_ = now + metrics_interval;
        const scheduler_counters& counters = core_.counters();
        const auto number = [](auto value) { return static_cast<double>(value); };
        metrics_.publish(
            {{"scheduler_calls_accepted_total", "Calls admitted.", number(counters.calls_accepted),
              true},
             {"scheduler_calls_refused_total", "Calls refused.", number(counters.calls_refused),
              true},
             {"scheduler_calls_ended_total", "Calls ended.", number(counters.calls_ended), true},
             {"scheduler_attempts_total", "Attempts begun at back ends.",
              number(counters.attempts_begun), true},
             {"scheduler_retries_total", "Attempts after the first.", number(counters.retries),
              true},
             {"scheduler_resumes_total", "Streams resumed.", number(counters.resumes), true},
             {"scheduler_programs_opened_total", "Programs opened.",
              number(counters.programs_opened), true},
             {"scheduler_programs_closed_total", "Programs closed.",
              number(counters.programs_closed), true},
             {"scheduler_programs_reaped_total", "Programs closed as abandoned.",
              number(counters.programs_reaped), true},
             {"scheduler_policy_failures_total", "Evaluations of policies that failed.",
              number(counters.policy_failures), true},
             {"scheduler_cache_releases_repeated_total", "Release orders sent again.",
              number(counters.cache_releases_repeated), true},
             {"scheduler_shards", "Shards that are served.", number(gauges.shards_serving), false},
             {"scheduler_calls_active", "Calls under way.", number(gauges.calls_active), false},
             {"scheduler_calls_waiting", "Calls in the queues.", number(gauges.calls_waiting),
              false},
             {"scheduler_appends_pending", "Journal appends without an answer.",
              number(gauges.appends_pending), false},
             {"configuration_version", "Configuration in force in this process.",
              number(gauges.configuration), false}});
    }

    const settings::scheduler_process& settings_;
    scheduler_core core_;
    net::logic_thread logic_;
    net::peer_input_ring peers_;
    net::metrics_board metrics_;
    net::transport transport_;
    backend_client backends_;
    net::http_server server_;
    instant next_publish_{};
    bool drain_started_ = false;
    std::atomic<bool> ready_{false};
    std::atomic<bool> draining_{false};
    std::atomic<bool> drained_{false};
};

}  // namespace

int run_scheduler(settings::scheduler_process settings, const std::atomic<bool>& stop) {
    settings.core.seed = net::random_number();
    return scheduler_process_runtime(settings).run(stop);
}

}  // namespace tallyfold::scheduler
