#pragma once
/// @file
/// State shared by all requests of one forwarder. forwarder_node owns it and the objects it refers
/// to, and outlives every request. Used on the loop thread only.

#include <map>
#include <memory>
#include <string>

#include "tallyfold/plane/decisions/call_ranking.hpp"
#include "tallyfold/plane/decisions/shutdown_sequence.hpp"
#include "tallyfold/plane/directory/directory_client_shell.hpp"
#include "tallyfold/plane/forwarding/admission_queue_shell.hpp"
#include "tallyfold/plane/forwarding/backend_registry.hpp"
#include "tallyfold/plane/forwarding/connection_pool_shell.hpp"
#include "tallyfold/plane/forwarding/crash_detector_shell.hpp"
#include "tallyfold/plane/forwarding/dispatch_client_shell.hpp"
#include "tallyfold/plane/forwarding/forwarder_metrics.hpp"
#include "tallyfold/plane/forwarding/request_codec.hpp"
#include "tallyfold/plane/process/node_process_shell.hpp"
#include "tallyfold/plane/routing/route_table.hpp"
#include "tallyfold/plane/streams/origin_client_shell.hpp"
#include "tallyfold/plane/tenants/quota_client_shell.hpp"
#include "tallyfold/plane/turns/turn_client_shell.hpp"

namespace tallyfold::forwarding {

struct forwarder_context {
    net::node_process& process;
    const request_codec& codec;
    directory::directory_client& directory;
    tenants::quota_client& quotas;
    turns::turn_client& turns;
    streams::origin_client& origins;
    backend_registry& backends;
    connection_pool& connections;
    forwarder_metrics& metrics;
    call_ranking& ranking;
    dispatch_client& dispatch;
    poison::crash_client& crashes;
    crash_detector& crash_detection;
    routing::traffic_splitter splitter;
    /// Current configuration; a running request keeps the one it began with.
    std::shared_ptr<const routing::route_table> routes;
    /// Admission queues by service.
    std::map<std::string, admission_queue> admission_queues;
    /// True once the node is shutting down: answers then carry Connection: close.
    bool stopping = false;
    /// The shutdown that is in progress; null without one.
    const shutdown_sequence* shutdown = nullptr;

    /// True when a mechanism is disabled for a measurement.
    [[nodiscard]] bool is_disabled(settings::mechanism asked) const {
        return process.settings().disabled.contains(asked);
    }
    /// The service's queue, created on first use. Without the mechanism bounded_running, or with a
    /// `max_slowdown` of 0, it admits every call immediately.
    admission_queue& admission_queue_of(const std::string& service) {
        const bool bounded = !is_disabled(settings::mechanism::bounded_running);
        const double max_slowdown = bounded ? process.settings().max_slowdown : 0;
        return admission_queues.try_emplace(service, process.loop(), max_slowdown).first->second;
    }
};

}  // namespace tallyfold::forwarding
