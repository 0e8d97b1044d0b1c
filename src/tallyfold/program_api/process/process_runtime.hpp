#pragma once
/// @file
/// Parts shared by the program API's processes, which have several threads each: health endpoints,
/// startup and waiting. The forwarding plane's counterpart is plane/process/node_process.

#include <atomic>
#include <chrono>
#include <thread>

#include "tallyfold/base/logging/event_log.hpp"
#include "tallyfold/program_api/http/http_server.hpp"
#include "tallyfold/program_api/process/metrics.hpp"
#include "tallyfold/program_api/transport/transport.hpp"

namespace tallyfold::net {

/// Answers /healthz, /readyz and /metrics. @return false for any other path
inline bool answer_health(http_exchange& exchange, bool ready, const metrics_board& metrics) {
    if (exchange.path() == "/healthz") {
        exchange.respond(200, "text/plain", "ok\n");
    } else if (exchange.path() == "/readyz") {
        exchange.respond(ready ? 200 : 503, "text/plain", ready ? "ready\n" : "not ready\n");
    } else if (exchange.path() == "/metrics") {
        exchange.respond(200, "text/plain; version=0.0.4", metrics.render());
    } else {
        return false;
    }
    return true;
}

/// Starts both listeners. @return false, after logging an event, when listening on an address fails
inline bool start_listening(transport& peers, http_server& http) {
    for (const std::string& failure : {peers.start(), http.start()}) {
        if (!failure.empty()) {
            logging::write_event(logging::event_id::settings_refused, "reason=\"" + failure + "\"");
            return false;
        }
    }
    return true;
}

/// Polls until `done` returns true.
template <class Condition>
void wait_until(Condition&& done) {
    constexpr auto poll = std::chrono::milliseconds(20);
    while (!done()) {
        std::this_thread::sleep_for(poll);
    }
}

}  // namespace tallyfold::net
