#pragma once
/// @file
/// Common runtime of the nodes of the forwarding plane: event loop, signals, reload of the settings
/// file, bounded log and metrics. Owns the loop, the metrics registry and the current settings.
///
/// Everything runs on one thread: the machines run one thread at a time, and wake-ups are costly.

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/plane/http/endpoint_server_shell.hpp"
#include "tallyfold/plane/process/node_settings.hpp"
#include "tallyfold/plane/resources/client_registry_shell.hpp"

namespace tallyfold::net {

class node_process {
  public:
    explicit node_process(settings::node_settings settings);

    [[nodiscard]] asio::io_context& loop() { return loop_; }
    [[nodiscard]] const settings::node_settings& settings() const { return settings_; }
    [[nodiscard]] prometheus::Registry& metrics() { return *registry_; }
    /// Memory and connections of the clients of all listeners of this process.
    [[nodiscard]] resources::client_registry& clients() { return clients_; }

    /// Calls `work` every `interval`, the first time after one interval.
    void run_every(duration interval, std::function<void()> work);
    /// Calls `work` once, after `delay`.
    void run_after(duration delay, std::function<void()> work);

    /// Runs the loop until finish().
    /// @param on_stop called once on SIGTERM or SIGINT; has to result in a call of finish()
    /// @param on_reload called with the new settings after each reload
    /// @return the exit code
    int run(std::function<void()> on_stop,
            std::function<void(const settings::node_settings&)> on_reload);
    /// Makes run() return.
    void finish(int exit_code = 0);

  private:
    void wait_for_signals();
    void check_settings_file(bool by_signal);
    asio::awaitable<http::endpoint_response> render_metrics();

    settings::node_settings settings_;
    std::shared_ptr<prometheus::Registry> registry_;
    /// Outlives the loop, whose coroutines own sessions of clients.
    resources::client_registry clients_;
    asio::io_context loop_{1};
    asio::signal_set signals_;
    std::unique_ptr<http::endpoint_server> metrics_server_;
    std::function<void()> on_stop_;
    std::function<void(const settings::node_settings&)> on_reload_;
    std::string settings_text_;
    bool stopping_ = false;
    int exit_code_ = 0;
};

/// Contents of a file; empty when it can't be read, so that callers have to check the text.
std::string file_text(const std::string& path);

}  // namespace tallyfold::net
