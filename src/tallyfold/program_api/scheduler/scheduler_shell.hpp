#pragma once
/// @file
/// The scheduler process: internal messages and back-end reports in, messages and orders out,
/// the logic thread between them.

#include <atomic>

#include "tallyfold/program_api/process/process_settings.hpp"

namespace tallyfold::scheduler {

/// Runs until `stop` is set and the planned stop is finished. @return the exit code
int run_scheduler(settings::scheduler_process settings, const std::atomic<bool>& stop);

}  // namespace tallyfold::scheduler
