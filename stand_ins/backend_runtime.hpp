#pragma once
/// @file
/// Common runtime of the stand-in back end processes: an HTTP server, a thread for the emulator's
/// logic, the ring between them, and leaving (refuses new work, finishes work in progress).
/// Private to stand_ins/*_process_shell.cpp.

#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

#include "stand_ins/backend_protocol.hpp"
#include "tallyfold/program_api/http/http_server.hpp"
#include "tallyfold/program_api/process/logic_thread.hpp"

namespace tallyfold::stand_ins {

using scheduler::attempt_key;
using scheduler::backend_order;

constexpr std::size_t ring_capacity = 4096;
constexpr std::chrono::microseconds tick_interval{2'000};
constexpr auto stop_poll = std::chrono::milliseconds(20);
constexpr std::size_t largest_body = 64U << 20U;
constexpr int status_refused = 409;
constexpr int status_leaving = 503;
constexpr int status_unknown = 404;

struct http_input {
    net::exchange_pointer exchange;
};

inline void respond(net::http_exchange& exchange, int status, std::string body) {
    exchange.respond(status, "application/json", std::move(body));
}

inline void refuse(net::http_exchange& exchange, int status, const std::string& reason) {
    respond(exchange, status, nlohmann::json{{"error", reason}}.dump());
}

/// Base class of the back end processes. Calls its virtual functions on the logic thread only.
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
    /// Handles requests other than scheduler orders. @return false if the path is not handled
    virtual bool on_other_request(net::exchange_pointer exchange, instant now) = 0;
    virtual void on_leave() = 0;
    /// Ticks the emulator and forwards its reports. @return true if no work is in progress
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
        if (on_other_request(exchange, now)) {
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

}  // namespace tallyfold::stand_ins
