#pragma once
/// @file
/// First stage of a request: finds its route and tenant and enforces the tenant's rate limit.
/// Queries the directory and the quota service; decisions/local_answer defines the answers to
/// refused requests. Used on the loop thread only.

#include <asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>

#include "tallyfold/plane/decisions/local_answer.hpp"
#include "tallyfold/plane/forwarding/forwarder_context.hpp"

namespace tallyfold::forwarding {

class caller_admission {
  public:
    /// @param head and `facts` must outlive the admission
    caller_admission(forwarder_context& context, const http::message_head& head,
                     const request_metadata& facts);

    /// Finds the route and the tenant. @return the answer when the request is refused
    asio::awaitable<std::optional<local_answer>> identify();
    /// Acquires a permit if the tenant is limited. @return the answer when the request is refused
    asio::awaitable<std::optional<local_answer>> take_permit(tenants::permit_need need);
    /// Returns the permit of a request that did not run on any back end.
    void return_permit();

    /// Configuration used for the decision; null when the node has none yet.
    [[nodiscard]] const std::shared_ptr<const routing::route_table>& table() const {
        return table_;
    }
    /// Null unless identify() has found a route.
    [[nodiscard]] const routing::route* route() const { return route_; }
    /// Null when callers need no key or are unidentified.
    [[nodiscard]] const routing::tenant* tenant() const { return tenant_; }

  private:
    asio::awaitable<std::optional<local_answer>> find_route();
    asio::awaitable<std::optional<local_answer>> find_tenant();
    /// Requests a newer configuration from the directory and applies it. @return false when the
    /// directory did not respond, so that an unknown route or key may exist in a newer
    /// configuration
    asio::awaitable<bool> refresh_table();
    /// Looks the route up in the current configuration; null when there is none.
    [[nodiscard]] const routing::route* lookup_route() const;
    /// Time since the configuration was last confirmed to be the newest.
    [[nodiscard]] duration proof_age() const;
    /// Log fields of the configuration version and of its last confirmation.
    [[nodiscard]] std::string describe_proof(duration waited) const;
    /// Logs a refused caller. @param waited time spent on the directory or the quota service
    void log_refusal(const local_answer& answer, duration waited) const;

    forwarder_context& context_;
    const http::message_head& head_;
    const request_metadata& facts_;
    std::shared_ptr<const routing::route_table> table_;
    const routing::route* route_ = nullptr;
    const routing::tenant* tenant_ = nullptr;
    /// When the request's permit was acquired; nothing when it has none.
    std::optional<instant> permit_acquired_at_;
};

}  // namespace tallyfold::forwarding
