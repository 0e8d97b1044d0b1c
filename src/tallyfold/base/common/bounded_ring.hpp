#pragma once
/// @file
/// Bounded queue between two threads: one producer and one consumer.

#include <readerwriterqueue/readerwriterqueue.h>

#include <chrono>
#include <functional>
#include <thread>
#include <utility>

namespace tallyfold {

/// Semaphore that wakes the consumer of several rings when any of them receives an element.
class wake_signal {
  public:
    void notify() { semaphore_.signal(); }
    /// Blocks until a notification or the timeout, and clears further pending notifications.
    void wait_for(std::chrono::microseconds timeout) {
        if (semaphore_.wait(timeout.count())) {
            while (semaphore_.tryWait()) {
            }
        }
    }

  private:
    moodycamel::spsc_sema::LightweightSemaphore semaphore_;
};

template <class Element>
class bounded_ring {
  public:
    /// @param notify called after each push, on the producer's thread
    bounded_ring(std::size_t capacity, std::function<void()> notify)
        : queue_(capacity), notify_(std::move(notify)) {}

    /// @return false when the ring is full; `element` is then unchanged
    [[nodiscard]] bool try_push(Element& element) {
        if (!queue_.try_enqueue(std::move(element))) {
            return false;
        }
        notify_();
        return true;
    }

    /// Blocks while the ring is full. The consumer must never wait for this producer: both would
    /// deadlock.
    void push(Element element) {
        while (!queue_.try_enqueue(std::move(element))) {
            std::this_thread::sleep_for(full_retry_delay);
        }
        notify_();
    }

    [[nodiscard]] bool try_pop(Element& element) { return queue_.try_dequeue(element); }

  private:
    static constexpr std::chrono::microseconds full_retry_delay{200};

    moodycamel::ReaderWriterQueue<Element> queue_;
    std::function<void()> notify_;
};

}  // namespace tallyfold
