#include <iostream>
#include <map>
#include <thread>

#include "stand_ins/backend_protocol.hpp"
#include "stand_ins/platform_process.hpp"
#include "tallyfold/program_api/http/http_server.hpp"
#include "tallyfold/program_api/process/logic_thread.hpp"

namespace tallyfold::stand_ins {

namespace {

constexpr std::size_t ring_capacity = 1024;
constexpr auto stop_poll = std::chrono::milliseconds(20);
constexpr std::string_view members_path = "/v1/members";
constexpr std::string_view weights_path = "/v1/weights/";

class platform_runtime {
  public:
    explicit platform_runtime(const platform_process& settings)
        : settings_(settings),
          logic_([this](instant now) { turn(now); }),
          inputs_(ring_capacity, logic_.notifier()),
          server_({settings.listen}, [this](net::exchange_pointer exchange) {
              if (!inputs_.try_push(exchange)) {
                  exchange->respond(503, "application/json", "{}");
              }
          }) {}

    int run(const std::atomic<bool>& stop) {
        if (const std::string failure = server_.start(); !failure.empty()) {
            std::cerr << failure << '\n';
            return 1;
        }
        logic_.start();
        while (!stop) {
            std::this_thread::sleep_for(stop_poll);
        }
        logic_.stop();
        server_.stop();
        return 0;
    }

  private:
    void turn(instant now) {
        net::drain_ring(inputs_, [&](net::exchange_pointer& exchange) { serve(exchange, now); });
        while (!transfers_.empty() && transfers_.begin()->first <= now) {
            transfers_.begin()->second->respond(200, "application/json", R"({"loaded":true})");
            transfers_.erase(transfers_.begin());
        }
    }

    void serve(const net::exchange_pointer& exchange, instant now) {
        const std::string& path = exchange->path();
        if (path == "/healthz") {
            exchange->respond(200, "text/plain", "ok\n");
        } else if (path == members_path) {
            exchange->respond(200, "application/json", render_list(now));
        } else if (path == "/v1/leaving" && exchange->method() == "POST") {
            leaving_.try_emplace(exchange->body(), now + settings_.list_lag);
            exchange->respond(200, "application/json", "{}");
        } else if (path.starts_with(weights_path)) {
            // Transfers run one after the other, so that they share the rate limit.
            const duration length(static_cast<std::int64_t>(1e6 * settings_.bytes_per_model /
                                                            settings_.bytes_per_second));
            store_available_at_ = std::max(store_available_at_, now) + length;
            transfers_.emplace(store_available_at_, exchange);
        } else {
            exchange->respond(404, "application/json", "{}");
        }
    }

    std::string render_list(instant now) const {
        scheduler::members_answered list = settings_.members;
        for (scheduling::backend_member& member : list.members) {
            const auto leaving = leaving_.find(member.name);
            member.leaving = leaving != leaving_.end() && leaving->second <= now;
        }
        return render_members(list);
    }

    const platform_process& settings_;
    net::logic_thread logic_;
    bounded_ring<net::exchange_pointer> inputs_;
    net::http_server server_;
    std::map<backend_name, instant> leaving_;
    instant store_available_at_{};
    std::multimap<instant, net::exchange_pointer> transfers_;
};

}  // namespace

int run_platform(const platform_process& settings, const std::atomic<bool>& stop) {
    return platform_runtime(settings).run(stop);
}

}  // namespace tallyfold::stand_ins
