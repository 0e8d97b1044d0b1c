#include "tallyfold/plane/turns/store_writer_shell.hpp"

#include "tallyfold/base/common/steady_clock.hpp"
#include "tallyfold/base/logging/event_log.hpp"
#include "tallyfold/plane/process/instruments.hpp"
#include "tallyfold/plane/turns/store_folder_shell.hpp"

namespace tallyfold::turns {

namespace {

/// Minimum interval between log lines about failed writes. Short enough to show a failing disk at
/// once, and limits the log to 43,200 lines per day.
constexpr duration failure_log_interval = std::chrono::seconds(2);
/// Approximate size of the texts in one record of a new segment, in bytes. Bounds the memory that a
/// rotation needs beside the table.
constexpr std::size_t segment_page_bytes = 64U << 10U;

}  // namespace

store_writer::store_writer(turn_log log, prometheus::Registry& metrics)
    : log_(std::move(log)),
      syncs_(net::add_counter(metrics, "tallyfold_store_syncs_total", "Synced writes")),
      failures_(net::add_counter(metrics, "tallyfold_store_write_failures_total",
                                 "Writes that the disk refused")) {}

bool store_writer::make_durable(const store_write& write) {
    if (write.empty()) {
        return true;
    }
    if (log_.failed()) {
        return false;
    }
    tl::expected<void, storage::storage_error> written;
    if (write.map.has_value()) {
        written = log_.save_map(*write.map);
    }
    if (written && !write.changes.empty()) {
        syncs_.Increment();
        written = log_.append(write.changes);
    }
    if (!written) {
        report_failure(written.error());
    }
    return written.has_value();
}

void store_writer::report_failure(const storage::storage_error& error) {
    failures_.Increment();
    const instant now = steady_now();
    if (now - failure_logged_at_ < failure_log_interval) {
        return;
    }
    failure_logged_at_ = now;
    logging::write_event(logging::event_id::storage_failed, "reason=\"" + error.detail + "\"");
}

bool store_writer::begin_segment(const turn_table& turns) {
    const auto rotated = log_.rotate([&turns, now = steady_now()](const std::string& after) {
        return turns.page_after(after, {}, segment_page_bytes, now);
    });
    if (!rotated) {
        report_failure(rotated.error());
    }
    return rotated.has_value();
}

void store_writer::rotate_if_grown(const turn_table& turns) {
    if (log_.needs_rotation()) {
        // After a failure, the rotation is attempted again after the next write or by repair().
        begin_segment(turns);
    }
}

void store_writer::repair(const turn_table& turns) {
    if (log_.failed() && begin_segment(turns)) {
        log_opened(log_, turns, "repaired=yes");
    }
}

}  // namespace tallyfold::turns
