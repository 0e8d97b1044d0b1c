#pragma once
/// @file
/// The stand-in back ends as processes: their HTTP interface before the pure emulators.

#include <atomic>
#include <string>

#include "stand_ins/engine_core.hpp"
#include "stand_ins/service_core.hpp"

namespace tallyfold::stand_ins {

struct engine_process {
    engine_settings core;
    /// "ip:port".
    std::string listen;
    std::string ledger_path;
    /// "ip:port" of the weight store; empty when models need not be fetched.
    std::string weight_store;
};

struct service_process {
    service_settings core;
    std::string listen;
    std::string ledger_path;
    /// File of what must survive a kill.
    std::string record_path;
};

/// Each runs until `stop` is set; then it refuses new work, finishes, and returns the exit code.
int run_engine(const engine_process& settings, const std::atomic<bool>& stop);
int run_service(const service_process& settings, const std::atomic<bool>& stop);

}  // namespace tallyfold::stand_ins
