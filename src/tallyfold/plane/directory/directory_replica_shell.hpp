#pragma once
/// @file
/// Runs a directory_core on this node's data folder: opens the folder, makes the core's writes
/// durable before anything that depends on them leaves the node, and opens the folder anew after a
/// failed write. Owns the core, its log on disk and the cache of the applied state. Relies on the
/// loop thread, to which it belongs, and on the handlers for all that goes to others.

#include <functional>
#include <memory>

#include "tallyfold/consensus/log_store.hpp"
#include "tallyfold/plane/directory/applied_state_cache.hpp"
#include "tallyfold/plane/directory/directory_core.hpp"
#include "tallyfold/plane/directory/directory_metrics.hpp"
#include "tallyfold/plane/process/node_process_shell.hpp"

namespace tallyfold::directory {

/// Takes what the core's work holds for others.
struct replica_handlers {
    std::function<void(addressed_message)> send;
    std::function<void(const directory_answer&)> on_answer;
    std::function<void(const directory_proof&)> on_proof;
    /// The core is gone, and with it everything that it was asked and hasn't answered.
    std::function<void()> on_storage_lost;
};

class directory_replica {
  public:
    directory_replica(net::node_process& process, directory_metrics& metrics,
                      replica_handlers handlers);

    /// Opens the data folder; when that fails, again and again until it succeeds.
    void start();
    /// Lets the core's timers run, and keeps the cache of the applied state up to date.
    void tick();
    /// Does the work that the core has gathered, until there is none. Calls from within a handler
    /// return at once: the outer call goes on.
    void run_work();

    /// Null while the data folder can't be used. The reference stays valid; the core may not.
    [[nodiscard]] const std::unique_ptr<directory_core>& core() const { return core_; }

  private:
    /// @return false when the folder can't be read or written to now; the reason is logged
    bool open();
    void open_later();
    void empty_untrusted_folder(const std::string& reason);
    /// @return false when the write failed; there is no core then
    bool make_durable(const consensus::group_write& write);
    /// @return false when the core is gone
    bool do_work(directory_work work);
    void send(std::vector<addressed_message>& messages);

    net::node_process& process_;
    directory_metrics& metrics_;
    replica_handlers handlers_;
    std::unique_ptr<storage::log_store> store_;
    std::unique_ptr<directory_core> core_;
    applied_state_cache cache_;
    bool working_ = false;
};

}  // namespace tallyfold::directory
