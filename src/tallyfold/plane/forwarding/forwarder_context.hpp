#pragma once
/// @file
/// What all requests of one forwarder share. Belongs to the loop thread; forwarder_node owns it and
/// what it refers to, and outlives every request.

#include <map>
#include <memory>
#include <string>

#include "tallyfold/plane/decisions/call_ranking.hpp"
#include "tallyfold/plane/directory/directory_client_shell.hpp"
#include "tallyfold/plane/forwarding/admission_queue_shell.hpp"
#include "tallyfold/plane/forwarding/backend_registry.hpp"
#include "tallyfold/plane/forwarding/connection_pool_shell.hpp"
#include "tallyfold/plane/forwarding/forwarder_metrics.hpp"
#include "tallyfold/plane/forwarding/request_codec.hpp"
#include "tallyfold/plane/process/node_process_shell.hpp"
#include "tallyfold/plane/routing/route_table.hpp"
#include "tallyfold/plane/tenants/quota_client_shell.hpp"
#include "tallyfold/plane/turns/turn_client_shell.hpp"

namespace tallyfold::forwarding {

struct forwarder_context {
    net::node_process& process;
    const request_codec& codec;
    directory::directory_client& directory;
    tenants::quota_client& quotas;
    turns::turn_client& turns;
    backend_registry& backends;
    connection_pool& connections;
    forwarder_metrics& metrics;
    call_ranking& ranking;
    routing::traffic_splitter splitter;
    /// The configuration in force; requests under way keep the one they began with.
    std::shared_ptr<const routing::route_table> routes;
    /// Where calls wait for admission, by the service that runs them.
    std::map<std::string, admission_queue> admission_queues;
    /// The node was asked to stop: answers tell callers to close their connections.
    bool stopping = false;

    /// True when a mechanism is switched off for a measurement.
    [[nodiscard]] bool is_disabled(settings::mechanism asked) const {
        return process.settings().off.contains(asked);
    }
    /// The service's queue, made at its first call. Without the mechanism, or with a `max_slowdown`
    /// of 0, it admits every call at once.
    admission_queue& admission_queue_of(const std::string& service) {
        const bool bounded = !is_disabled(settings::mechanism::bounded_running);
        const double max_slowdown = bounded ? process.settings().max_slowdown : 0;
        return admission_queues.try_emplace(service, process.loop(), max_slowdown).first->second;
    }
};

}  // namespace tallyfold::forwarding
