#pragma once
/// @file
/// Refuses configurations that cannot be served.

#include <string>
#include <tl/expected.hpp>

#include "tallyfold/plane/routing/configuration.hpp"

namespace tallyfold::routing {

/// What is wrong, in words for the operator.
struct invalid_configuration {
    std::string reason;
};

/// Checks services, places, weights and time-outs of every route.
tl::expected<void, invalid_configuration> validate(const configuration& candidate);

}  // namespace tallyfold::routing
