#pragma once
/// @file
/// Finds the route of a request, and the service among a route's parts.

#include <map>
#include <string>
#include <string_view>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/plane/routing/configuration.hpp"
#include "tallyfold/plane/tenants/key_index.hpp"

namespace tallyfold::routing {

/// One version of the configuration, laid out for look-ups. Immutable; requests under way keep
/// the one they began with.
class route_table {
  public:
    explicit route_table(configuration_pointer source);
    explicit route_table(configuration source);

    /// The route of that host whose prefix begins the path and is longest; null when none does.
    /// @param host the Host header; its port is not looked at
    [[nodiscard]] const route* find(std::string_view host, std::string_view path) const;
    [[nodiscard]] const service* find_service(const std::string& name) const;
    /// Whose keys are whose.
    [[nodiscard]] const tenants::key_index& keys() const { return keys_; }
    [[nodiscard]] const configuration& source() const { return *source_; }
    [[nodiscard]] configuration_version version() const { return source_->version; }
    /// The longest time that any route lets a request take.
    [[nodiscard]] duration longest_timeout() const;

  private:
    configuration_pointer source_;
    tenants::key_index keys_;
    /// Routes by host, and under it by prefix.
    std::map<std::string, std::map<std::string, const route*, std::less<>>, std::less<>> hosts_;
    std::map<std::string, const service*> services_;
};

/// Deals the requests of split routes out so that each part's share follows its weight closely
/// at any time (smooth weighted round robin), not only on average.
class traffic_splitter {
  public:
    const std::string& choose(const route& chosen);

  private:
    /// Current credit of each part, by route and service.
    std::map<std::string, std::map<std::string, double>> credits_;
};

}  // namespace tallyfold::routing
