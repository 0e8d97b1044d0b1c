#pragma once
/// @file
/// Outlier ejection of one back end: excludes it temporarily after repeated failures. Pure;
/// backend_pool owns one for each back end and limits how many are ejected at once.
///
/// Each outcome of a call multiplies the failure score by `failure_decay`; a failure adds its
/// weight. Three failures in a row eject (1 + 0.75 + 0.56 = 2.31), and so do frequent failures
/// among successes, so that a back end which fails only part of its calls is detected too.

#include <cstdint>

#include "tallyfold/base/common/time.hpp"

namespace tallyfold::scheduling {

class outlier_ejection {
  public:
    /// Factor applied to the failure score at each outcome.
    static constexpr double failure_decay = 0.75;
    /// Failure score at which a back end is ejected; just below that of three failures in a row.
    static constexpr double ejection_threshold = 2.2;
    /// Failure score below which the number of earlier ejections is reset.
    static constexpr double recovered_score = 0.2;
    /// Duration of the first ejection; each further one lasts twice as long.
    static constexpr duration base_ejection_time = std::chrono::seconds(1);
    /// Maximum number of doublings, which limits an ejection to 32 s.
    static constexpr std::uint32_t max_doublings = 5;

    /// Records a successful call.
    void succeeded();
    /// Records a failed call.
    /// @param weight in failures; `ejection_threshold` ejects at once
    /// @param may_eject false while the maximum number of back ends is ejected
    void failed(double weight, bool may_eject, instant now);
    /// True while the back end must get no work.
    [[nodiscard]] bool is_ejected(instant now) const { return ejected_until_ > now; }

  private:
    /// Failure score after an ejection: the next failures eject the back end sooner than one
    /// without failures.
    static constexpr double probation_score = 1;

    double failure_score_ = 0;
    std::uint32_t ejections_ = 0;
    instant ejected_until_{};
};

}  // namespace tallyfold::scheduling
