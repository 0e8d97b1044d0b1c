#pragma once
/// @file
/// Runs a directory_core on this node's data folder: opens the folder, makes the core's writes
/// durable before messages that depend on them are sent, and reopens the folder after a failed
/// write. Owns the core, its log on disk and the cache of the applied state. Runs on the loop
/// thread.

#include <functional>
#include <memory>

#include "tallyfold/consensus/log_store.hpp"
#include "tallyfold/plane/directory/applied_state_cache.hpp"
#include "tallyfold/plane/directory/directory_core.hpp"
#include "tallyfold/plane/directory/directory_metrics.hpp"
#include "tallyfold/plane/process/node_process_shell.hpp"

namespace tallyfold::directory {

/// Handlers for the core's output.
struct replica_handlers {
    std::function<void(addressed_message)> send;
    std::function<void(const directory_answer&)> on_answer;
    std::function<void(const directory_proof&)> on_proof;
    /// Called after the core was destroyed: pending requests to it will not be answered.
    std::function<void()> on_storage_lost;
};

class directory_replica {
  public:
    directory_replica(net::node_process& process, directory_metrics& metrics,
                      replica_handlers handlers);

    /// Opens the data folder; retries until it succeeds.
    void start();
    /// Runs the core's timers and updates the cache of the applied state.
    void tick();
    /// Carries out the core's pending work until there is none. Nested calls from a handler return
    /// immediately, since the outer call continues.
    void run_work();

    /// Null while the data folder is unavailable. The reference remains valid; the core may not.
    [[nodiscard]] const std::unique_ptr<directory_core>& core() const { return core_; }

  private:
    /// @return false when the folder cannot be read or written; the reason is logged
    bool open();
    void schedule_reopen();
    /// @return false when the folder can't be emptied yet
    bool clear_damaged_folder(const std::string& reason);
    /// @return false when the write failed; the core is then destroyed
    bool make_durable(const consensus::group_write& write);
    /// @return false when the core was destroyed
    bool do_work(directory_work work);
    void send(std::vector<addressed_message>& messages);

    net::node_process& process_;
    directory_metrics& metrics_;
    replica_handlers handlers_;
    std::unique_ptr<storage::log_store> store_;
    std::unique_ptr<directory_core> core_;
    applied_state_cache cache_;
    bool is_running_work_ = false;
};

}  // namespace tallyfold::directory
