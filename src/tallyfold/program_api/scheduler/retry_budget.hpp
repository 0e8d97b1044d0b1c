#pragma once
/// @file
/// Bounds the retries of one class to a share of its first attempts, so that a fault of the
/// back ends is not multiplied by the retries that it causes.

#include <algorithm>

namespace tallyfold::scheduler {

class retry_budget {
  public:
    /// A first attempt earns `ratio` of a retry.
    void earn(double ratio) { tokens_ = std::min(tokens_ + ratio, most); }

    /// Takes one retry. @return false when none is left.
    bool spend() {
        if (tokens_ < 1.0) {
            return false;
        }
        tokens_ -= 1.0;
        return true;
    }

  private:
    /// Retries that can be saved up; also what a class starts with.
    static constexpr double most = 10.0;
    double tokens_ = most;
};

}  // namespace tallyfold::scheduler
