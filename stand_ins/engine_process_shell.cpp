/// @file
/// Process of the emulated engine: streams, cache and status over HTTP, and model load orders.

#include <map>

#include "stand_ins/backend_process.hpp"
#include "stand_ins/backend_runtime.hpp"
#include "stand_ins/ledger_file.hpp"
#include "tallyfold/program_api/http/http_client.hpp"

namespace tallyfold::stand_ins {

namespace {

constexpr std::chrono::milliseconds weight_timeout{120'000};

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

    bool on_other_request(net::exchange_pointer exchange, instant now) override {
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

}  // namespace

int run_engine(const engine_process& settings, const std::atomic<bool>& stop) {
    return engine_runtime(settings).run(stop);
}

}  // namespace tallyfold::stand_ins
