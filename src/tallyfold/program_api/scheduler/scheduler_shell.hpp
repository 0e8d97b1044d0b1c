#pragma once
/// @file
/// Scheduler process: runs scheduler_core on the logic thread and connects it to the transport, the
/// back ends and the HTTP server.

#include <atomic>

#include "tallyfold/program_api/process/process_settings.hpp"

namespace tallyfold::scheduler {

/// Runs until `stop` is set and the drain has finished. @return the exit code
int run_scheduler(settings::scheduler_process settings, const std::atomic<bool>& stop);

}  // namespace tallyfold::scheduler
