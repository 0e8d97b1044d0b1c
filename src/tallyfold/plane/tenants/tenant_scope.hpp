#pragma once
/// @file
/// Identifiers of callers as they are kept: what one tenant names is nothing to another, even under
/// the same name. Pure.

#include <string>
#include <utility>

#include "tallyfold/plane/tenants/messages.hpp"

namespace tallyfold::tenants {

class tenant_scope {
  public:
    /// @param tenant empty where callers need no key: identifiers stay as they are
    explicit tenant_scope(const tenant_name& tenant)
        // With its length before it, no tenant's name can be taken for part of an identifier.
        : prefix_(tenant.empty() ? std::string{}
                                 : std::to_string(tenant.size()) + ":" + tenant + "/") {}

    /// An empty identifier names nothing, whoever calls.
    [[nodiscard]] std::string scoped(const std::string& identifier) const {
        return identifier.empty() ? identifier : prefix_ + identifier;
    }

  private:
    std::string prefix_;
};

}  // namespace tallyfold::tenants
