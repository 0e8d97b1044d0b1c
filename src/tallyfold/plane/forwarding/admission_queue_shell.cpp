#include "tallyfold/plane/forwarding/admission_queue_shell.hpp"

#include <asio/experimental/as_tuple.hpp>
#include <asio/use_awaitable.hpp>

#include "tallyfold/plane/http/connection_shell.hpp"

namespace tallyfold::forwarding {

namespace {

/// Weight of one tenant priority level. Exceeds the range of route priorities, so that the tenant
/// priority takes precedence.
constexpr std::int32_t tenant_priority_stride = 1'000;

}  // namespace

asio::awaitable<duration> admission_queue::enter(admission_priority priority, duration max_wait) {
    if (admits_immediately()) {
        window_.started();
        co_return duration::zero();
    }
    const instant arrived = http::steady_now();
    scheduling::queued_call call;
    call.id = next_ticket_++;
    // In call_queue the highest value goes first; in tenant and route priorities the lowest.
    call.priority = -(priority.tenant_priority * tenant_priority_stride + priority.route_priority);
    call.rank = priority.policy_rank;
    call.arrived = arrived;
    queue_.push(call);
    const auto timer = std::make_shared<asio::steady_timer>(loop_, max_wait);
    timers_[call.id] = timer;
    admit();
    if (timers_.contains(call.id)) {
        co_await timer->async_wait(asio::experimental::as_tuple(asio::use_awaitable));
    }
    if (timers_.erase(call.id) > 0) {
        queue_.remove(call.id);
        window_.started();
    }
    co_return http::steady_now() - arrived;
}

void admission_queue::leave() {
    window_.finished();
    admit();
}

void admission_queue::rejected() {
    window_.rejected();
}

void admission_queue::adjust(double slowdown) {
    window_.adjust(slowdown, queue_.size());
    admit();
}

void admission_queue::admit() {
    while (queue_.size() > 0 && window_.has_capacity()) {
        const scheduling::ticket next = queue_.next(1).front();
        queue_.take(next);
        window_.started();
        const auto waiting = timers_.find(next);
        const auto timer = waiting->second;
        timers_.erase(waiting);
        timer->cancel();
    }
}

}  // namespace tallyfold::forwarding
