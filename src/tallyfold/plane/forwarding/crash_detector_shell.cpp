#include "tallyfold/plane/forwarding/crash_detector_shell.hpp"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/experimental/as_tuple.hpp>
#include <asio/use_awaitable.hpp>

#include "tallyfold/base/logging/event_log.hpp"

namespace tallyfold::forwarding {

std::string_view text_of(crash_evidence evidence) {
    switch (evidence) {
        case crash_evidence::connect_refused:
            return "connect_refused";
        case crash_evidence::connect_timed_out:
            return "connect_timed_out";
        case crash_evidence::other_incarnation:
            break;
    }
    return "other_incarnation";
}

std::optional<crash_evidence> evidence_of(http::io_failure connect_failure) {
    switch (connect_failure) {
        case http::io_failure::refused:
            return crash_evidence::connect_refused;
        case http::io_failure::timed_out:
            return crash_evidence::connect_timed_out;
        default:
            return std::nullopt;
    }
}

crash_detector::crash_detector(net::node_process& process, connection_pool& connections,
                               poison::crash_client& crashes, forwarder_metrics& metrics)
    : process_(process), connections_(connections), crashes_(crashes), metrics_(metrics) {}

asio::awaitable<bool> crash_detector::examine(failed_run failed) {
    const auto evidence = co_await probe_backend(failed.backend, failed.address);
    if (evidence) {
        co_await record(std::move(failed), *evidence);
    } else {
        suspect(std::move(failed));
    }
    co_return evidence.has_value();
}

asio::awaitable<void> crash_detector::examine_in_background(failed_run failed) {
    co_await examine(std::move(failed));
}

void crash_detector::examine_later(failed_run failed) {
    asio::co_spawn(process_.loop(), examine_in_background(std::move(failed)), asio::detached);
}

asio::awaitable<std::optional<crash_evidence>> crash_detector::probe_backend(backend_name backend,
                                                                             std::string address) {
    const auto running = probes_.find(backend);
    if (running != probes_.end()) {
        const std::shared_ptr<probe> shared = running->second;
        while (!shared->done) {
            co_await shared->ended.async_wait(asio::experimental::as_tuple(asio::use_awaitable));
        }
        co_return shared->evidence;
    }
    const auto started = std::make_shared<probe>(process_.loop());
    probes_[backend] = started;
    started->evidence = co_await connect_to(std::move(address));
    started->done = true;
    started->ended.cancel();
    probes_.erase(backend);
    co_return started->evidence;
}

asio::awaitable<std::optional<crash_evidence>> crash_detector::connect_to(std::string address) {
    const auto opened = std::make_shared<backend_connection>(process_.loop());
    metrics_.count_connection();
    const auto connected = co_await opened->connect(address, steady_now() + probe_timeout);
    if (connected) {
        // Saves the next call to the back end a connection.
        connections_.put(address, opened, std::nullopt, steady_now());
        co_return std::nullopt;
    }
    co_return evidence_of(connected.error());
}

asio::awaitable<void> crash_detector::record(failed_run failed, crash_evidence evidence) {
    const instant started = steady_now();
    poison::crash ended{failed.backend, failed.sent, failed.failed};
    const poison::report_outcome outcome =
        co_await crashes_.report(failed.content, std::move(ended));
    const instant now = steady_now();
    metrics_.count_crash(std::string(text_of(evidence)));
    logging::write_event(
        logging::event_id::backend_ended_under_request,
        "request=" + failed.request + " content=" + poison::to_string(failed.content) +
            " backend=" + failed.backend + " evidence=" + std::string(text_of(evidence)) +
            " ran_ms=" + std::to_string(to_milliseconds(failed.failed - failed.sent)) +
            " consecutive=" + std::to_string(outcome.consecutive) + " directory_nodes=" +
            std::to_string(outcome.told) + " answered=" + std::to_string(outcome.answered) +
            " evidence_age_ms=" + std::to_string(to_milliseconds(started - failed.failed)) +
            " waited_ms=" + std::to_string(to_milliseconds(now - started)));
    if (outcome.consecutive >= poison::max_crashes && outcome.told > 0) {
        asio::steady_timer timer(process_.loop(), settle_time);
        co_await timer.async_wait(asio::experimental::as_tuple(asio::use_awaitable));
    }
}

void crash_detector::suspect(failed_run failed) {
    remove_old_suspicions(steady_now());
    if (suspicion_count_ < max_suspicions) {
        ++suspicion_count_;
        suspicions_[failed.backend].push_back(std::move(failed));
    }
}

void crash_detector::remove_old_suspicions(instant now) {
    for (auto entry = suspicions_.begin(); entry != suspicions_.end();) {
        suspicion_count_ -= std::erase_if(entry->second, [&](const failed_run& failed) {
            return now - failed.failed > suspicion_lifetime;
        });
        entry = entry->second.empty() ? suspicions_.erase(entry) : std::next(entry);
    }
}

void crash_detector::on_connect_failed(const backend_name& backend, http::io_failure failure) {
    if (const auto evidence = evidence_of(failure)) {
        confirm(backend, *evidence);
    }
}

void crash_detector::on_replaced(const backend_name& backend) {
    confirm(backend, crash_evidence::other_incarnation);
}

void crash_detector::confirm(const backend_name& backend, crash_evidence evidence) {
    remove_old_suspicions(steady_now());
    const auto found = suspicions_.find(backend);
    if (found == suspicions_.end()) {
        return;
    }
    const std::vector<failed_run> confirmed = std::move(found->second);
    suspicions_.erase(found);
    suspicion_count_ -= confirmed.size();
    for (const failed_run& failed : confirmed) {
        asio::co_spawn(process_.loop(), record(failed, evidence), asio::detached);
    }
}

void crash_detector::on_answered(const backend_name& backend, instant sent) {
    const auto found = suspicions_.find(backend);
    if (found == suspicions_.end()) {
        return;
    }
    suspicion_count_ -= std::erase_if(
        found->second, [&](const failed_run& failed) { return failed.failed <= sent; });
    if (found->second.empty()) {
        suspicions_.erase(found);
    }
}

}  // namespace tallyfold::forwarding
