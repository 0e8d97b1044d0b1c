#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

#include "stand_ins/backend_process.hpp"
#include "stand_ins/backend_protocol.hpp"
#include "stand_ins/ledger_file.hpp"
#include "stand_ins/service_store.hpp"
#include "tallyfold/program_api/http/http_client.hpp"
#include "tallyfold/program_api/http/http_server.hpp"
#include "tallyfold/program_api/process/logic_thread.hpp"

namespace tallyfold::stand_ins {

namespace {

using scheduler::attempt_key;
using scheduler::backend_order;

constexpr std::size_t ring_capacity = 4096;
constexpr std::chrono::microseconds tick_interval{2'000};
constexpr auto stop_poll = std::chrono::milliseconds(20);
constexpr std::size_t largest_body = 64U << 20U;
constexpr std::chrono::milliseconds weight_timeout{120'000};
constexpr int status_refused = 409;
constexpr int status_leaving = 503;
constexpr int status_unknown = 404;

struct http_input {
    net::exchange_pointer exchange;
};

void respond(net::http_exchange& exchange, int status, std::string body) {
    exchange.respond(status, "application/json", std::move(body));
}

void refuse(net::http_exchange& exchange, int status, const std::string& reason) {
    respond(exchange, status, nlohmann::json{{"error", reason}}.dump());
}

/// What both kinds of back end share: the server, the ring to the logic thread, leaving.
class backend_runtime {
  public:
    explicit backend_runtime(const std::string& listen)
        : logic_([this](instant now) { turn(now); }, tick_interval),
          inputs_(ring_capacity, logic_.notifier()),
          server_({listen, largest_body},
                  [this](net::exchange_pointer exchange) { on_http(std::move(exchange)); }) {}
    virtual ~backend_runtime() = default;
    backend_runtime(const backend_runtime&) = delete;
    backend_runtime& operator=(const backend_runtime&) = delete;

    int run(const std::atomic<bool>& stop) {
        if (const std::string failure = server_.start(); !failure.empty()) {
            std::cerr << failure << '\n';
            return 1;
        }
        logic_.start();
        while (!stop) {
            std::this_thread::sleep_for(stop_poll);
        }
        leaving_ = true;
        while (!idle_) {
            std::this_thread::sleep_for(stop_poll);
        }
        logic_.stop();
        server_.stop();
        return 0;
    }

  protected:
    virtual void on_order(net::exchange_pointer exchange, const backend_order& order,
                          instant now) = 0;
    /// A request that is no order; @return false when there is no such path.
    virtual bool on_other(net::exchange_pointer exchange, instant now) = 0;
    virtual void on_leave() = 0;
    /// Ticks the emulator, passes its reports on. @return true when nothing is under way
    virtual bool step(instant now) = 0;

    net::logic_thread& logic() { return logic_; }

  private:
    void on_http(net::exchange_pointer exchange) {
        if (exchange->path() == "/healthz") {
            exchange->respond(200, "text/plain", "ok\n");
            return;
        }
        http_input input{std::move(exchange)};
        if (!inputs_.try_push(input)) {
            refuse(*input.exchange, status_refused, "overloaded");
        }
    }

    void turn(instant now) {
        if (leaving_ && !told_) {
            told_ = true;
            on_leave();
        }
        net::drain_ring(inputs_, [&](http_input& input) { dispatch(input.exchange, now); });
        idle_ = step(now) && told_;
    }

    void dispatch(const net::exchange_pointer& exchange, instant now) {
        if (exchange->method() == "POST" && exchange->path() == "/v1/leave") {
            leaving_ = true;
            respond(*exchange, 200, "{}");
            return;
        }
        if (on_other(exchange, now)) {
            return;
        }
        const auto order = parse_order(exchange->method(), exchange->path(),
                                       exchange->query("after"), exchange->body());
        if (!order) {
            refuse(*exchange, 400, order.error().reason);
            return;
        }
        on_order(exchange, *order, now);
    }

    net::logic_thread logic_;
    bounded_ring<http_input> inputs_;
    net::http_server server_;
    bool told_ = false;
    std::atomic<bool> leaving_{false};
    std::atomic<bool> idle_{false};
};

class engine_runtime final : public backend_runtime {
  public:
    explicit engine_runtime(const engine_process& settings)
        : backend_runtime(settings.listen),
          settings_(settings),
          prefill_(std::make_shared<prefill_ledger>()),
          core_(settings.core, prefill_, net::monotonic_now()),
          ledger_(settings.ledger_path),
          fetched_(ring_capacity, logic().notifier()),
          client_([this](net::http_event event) { fetched_.push(std::move(event)); }) {
        client_.start();
    }
    ~engine_runtime() override { client_.stop(); }

  protected:
    void on_order(net::exchange_pointer exchange, const backend_order& order,
                  instant now) override {
        if (const auto* start = std::get_if<scheduler::start_stream>(&order)) {
            attach(std::move(exchange), start->key, core_.start(*start, now));
        } else if (const auto* resume = std::get_if<scheduler::resume_stream>(&order)) {
            attach(std::move(exchange), resume->key, core_.resume(*resume, now));
        } else if (const auto* cancel = std::get_if<scheduler::cancel_stream>(&order)) {
            core_.cancel(cancel->key, now);
            close(cancel->key);
            respond(*exchange, 200, "{}");
        } else if (const auto* retain = std::get_if<scheduler::retain_cache>(&order)) {
            core_.retain(*retain, now);
            respond(*exchange, 200, "{}");
        } else if (const auto* release = std::get_if<scheduler::release_cache>(&order)) {
            for (const program_id& program : release->programs) {
                core_.release(program, now);
            }
            respond(*exchange, 200, "{}");
        } else if (const auto* poll = std::get_if<scheduler::poll_status>(&order)) {
            respond(*exchange, 200, render_status(core_.status(poll->after_event, now)));
        } else {
            refuse(*exchange, status_unknown, "this is an engine");
        }
    }

    bool on_other(net::exchange_pointer exchange, instant now) override {
        const std::string& path = exchange->path();
        if (path == "/v1/orders") {
            on_engine_order(std::move(exchange));
        } else if (path == "/v1/cache") {
            respond(*exchange, 200,
                    nlohmann::json{{"prefilled", prefill_->prefilled()},
                                   {"rebuilt", prefill_->rebuilt()},
                                   {"held", core_.held_programs()}}
                        .dump());
        } else if (path == "/v1/cache/export") {
            on_export(*exchange);
        } else if (path == "/v1/cache/import") {
            on_import(*exchange, now);
        } else {
            return false;
        }
        return true;
    }

    void on_leave() override { core_.leave(); }

    bool step(instant now) override {
        net::drain_ring(fetched_, [this](net::http_event& event) { on_weights(event); });
        (void)core_.tick(now);
        for (const scheduler::backend_report& report : core_.take_reports()) {
            pass_on(report);
        }
        ledger_.update(core_.entries());
        return core_.idle();
    }

  private:
    void attach(net::exchange_pointer exchange, const attempt_key& key,
                const tl::expected<void, engine_refusal>& taken) {
        if (!taken) {
            const bool leaving = taken.error() == engine_refusal::leaving;
            const bool unknown = taken.error() == engine_refusal::unknown;
            refuse(*exchange,
                   leaving   ? status_leaving
                   : unknown ? status_unknown
                             : status_refused,
                   leaving ? "leaving" : "refused");
            return;
        }
        close(key);
        exchange->start_stream();
        readers_[key] = std::move(exchange);
    }

    void close(const attempt_key& key) {
        const auto reader = readers_.find(key);
        if (reader != readers_.end()) {
            reader->second->finish();
            readers_.erase(reader);
        }
    }

    void pass_on(const scheduler::backend_report& report) {
        if (const auto* pieces = std::get_if<scheduler::stream_pieces>(&report)) {
            const auto reader = readers_.find(pieces->key);
            if (reader != readers_.end()) {
                reader->second->write(render_stream_event(*pieces));
            }
        } else if (const auto* finished = std::get_if<scheduler::stream_finished>(&report)) {
            const auto reader = readers_.find(finished->key);
            if (reader != readers_.end()) {
                reader->second->write(render_stream_event(*finished));
            }
            close(finished->key);
        } else if (const auto* refused = std::get_if<scheduler::attempt_failed>(&report)) {
            const auto reader = readers_.find(refused->key);
            if (reader != readers_.end()) {
                reader->second->write(render_stream_refused());
            }
            close(refused->key);
        }
    }

    // --- orders to the engine itself -------------------------------------------------------

    struct pending_order {
        net::exchange_pointer exchange;
        engine_order order;
    };

    void on_engine_order(net::exchange_pointer exchange) {
        const auto body = nlohmann::json::parse(exchange->body(), nullptr, false);
        if (!body.is_object() || !body.contains("fence") ||
            !body.at("fence").is_number_unsigned()) {
            refuse(*exchange, 400, "an order is an object with 'fence', a number");
            return;
        }
        engine_order order;
        order.fence = body.at("fence").get<std::uint64_t>();
        order.model = body.value("model", "");
        order.adapter = body.value("adapter", "");
        order.version = body.value("version", "");
        order.role = body.value("role", "");
        const net::http_call_id id = next_fetch_++;
        orders_[id] = {std::move(exchange), order};
        if (settings_.weight_store.empty() || order.model.empty()) {
            apply(id);
            return;
        }
        net::http_call fetch;
        fetch.id = id;
        fetch.url = "http://" + settings_.weight_store + "/v1/weights/" + order.model;
        fetch.timeout = weight_timeout;
        if (!client_.submit(std::move(fetch))) {
            refuse(*orders_.at(id).exchange, status_refused, "overloaded");
            orders_.erase(id);
        }
    }

    void on_weights(const net::http_event& event) {
        if (event.kind == net::http_event_kind::finished && event.status == 200) {
            apply(event.id);
            return;
        }
        refuse(*orders_.at(event.id).exchange, 502, "the weight store did not answer");
        orders_.erase(event.id);
    }

    void apply(net::http_call_id id) {
        const pending_order pending = orders_.at(id);
        orders_.erase(id);
        if (core_.apply(pending.order)) {
            respond(*pending.exchange, 200, "{}");
        } else {
            refuse(*pending.exchange, status_refused, "a later order has been carried out");
        }
    }

    void on_export(net::http_exchange& exchange) {
        const exported_prefix prefix = core_.export_prefix(exchange.query("program"));
        nlohmann::json nodes = nlohmann::json::array();
        for (const exported_prefix::node& node : prefix.nodes) {
            nodes.push_back({node.parent, node.point.hash, node.point.tokens, node.tokens});
        }
        respond(exchange, 200,
                nlohmann::json{{"program", prefix.program}, {"nodes", std::move(nodes)}}.dump());
    }

    void on_import(net::http_exchange& exchange, instant now) {
        try {
            const auto body = nlohmann::json::parse(exchange.body());
            exported_prefix prefix;
            prefix.program = body.at("program").get<std::string>();
            for (const auto& node : body.at("nodes")) {
                prefix.nodes.push_back(
                    {node.at(0).get<scheduling::prefix_hash>(),
                     {node.at(1).get<scheduling::prefix_hash>(), node.at(2).get<token_count>()},
                     node.at(3).get<token_count>()});
            }
            core_.import_prefix(prefix, now);
            respond(exchange, 200, "{}");
        } catch (const nlohmann::json::exception& failure) {
            refuse(exchange, 400, failure.what());
        }
    }

    const engine_process& settings_;
    std::shared_ptr<prefill_ledger> prefill_;
    engine_core core_;
    ledger_file ledger_;
    std::map<attempt_key, net::exchange_pointer> readers_;
    std::map<net::http_call_id, pending_order> orders_;
    net::http_call_id next_fetch_ = 1;
    bounded_ring<net::http_event> fetched_;
    net::http_client client_;
};

class service_runtime final : public backend_runtime {
  public:
    service_runtime(const service_process& settings, service_store store)
        : backend_runtime(settings.listen),
          store_(std::move(store)),
          core_(settings.core, store_.recovered()),
          ledger_(settings.ledger_path) {}

  protected:
    void on_order(net::exchange_pointer exchange, const backend_order& order,
                  instant now) override {
        if (const auto* run = std::get_if<scheduler::run_request>(&order)) {
            on_run(std::move(exchange), *run, now);
        } else if (const auto* seal = std::get_if<scheduler::seal_request>(&order)) {
            const scheduler::seal_answered answer = core_.seal(seal->key);
            store_.add_seal(seal->key);
            require_synced();
            respond(*exchange, 200,
                    nlohmann::json{{"ran", answer.ran}, {"answer", answer.answer}}.dump());
        } else if (std::holds_alternative<scheduler::poll_status>(order)) {
            respond(*exchange, 200, render_status(core_.status(now)));
        } else {
            refuse(*exchange, status_unknown, "this is a service");
        }
    }

    bool on_other(net::exchange_pointer /*exchange*/, instant /*now*/) override { return false; }
    void on_leave() override { core_.leave(); }

    bool step(instant now) override {
        (void)core_.tick(now);
        for (const scheduler::backend_report& report : core_.take_reports()) {
            const auto* answered = std::get_if<scheduler::request_answered>(&report);
            const auto reader = answered == nullptr ? readers_.end() : readers_.find(answered->key);
            if (reader != readers_.end()) {
                respond(*reader->second, 200, nlohmann::json{{"answer", answered->answer}}.dump());
                readers_.erase(reader);
            }
        }
        ledger_.update(core_.entries());
        return core_.idle();
    }

  private:
    void on_run(net::exchange_pointer exchange, const scheduler::run_request& request,
                instant now) {
        const auto taken = core_.run(request, now);
        if (!taken) {
            const bool leaving = taken.error() == service_refusal::leaving;
            refuse(*exchange, leaving ? status_leaving : status_refused,
                   leaving ? "leaving" : "refused");
            return;
        }
        // The answer must not leave before it is certain that the run will be remembered.
        store_.add_run(request, core_.record().answers.at(request.key.text()));
        require_synced();
        readers_[request.key] = std::move(exchange);
    }

    void require_synced() {
        if (const auto synced = store_.sync(); !synced) {
            std::cerr << synced.error().detail << '\n';
            std::_Exit(3);
        }
    }

    service_store store_;
    service_core core_;
    ledger_file ledger_;
    std::map<attempt_key, net::exchange_pointer> readers_;
};

}  // namespace

int run_engine(const engine_process& settings, const std::atomic<bool>& stop) {
    return engine_runtime(settings).run(stop);
}

int run_service(const service_process& settings, const std::atomic<bool>& stop) {
    auto store = service_store::open(settings.record_path);
    if (!store) {
        std::cerr << store.error().detail << '\n';
        return 3;
    }
    return service_runtime(settings, std::move(*store)).run(stop);
}

}  // namespace tallyfold::stand_ins
