#pragma once
/// @file
/// Limits the retries of one class to a fraction of its first attempts, to prevent retry storms
/// when back ends fail.

#include <algorithm>

namespace tallyfold::scheduler {

class retry_budget {
  public:
    /// Adds `ratio` of a retry for a first attempt.
    void credit(double ratio) { tokens_ = std::min(tokens_ + ratio, capacity); }

    /// Consumes one retry. @return false if none is left
    bool try_spend() {
        if (tokens_ < 1.0) {
            return false;
        }
        tokens_ -= 1.0;
        return true;
    }

  private:
    /// Maximum number of accumulated retries; also the initial balance.
    static constexpr double capacity = 10.0;
    double tokens_ = capacity;
};

}  // namespace tallyfold::scheduler
