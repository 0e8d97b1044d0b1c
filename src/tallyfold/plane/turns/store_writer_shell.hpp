#pragma once
/// @file
/// Makes a store's writes durable, and restores its log after a failed write. Runs on the loop
/// thread, which it blocks while the disk syncs.
///
/// Owns the log on disk. The caller sends no reply that depends on a failed write.

#include <prometheus/counter.h>
#include <prometheus/registry.h>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/plane/turns/store_fsm.hpp"
#include "tallyfold/plane/turns/turn_log.hpp"

namespace tallyfold::turns {

class store_writer {
  public:
    store_writer(turn_log log, prometheus::Registry& metrics);

    /// Syncs the map, then the changes. @return false when the write failed, which is counted and
    /// logged; further writes fail until repair() succeeds
    bool make_durable(const store_write& write);
    /// Starts a new segment when the log has grown well beyond the contents of the store.
    void rotate_if_grown(const turn_table& turns);
    /// Starts a new segment after a failure of the log: a disk that was full may have space again.
    void repair(const turn_table& turns);

    [[nodiscard]] store_id identity() const { return log_.identity(); }

  private:
    /// @return false when the write failed, which is counted and logged
    bool begin_segment(const turn_table& turns);
    void report_failure(const storage::storage_error& error);

    turn_log log_;
    instant failure_logged_at_{};
    prometheus::Counter& syncs_;
    prometheus::Counter& failures_;
};

}  // namespace tallyfold::turns
