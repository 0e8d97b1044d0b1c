#pragma once
/// @file
/// Counters, gauges and histograms of a forwarder.

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/plane/http/body_completeness.hpp"
#include "tallyfold/plane/tenants/permit_decision.hpp"

namespace tallyfold::forwarding {

class forwarder_metrics {
  public:
    explicit forwarder_metrics(prometheus::Registry& registry);

    /// Records the end of a request.
    /// @param outcome text of the request_finished event's outcome
    void record_request(const std::string& outcome, duration elapsed);
    /// Records the number of sends to back ends that a request took.
    void record_sends(std::uint32_t sends) { sends_.Observe(sends); }
    /// Records the time from the request's last byte to the answer's first byte.
    void record_first_byte_time(duration elapsed) { first_byte_.Observe(seconds(elapsed)); }
    /// Records the time that the stores took to begin or settle a turn.
    void record_store_time(duration elapsed) { store_.Observe(seconds(elapsed)); }
    /// Sets the gauges of engine load.
    /// @param slowdown of the slowest service's engines, relative to idle
    /// @param waiting number of calls in all admission queues
    void set_engine_pace(double slowdown, std::size_t waiting) {
        slowdown_.Set(slowdown);
        waiting_.Set(static_cast<double>(waiting));
    }
    /// Records the time that a call spent in the admission queue.
    void record_admission_wait(duration elapsed) { wait_.Observe(seconds(elapsed)); }
    /// Records the time until a dispatcher answered a request for a place.
    void record_place_time(duration elapsed) { place_.Observe(seconds(elapsed)); }
    /// Counts a call to an engine that got no place from a dispatcher.
    void count_alone(const std::string& reason);
    /// Counts a new connection to a back end.
    void count_connection() { connections_.Increment(); }
    /// Counts an answer to another request than the one that was sent last on its connection.
    void count_unmatched_answer() { unmatched_answers_.Increment(); }
    /// Counts a turn that continues a conversation history stored by another store group.
    void count_adopted_history() { adopted_.Increment(); }
    /// Counts a request that resumes a stream. @param outcome "resumed" or "refused"
    void count_resumed_stream(const std::string& outcome);
    /// Counts a failed attempt.
    /// @param reason as in the attempt_failed event
    void count_attempt_failure(const std::string& reason);
    /// Counts a back end that ended under a request. @param evidence as in the log event
    void count_crash(const std::string& evidence);
    /// Counts a request that was not sent, or not again, since several back ends ended under it.
    void count_poison_refusal() { poison_refusals_.Increment(); }
    /// Counts the end of an answer's body, unless it is certainly whole.
    void count_answer_end(http::body_completeness completeness);
    /// Counts a permit decision of a call.
    void count_permit_decision(const tenants::permit_decision& decision);

  private:
    static double seconds(duration value) { return std::chrono::duration<double>(value).count(); }
    prometheus::Family<prometheus::Counter>& requests_;
    prometheus::Family<prometheus::Counter>& failures_;
    prometheus::Family<prometheus::Counter>& answer_ends_;
    prometheus::Family<prometheus::Counter>& permits_;
    prometheus::Family<prometheus::Counter>& crashes_;
    prometheus::Family<prometheus::Counter>& alone_;
    prometheus::Family<prometheus::Counter>& resumed_streams_;
    prometheus::Counter& connections_;
    prometheus::Counter& adopted_;
    prometheus::Counter& poison_refusals_;
    prometheus::Counter& unmatched_answers_;
    prometheus::Histogram& first_byte_;
    prometheus::Histogram& store_;
    prometheus::Histogram& total_;
    prometheus::Histogram& wait_;
    prometheus::Histogram& place_;
    prometheus::Histogram& sends_;
    prometheus::Gauge& slowdown_;
    prometheus::Gauge& waiting_;
};

}  // namespace tallyfold::forwarding
