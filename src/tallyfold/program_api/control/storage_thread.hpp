#pragma once
/// @file
/// Thread that makes batches durable. Batches that arrive during a sync are combined into the next
/// one (group commit).

#include <atomic>
#include <functional>
#include <thread>

#include "tallyfold/base/common/bounded_ring.hpp"
#include "tallyfold/consensus/log_store.hpp"
#include "tallyfold/program_api/control/control_core.hpp"

namespace tallyfold::control {

/// A durable batch, with the messages to send after it.
struct durable_batch {
    std::uint64_t number = 0;
    std::vector<protocol::outbound_message> messages;
};

class storage_thread {
  public:
    /// @param notify called when a batch is durable, to wake the logic thread
    storage_thread(storage::log_store store, std::function<void()> notify);
    ~storage_thread() { stop(); }
    storage_thread(const storage_thread&) = delete;
    storage_thread& operator=(const storage_thread&) = delete;

    void start();
    /// Writes the queued batches and stops the thread.
    void stop();
    /// Blocks while the ring is full (back-pressure from the disk).
    void submit(storage_batch batch) { batches_.push(std::move(batch)); }
    bounded_ring<durable_batch>& results() { return results_; }
    /// True once a write has failed: nothing more is written, and the process must exit.
    [[nodiscard]] bool failed() const { return failed_; }
    [[nodiscard]] std::uint64_t syncs() const { return syncs_; }
    [[nodiscard]] std::uint64_t bytes_written() const { return bytes_; }

  private:
    void run();
    bool write_queued_batches();

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
