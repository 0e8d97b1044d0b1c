#pragma once
/// @file
/// Rejects invalid configurations.

#include <string>
#include <tl/expected.hpp>

#include "tallyfold/plane/routing/configuration.hpp"

namespace tallyfold::routing {

/// The error message for the operator.
struct invalid_configuration {
    std::string reason;
};

/// Checks names, hosts and prefixes, weights and timeouts of routes, services and tenants.
tl::expected<void, invalid_configuration> validate(const configuration& candidate);

}  // namespace tallyfold::routing
