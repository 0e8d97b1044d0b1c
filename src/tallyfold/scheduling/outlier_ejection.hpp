#pragma once
/// @file
/// Outlier ejection of one back end: leaves it out for a while after failures that stand out. Pure;
/// backend_pool owns one for each back end and bounds how many are ejected at once.
///
/// Each outcome of a call multiplies the failure score by `failure_decay`; a failure adds 1. So
/// three failures in a row eject (1 + 0.75 + 0.56 = 2.31), and so do as many among a few more
/// outcomes, which finds a back end that fails only part of its calls. Counting only failures in a
/// row found those late: on days with replicas that hang, the score raised the worth of
/// dgh-fantasy from 0.820 to 0.856; on days with connection resets it measured 0.816 -> 0.795 (one
/// play each, with silence suspicion; docs/DECISIONS-UNDER-LOAD.md).

#include <cstdint>

#include "tallyfold/base/common/time.hpp"

namespace tallyfold::scheduling {

class outlier_ejection {
  public:
    /// Part of the failure score that is left after each further outcome; no unit. Chosen, not
    /// measured: an outcome ten calls ago weighs next to nothing (0.06).
    static constexpr double failure_decay = 0.75;
    /// Failure score from which on a back end is ejected, in failures. Chosen, not measured: just
    /// below the score of three failures in a row, 2.31.
    static constexpr double ejection_threshold = 2.2;
    /// Failure score below which earlier ejections are forgotten, in failures. Chosen, not
    /// measured: from the 1 of probation, six successes in a row.
    static constexpr double recovered_score = 0.2;
    /// Length of a first ejection; each further one is twice as long. Chosen, not measured: a
    /// second of calls gone elsewhere costs little where most back ends work.
    static constexpr duration base_ejection = std::chrono::seconds(1);
    /// Doublings at most: 32 s. Chosen, not measured: one that came back is tried within a minute.
    static constexpr std::uint32_t max_doublings = 5;

    /// A call has ended well.
    void succeeded();
    /// A call has failed.
    /// @param weight in failures; `ejection_threshold` ejects at once
    /// @param may_eject false while as many back ends are ejected as may be
    void failed(double weight, bool may_eject, instant now);
    /// True while the back end is to get no work.
    [[nodiscard]] bool is_ejected(instant now) const { return ejected_until_ > now; }

  private:
    /// Score of a back end on probation after its ejection, in failures: the next failures eject it
    /// sooner than one that never failed.
    static constexpr double probation_score = 1;

    double failure_score_ = 0;
    std::uint32_t ejections_ = 0;
    instant ejected_until_{};
};

}  // namespace tallyfold::scheduling
