#pragma once
/// @file
/// One request once its route and its caller are known: what all later stages read, and none of
/// them changes.

#include <memory>
#include <string>

#include "tallyfold/plane/decisions/time_budget.hpp"
#include "tallyfold/plane/forwarding/request_codec.hpp"
#include "tallyfold/plane/routing/route_table.hpp"

namespace tallyfold::forwarding {

struct forwarded_request {
    /// As the caller sent it.
    const http::message_head& head;
    const request_facts& facts;
    /// When the request's last byte was read.
    instant received;
    /// Keeps `route`, `service` and `tenant` alive.
    std::shared_ptr<const routing::route_table> table;
    const routing::route& route;
    const routing::service& service;
    /// Who calls; null where callers need no key.
    const routing::tenant* tenant;
    time_budget budget;
    /// As it goes to back ends: the caller's, with the conversation history before it.
    std::string body;
    /// The caller's body alone, where the route keeps history; empty elsewhere.
    std::string turn_input;

    [[nodiscard]] std::string tenant_name() const {
        return tenant != nullptr ? tenant->name : std::string{};
    }
    /// 0 goes first.
    [[nodiscard]] std::int32_t tenant_priority() const {
        return tenant != nullptr ? tenant->priority : 0;
    }
};

}  // namespace tallyfold::forwarding
