#include "tallyfold/base/logging/event_log.hpp"
#include "tallyfold/program_api/control/storage_thread.hpp"

namespace tallyfold::control {

namespace {

constexpr std::size_t batch_ring_capacity = 1024;
constexpr std::size_t batches_per_sync = 64;
constexpr std::chrono::microseconds idle_wait{50'000};

}  // namespace

storage_thread::storage_thread(storage::log_store store, std::function<void()> notify)
    : store_(std::move(store)),
      batches_(batch_ring_capacity, [this] { signal_.notify(); }),
      results_(batch_ring_capacity * 2, std::move(notify)) {}

void storage_thread::start() {
    thread_ = std::thread([this] { run(); });
}

void storage_thread::stop() {
    stopping_ = true;
    signal_.notify();
    if (thread_.joinable()) {
        thread_.join();
    }
}

void storage_thread::run() {
    while (!failed_) {
        if (!write_queued_batches()) {
            if (stopping_) {
                return;
            }
            signal_.wait_for(idle_wait);
        }
    }
}

bool storage_thread::write_queued_batches() {
    std::vector<consensus::group_write> writes;
    std::vector<durable_batch> done;
    storage_batch batch;
    while (done.size() < batches_per_sync && batches_.try_pop(batch)) {
        for (consensus::group_write& write : batch.writes) {
            writes.push_back(std::move(write));
        }
        done.push_back({batch.number, std::move(batch.messages_after)});
    }
    if (done.empty()) {
        return false;
    }
    if (!writes.empty()) {
        const auto written = store_.write(writes);
        if (!written) {
            logging::write_event(logging::event_id::storage_failed,
                                 "reason=\"" + written.error().detail + "\"");
            failed_ = true;
            return true;
        }
        syncs_ = store_.syncs();
        bytes_ = store_.bytes_written();
    }
    for (durable_batch& each : done) {
        results_.push(std::move(each));
    }
    return true;
}

}  // namespace tallyfold::control
