#pragma once
/// @file
/// Qualifies callers' identifiers by tenant, so that equal identifiers of two tenants stay
/// distinct. Pure.

#include <string>
#include <utility>

#include "tallyfold/plane/tenants/messages.hpp"

namespace tallyfold::tenants {

class tenant_scope {
  public:
    /// @param tenant empty when callers need no key: identifiers stay unchanged
    explicit tenant_scope(const tenant_name& tenant)
        // The length prefix prevents a tenant's name from being read as part of an identifier.
        : prefix_(tenant.empty() ? std::string{}
                                 : std::to_string(tenant.size()) + ":" + tenant + "/") {}

    /// An empty identifier stays empty.
    [[nodiscard]] std::string scoped(const std::string& identifier) const {
        return identifier.empty() ? identifier : prefix_ + identifier;
    }

  private:
    std::string prefix_;
};

}  // namespace tallyfold::tenants
