#include "tallyfold/plane/process/node_process_shell.hpp"

#include <prometheus/text_serializer.h>

#include <csignal>
#include <fstream>
#include <iterator>
#include <sstream>

#include "tallyfold/base/logging/bounded_log.hpp"
#include "tallyfold/base/logging/event_log.hpp"
#include "tallyfold/base/net/socket_address.hpp"
#include "tallyfold/plane/resources/process_limits_shell.hpp"

namespace tallyfold::net {

namespace {

/// Maximum delay of a log line; each flush wakes the process up.
constexpr duration log_flush_interval = std::chrono::milliseconds(200);
/// Interval of the checks for a changed settings file without SIGHUP.
constexpr duration settings_check_interval = std::chrono::seconds(1);
/// Interval at which memory is returned to the system after a burst.
constexpr duration memory_check_interval = std::chrono::seconds(1);

resources::budget_limits client_limits(const settings::node_settings& settings) {
    return resources::divide_resources(resources::process_memory(settings.memory_mb),
                                       resources::process_descriptors(settings.descriptors));
}

}  // namespace

std::string file_text(const std::string& path) {
    std::ifstream stream(path);
    return std::string((std::istreambuf_iterator<char>(stream)), {});
}

node_process::node_process(settings::node_settings settings)
    : settings_(std::move(settings)),
      registry_(std::make_shared<prometheus::Registry>()),
      clients_(*registry_, client_limits(settings_)),
      signals_(loop_, SIGTERM, SIGINT, SIGHUP),
      settings_text_(file_text(settings_.file)) {
    resources::return_large_blocks();
    std::signal(SIGPIPE, SIG_IGN);
    // Makes a write beyond the file size limit fail with an error, like one to a full disk.
    std::signal(SIGXFSZ, SIG_IGN);
}

void node_process::run_every(duration interval, std::function<void()> work) {
    run_after(interval, [this, interval, work = std::move(work)]() {
        work();
        run_every(interval, work);
    });
}

void node_process::run_after(duration delay, std::function<void()> work) {
    auto timer = std::make_shared<asio::steady_timer>(loop_, delay);
    timer->async_wait([timer, work = std::move(work)](const std::error_code& error) {
        if (!error) {
            work();
        }
    });
}

void node_process::wait_for_signals() {
    signals_.async_wait([this](const std::error_code& error, int signal) {
        if (error) {
            return;
        }
        if (signal == SIGHUP) {
            check_settings_file(true);
        } else if (!stopping_) {
            stopping_ = true;
            logging::write_event(logging::event_id::process_stopping,
                                 "signal=" + std::to_string(signal));
            on_stop_();
        }
        wait_for_signals();
    });
}

void node_process::check_settings_file(bool by_signal) {
    std::string text = file_text(settings_.file);
    if (text == settings_text_ && !by_signal) {
        return;
    }
    settings_text_ = std::move(text);
    auto read = settings::read_node_settings(settings_.file);
    if (!read) {
        // The current settings stay: an invalid file must not stop a running process.
        logging::write_event(logging::event_id::settings_refused,
                             "reason=\"" + read.error().front().text() + "\"");
        return;
    }
    settings_ = *read;
    logging::write_event(logging::event_id::settings_reloaded,
                         "signal=" + std::string(by_signal ? "yes" : "no") +
                             " seeds=" + std::to_string(settings_.seeds.size()));
    on_reload_(settings_);
}

asio::awaitable<http::endpoint_response> node_process::render_metrics() {
    http::endpoint_response response;
    response.content_type = "text/plain; version=0.0.4";
    std::ostringstream text;
    prometheus::TextSerializer().Serialize(text, registry_->Collect());
    response.body = text.str();
    co_return response;
}

int node_process::run(std::function<void()> on_stop,
                      std::function<void(const settings::node_settings&)> on_reload) {
    on_stop_ = std::move(on_stop);
    on_reload_ = std::move(on_reload);
    wait_for_signals();
    run_every(log_flush_interval, [] { logging::flush_bounded_log(); });
    run_every(settings_check_interval, [this] { check_settings_file(false); });
    run_every(memory_check_interval, [this] { clients_.update(); });
    if (settings_.metrics_port != 0) {
        metrics_server_ = std::make_unique<http::endpoint_server>(
            loop_, join_address(settings_.listen_ip, settings_.metrics_port), 0, clients_,
            resources::client_group::metrics);
        const std::string problem = metrics_server_->start(
            [this](const http::endpoint_request&) { return render_metrics(); });
        if (!problem.empty()) {
            logging::write_event(logging::event_id::settings_refused, "reason=\"" + problem + "\"");
        }
    }
    logging::write_event(logging::event_id::process_started,
                         "ip=" + settings_.ip + " zone=" + settings_.zone +
                             " first_start=" + (settings_.first_start ? "yes" : "no"));
    logging::flush_bounded_log();
    loop_.run();
    logging::write_event(logging::event_id::process_stopped,
                         "exit_code=" + std::to_string(exit_code_));
    logging::flush_bounded_log();
    return exit_code_;
}

void node_process::finish(int exit_code) {
    exit_code_ = exit_code;
    loop_.stop();
}

}  // namespace tallyfold::net
