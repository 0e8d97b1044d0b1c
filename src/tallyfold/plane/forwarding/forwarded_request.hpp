#pragma once
/// @file
/// A request with its route and tenant, read by all stages after admission. Not modified once the
/// turn has begun.

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "tallyfold/plane/decisions/time_budget.hpp"
#include "tallyfold/plane/forwarding/request_codec.hpp"
#include "tallyfold/plane/routing/route_table.hpp"

namespace tallyfold::forwarding {

struct forwarded_request {
    /// Head of the caller's request, unmodified.
    const http::message_head& head;
    const request_metadata& facts;
    /// When the last byte of the request was read.
    instant received;
    /// Owns the objects that `route`, `service` and `tenant` refer to.
    std::shared_ptr<const routing::route_table> table;
    const routing::route& route;
    const routing::service& service;
    /// Null when callers need no key.
    const routing::tenant* tenant;
    time_budget budget;
    /// Body sent to back ends: the conversation history followed by the caller's body.
    std::string body;
    /// Number of bytes of history at the beginning of `body`.
    std::size_t history_bytes = 0;
    /// Software version that a resumed stream has to go on at; nothing for a new one.
    std::optional<std::string> required_version = std::nullopt;

    /// The caller's body, which follows the history.
    [[nodiscard]] std::string_view caller_body() const {
        return std::string_view(body).substr(history_bytes);
    }
    [[nodiscard]] std::string tenant_name() const {
        return tenant != nullptr ? tenant->name : std::string{};
    }
    /// 0 is the highest priority.
    [[nodiscard]] std::int32_t tenant_priority() const {
        return tenant != nullptr ? tenant->priority : 0;
    }
};

}  // namespace tallyfold::forwarding
