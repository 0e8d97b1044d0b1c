#pragma once
/// @file
/// Thread that runs a program's logic: drains the input rings, ticks the logic and emits its
/// outputs.

#include <atomic>
#include <chrono>
#include <functional>
#include <thread>
#include <vector>

#include "tallyfold/base/common/bounded_ring.hpp"
#include "tallyfold/base/common/time.hpp"

namespace tallyfold::net {

/// Current time of the monotonic clock.
inline instant monotonic_now() {
    return instant(
        std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

class logic_thread {
  public:
    static constexpr std::chrono::microseconds default_tick_interval{10'000};

    /// @param turn drains inputs, ticks, and emits outputs; called on every wake-up and at least
    /// once per tick interval
    explicit logic_thread(std::function<void(instant now)> turn,
                          std::chrono::microseconds tick_interval = default_tick_interval)
        : turn_(std::move(turn)), tick_interval_(tick_interval) {}
    ~logic_thread() { stop(); }
    logic_thread(const logic_thread&) = delete;
    logic_thread& operator=(const logic_thread&) = delete;

    wake_signal& signal() { return signal_; }
    std::function<void()> notifier() {
        return [this] { signal_.notify(); };
    }

    void start() {
        thread_ = std::thread([this] {
            while (!stopping_) {
                signal_.wait_for(tick_interval_);
                turn_(monotonic_now());
            }
        });
    }

    void stop() {
        stopping_ = true;
        signal_.notify();
        if (thread_.joinable()) {
            thread_.join();
        }
    }

  private:
    std::function<void(instant)> turn_;
    std::chrono::microseconds tick_interval_;
    wake_signal signal_;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

/// Maximum number of inputs taken from one ring per turn, so that no ring starves the others.
constexpr std::size_t inputs_per_turn = 1024;

/// Passes up to inputs_per_turn elements of a ring to `use`.
template <class Element, class Use>
void drain_ring(bounded_ring<Element>& ring, Use&& use) {
    Element element;
    for (std::size_t taken = 0; taken < inputs_per_turn && ring.try_pop(element); ++taken) {
        use(element);
    }
}

}  // namespace tallyfold::net
