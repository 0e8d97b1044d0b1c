#pragma once
/// @file
/// Event queue in virtual time. Actions run by due time, ties in insertion order.

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "tallyfold/base/common/time.hpp"

namespace tallyfold::sim {

class event_queue {
  public:
    [[nodiscard]] instant now() const { return now_; }

    void at(instant when, std::function<void()> action) {
        queue_.push({std::max(when, now_), next_++, std::move(action)});
    }
    void after(duration delay, std::function<void()> action) {
        at(now_ + delay, std::move(action));
    }

    /// Runs the next action. @return false when no action is due by `limit`
    bool step(instant limit) {
        if (queue_.empty() || queue_.top().when > limit) {
            now_ = std::max(now_, limit);
            return false;
        }
        entry next = std::move(const_cast<entry&>(queue_.top()));
        queue_.pop();
        now_ = next.when;
        next.action();
        return true;
    }

  private:
    struct entry {
        instant when;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const entry& other) const {
            return when != other.when ? when > other.when : order > other.order;
        }
    };

    /// Starts after the epoch, since a default-constructed instant means "never".
    instant now_{std::chrono::seconds(1000)};
    std::uint64_t next_ = 0;
    std::priority_queue<entry> queue_;
};

}  // namespace tallyfold::sim
