/// @file
/// Process of the emulated app or tool service. Syncs the record of a run before responding.

#include <map>

#include "stand_ins/backend_process.hpp"
#include "stand_ins/backend_runtime.hpp"
#include "stand_ins/ledger_file.hpp"
#include "stand_ins/service_store.hpp"

namespace tallyfold::stand_ins {

namespace {

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

    bool on_other_request(net::exchange_pointer /*exchange*/, instant /*now*/) override {
        return false;
    }
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
        // The run must be durable before the response is sent.
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

int run_service(const service_process& settings, const std::atomic<bool>& stop) {
    auto store = service_store::open(settings.record_path);
    if (!store) {
        std::cerr << store.error().detail << '\n';
        return 3;
    }
    return service_runtime(settings, std::move(*store)).run(stop);
}

}  // namespace tallyfold::stand_ins
