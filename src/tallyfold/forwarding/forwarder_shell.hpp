#pragma once
/// @file
/// The forwarder program: callers' connections on one side, back ends on the other.

#include "tallyfold/forwarding/dialect.hpp"
#include "tallyfold/listing/list_dialect.hpp"
#include "tallyfold/settings/node_settings.hpp"

namespace tallyfold::forwarding {

/// Runs until a stop is asked for and what is under way has ended. @return the exit code
int run_forwarder(const settings::node_settings& settings, const forwarding_dialect& dialect,
                  const listing::list_dialect& lists);

}  // namespace tallyfold::forwarding
