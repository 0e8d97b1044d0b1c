#pragma once
/// @file
/// Whether back ends may have run one request. Everything that states that a request has not run,
/// or gives back what it reserved, asks this record. Pure.
///
/// A send is recorded before its first byte is written and withdrawn only by the back end's own
/// statement, so the record holds within attempts, between them and after the last one.

#include <cstdint>

namespace tallyfold::forwarding {

class execution_record {
  public:
    /// Must be called before the first byte of the request is written to a back end.
    void begin_send() {
        ++possible_runs_;
        latest_may_have_run_ = true;
    }
    /// The back end of the latest send has stated that it did not run the request.
    void withdraw_send() {
        if (latest_may_have_run_) {
            --possible_runs_;
            latest_may_have_run_ = false;
        }
    }
    /// True if any back end may have run the request, or may run it yet.
    [[nodiscard]] bool may_have_run() const { return possible_runs_ > 0; }

  private:
    /// Sends that were not withdrawn.
    std::uint32_t possible_runs_ = 0;
    bool latest_may_have_run_ = false;
};

}  // namespace tallyfold::forwarding
