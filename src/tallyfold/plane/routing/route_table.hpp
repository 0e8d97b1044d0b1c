#pragma once
/// @file
/// Looks up the route of a request, and selects a service of the route by weight.

#include <map>
#include <string>
#include <string_view>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/plane/routing/configuration.hpp"
#include "tallyfold/plane/tenants/key_index.hpp"

namespace tallyfold::routing {

/// One version of the configuration, indexed for lookups. Immutable; a request uses one version
/// from beginning to end.
class route_table {
  public:
    explicit route_table(configuration_pointer source);
    explicit route_table(configuration source);

    /// Returns the route of the host with the longest prefix of the path; null when there is none.
    /// @param host the Host header; its port is ignored
    [[nodiscard]] const route* find(std::string_view host, std::string_view path) const;
    [[nodiscard]] const service* find_service(const std::string& name) const;
    /// Index of the tenants by key.
    [[nodiscard]] const tenants::key_index& keys() const { return keys_; }
    [[nodiscard]] const configuration& source() const { return *source_; }
    [[nodiscard]] configuration_version version() const { return source_->version; }
    /// The longest timeout of all routes.
    [[nodiscard]] duration longest_timeout() const;

  private:
    configuration_pointer source_;
    tenants::key_index keys_;
    /// Routes by host and prefix.
    std::map<std::string, std::map<std::string, const route*, std::less<>>, std::less<>> hosts_;
    std::map<std::string, const service*> services_;
};

/// Distributes the requests of a route among its services by smooth weighted round robin, so that
/// the shares match the weights over short periods too.
class traffic_splitter {
  public:
    const std::string& choose(const route& chosen);

  private:
    /// Current credit of each service, by route and service.
    std::map<std::string, std::map<std::string, double>> credits_;
};

}  // namespace tallyfold::routing
