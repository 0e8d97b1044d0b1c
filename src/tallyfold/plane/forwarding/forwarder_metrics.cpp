#include "tallyfold/plane/forwarding/forwarder_metrics.hpp"

#include "tallyfold/plane/process/instruments.hpp"

namespace tallyfold::forwarding {

namespace {

/// In seconds. Callers' latency objectives lie between 0.1 s and a few seconds.
const prometheus::Histogram::BucketBoundaries latency_buckets{0.005, 0.01, 0.025, 0.05, 0.1, 0.2,
                                                              0.4,   0.8,  1.6,   3.2,  6.4};

/// In seconds. An answer takes a round trip, 0.2 to 3 ms, and counts as missing after 40 ms.
const prometheus::Histogram::BucketBoundaries place_buckets{0.0005, 0.001, 0.002, 0.004,
                                                            0.008,  0.016, 0.032, 0.064};

/// Requests take one send, and a few with back ends that are full or fail.
const prometheus::Histogram::BucketBoundaries send_buckets{0, 1, 2, 3, 4, 6, 8, 12, 16};

}  // namespace

forwarder_metrics::forwarder_metrics(prometheus::Registry& registry)
    : requests_(prometheus::BuildCounter()
                    .Name("tallyfold_forwarder_requests_total")
                    .Help("Requests by outcome")
                    .Register(registry)),
      failures_(prometheus::BuildCounter()
                    .Name("tallyfold_forwarder_attempt_failures_total")
                    .Help("Attempts at back ends that failed, by reason")
                    .Register(registry)),
      answer_ends_(prometheus::BuildCounter()
                       .Name("tallyfold_forwarder_answer_ends_total")
                       .Help("Bodies of answers that ended without being certainly whole")
                       .Register(registry)),
      permits_(prometheus::BuildCounter()
                   .Name("tallyfold_forwarder_permits_total")
                   .Help("Calls that asked for a permit of their tenant, by outcome, and whether "
                         "the keeper had to be asked")
                   .Register(registry)),
      crashes_(prometheus::BuildCounter()
                   .Name("tallyfold_forwarder_backend_crashes_total")
                   .Help("Back ends that ended under a request, once for each request, by evidence")
                   .Register(registry)),
      alone_(prometheus::BuildCounter()
                 .Name("tallyfold_forwarder_place_alone_total")
                 .Help("Calls to engines that were sent without a place of a dispatcher, by reason")
                 .Register(registry)),
      resumed_streams_(prometheus::BuildCounter()
                           .Name("tallyfold_forwarder_resumed_streams_total")
                           .Help("Requests of callers that resume a stream, by outcome")
                           .Register(registry)),
      connections_(net::add_counter(registry, "tallyfold_forwarder_backend_connections_total",
                                    "New connections to back ends")),
      adopted_(net::add_counter(registry, "tallyfold_forwarder_adopted_lines_total",
                                "Turns that go on with a line of another group of stores")),
      poison_refusals_(
          net::add_counter(registry, "tallyfold_forwarder_poison_refusals_total",
                           "Requests not sent since several back ends ended under them")),
      unmatched_answers_(net::add_counter(registry, "tallyfold_forwarder_unmatched_answers_total",
                                          "Answers of back ends to another request than the one "
                                          "sent last on their connection")),
      first_byte_(net::add_histogram(registry, "tallyfold_forwarder_first_byte_seconds",
                                     "Time from a request's end to the first byte of its answer",
                                     latency_buckets)),
      store_(net::add_histogram(registry, "tallyfold_forwarder_store_seconds",
                                "Time that the stores took to begin or settle a turn",
                                latency_buckets)),
      total_(net::add_histogram(registry, "tallyfold_forwarder_request_seconds",
                                "Time from a request's end to the end of its answer",
                                latency_buckets)),
      wait_(net::add_histogram(registry, "tallyfold_forwarder_wait_seconds",
                               "Time that a call waited here before it was placed",
                               latency_buckets)),
      place_(net::add_histogram(registry, "tallyfold_forwarder_place_seconds",
                                "Time until a dispatcher answered a request for a place",
                                place_buckets)),
      sends_(net::add_histogram(registry, "tallyfold_forwarder_request_sends",
                                "Sends to back ends that a request took", send_buckets)),
      slowdown_(net::add_gauge(registry, "tallyfold_forwarder_engine_slowdown",
                               "Times slower than on an idle engine that events come")),
      waiting_(net::add_gauge(registry, "tallyfold_forwarder_waiting_calls",
                              "Calls that wait here for a place at the engines")) {}

void forwarder_metrics::count_permit_decision(const tenants::permit_decision& decision) {
    const char* outcome = decision.state == tenants::permit_state::granted      ? "granted"
                          : decision.state == tenants::permit_state::over_limit ? "over_limit"
                                                                                : "unknown";
    permits_.Add({{"outcome", outcome}, {"asked", decision.asked ? "yes" : "no"}}).Increment();
}

void forwarder_metrics::record_request(const std::string& outcome, duration elapsed) {
    requests_.Add({{"outcome", outcome}}).Increment();
    total_.Observe(seconds(elapsed));
}

void forwarder_metrics::count_alone(const std::string& reason) {
    alone_.Add({{"reason", reason}}).Increment();
}

void forwarder_metrics::count_resumed_stream(const std::string& outcome) {
    resumed_streams_.Add({{"outcome", outcome}}).Increment();
}

void forwarder_metrics::count_crash(const std::string& evidence) {
    crashes_.Add({{"evidence", evidence}}).Increment();
}

void forwarder_metrics::count_answer_end(http::body_completeness completeness) {
    if (completeness != http::body_completeness::whole) {
        answer_ends_.Add({{"body", std::string(http::name_of(completeness))}}).Increment();
    }
}

void forwarder_metrics::count_attempt_failure(const std::string& reason) {
    failures_.Add({{"reason", reason}}).Increment();
}

}  // namespace tallyfold::forwarding
