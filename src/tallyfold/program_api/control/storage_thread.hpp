#pragma once
/// @file
/// The thread whose one duty is to make batches durable. Batches that wait while one is being
/// synced go into the next sync together.

#include <atomic>
#include <functional>
#include <thread>

#include "tallyfold/base/common/bounded_ring.hpp"
#include "tallyfold/consensus/log_store.hpp"
#include "tallyfold/program_api/control/control_core.hpp"

namespace tallyfold::control {

/// A batch that is durable, with the messages that waited for it.
struct durable_batch {
    std::uint64_t number = 0;
    std::vector<protocol::outbound_message> messages;
};

class storage_thread {
  public:
    /// @param notify wakes the logic thread when a batch is durable
    storage_thread(storage::log_store store, std::function<void()> notify);
    ~storage_thread() { stop(); }
    storage_thread(const storage_thread&) = delete;
    storage_thread& operator=(const storage_thread&) = delete;

    void start();
    /// Finishes what was handed over.
    void stop();
    /// Waits while the ring is full: the log must not outrun its disk.
    void submit(storage_batch batch) { batches_.push(std::move(batch)); }
    bounded_ring<durable_batch>& results() { return results_; }
    /// True once a write failed; nothing is written any more, and the process must end.
    [[nodiscard]] bool failed() const { return failed_; }
    [[nodiscard]] std::uint64_t syncs() const { return syncs_; }
    [[nodiscard]] std::uint64_t bytes_written() const { return bytes_; }

  private:
    void run();
    bool write_waiting();

    storage::log_store store_;
    wake_signal signal_;
    bounded_ring<storage_batch> batches_;
    bounded_ring<durable_batch> results_;
    std::atomic<bool> stopping_{false};
    std::atomic<bool> failed_{false};
    std::atomic<std::uint64_t> syncs_{0};
    std::atomic<std::uint64_t> bytes_{0};
    std::thread thread_;
};

}  // namespace tallyfold::control
