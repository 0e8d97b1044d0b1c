#pragma once
/// @file
/// The first stage of a request: by which route it goes, who calls, and whether the tenant's limit
/// lets it in. Asks the directory and the lender of permits; decisions/own_answer says how it is
/// refused. Belongs to the loop thread.

#include <asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>

#include "tallyfold/plane/decisions/own_answer.hpp"
#include "tallyfold/plane/forwarding/forwarder_context.hpp"

namespace tallyfold::forwarding {

class caller_admission {
  public:
    /// @param head and `facts` have to outlive the admission
    caller_admission(forwarder_context& context, const http::message_head& head,
                     const request_facts& facts);

    /// Finds the route and the tenant. @return the answer of a request that is refused
    asio::awaitable<std::optional<own_answer>> identify();
    /// Takes a permit of a tenant that has a limit. @return the answer of a request that is refused
    asio::awaitable<std::optional<own_answer>> take_permit(tenants::permit_need need);
    /// Gives the permit of a request back that has run nowhere.
    void give_back_permit();

    /// The configuration that decided; null while the node knows none.
    [[nodiscard]] const std::shared_ptr<const routing::route_table>& table() const {
        return table_;
    }
    /// Null until identify() found it.
    [[nodiscard]] const routing::route* route() const { return route_; }
    /// Null where callers need no key.
    [[nodiscard]] const routing::tenant* tenant() const { return tenant_; }

  private:
    asio::awaitable<std::optional<own_answer>> find_route();
    asio::awaitable<std::optional<own_answer>> find_tenant();
    /// Asks the directory for a newer configuration and takes it over. @return false when the
    /// directory is silent: what this node doesn't know may exist all the same
    asio::awaitable<bool> refresh_table();
    /// The route by the configuration at hand; null for none.
    [[nodiscard]] const routing::route* known_route() const;
    /// Since the configuration was last proved to be the newest.
    [[nodiscard]] duration proof_age() const;
    /// For log lines: by which configuration a call is decided, and what proves that it is new.
    [[nodiscard]] std::string describe_proof(duration waited) const;
    /// Logs that the caller is refused. @param waited for the directory or the lender of permits
    void log_refusal(const own_answer& answer, duration waited) const;

    forwarder_context& context_;
    const http::message_head& head_;
    const request_facts& facts_;
    std::shared_ptr<const routing::route_table> table_;
    const routing::route* route_ = nullptr;
    const routing::tenant* tenant_ = nullptr;
    /// When the request's permit was spent; nothing while it holds none.
    std::optional<instant> permit_taken_;
};

}  // namespace tallyfold::forwarding
