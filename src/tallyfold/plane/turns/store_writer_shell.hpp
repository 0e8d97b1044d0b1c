#pragma once
/// @file
/// Makes a store's writes durable, and mends its log after the disk refused one. Belongs to the
/// loop thread, which it blocks while the disk syncs.
///
/// Owns the log on disk. Relies on the caller to send no reply that depends on a write that failed.

#include <prometheus/counter.h>
#include <prometheus/registry.h>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/plane/turns/store_fsm.hpp"
#include "tallyfold/plane/turns/turn_log.hpp"

namespace tallyfold::turns {

class store_writer {
  public:
    store_writer(turn_log log, prometheus::Registry& metrics);

    /// Syncs the map, then the changes. @return false when the disk refused, which is counted and
    /// logged; further writes fail until repair() succeeds
    bool make_durable(const store_write& write);
    /// Writes a fresh segment when the log has grown well beyond what the store holds.
    void rotate_if_grown(const turn_table& turns);
    /// Tries a fresh segment if the log has failed: a disk that was full may have room again.
    void repair(const turn_table& turns);

    [[nodiscard]] store_id identity() const { return log_.identity(); }

  private:
    /// @return false when the disk refused, which is counted and logged
    bool begin_segment(const turn_table& turns);
    void report_failure(const storage::storage_error& error);

    turn_log log_;
    instant failure_logged_{};
    prometheus::Counter& syncs_;
    prometheus::Counter& failures_;
};

}  // namespace tallyfold::turns
