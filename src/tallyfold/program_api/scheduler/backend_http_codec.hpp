#pragma once
/// @file
/// Scheduler side of the back ends' HTTP interface: encodes orders as requests, and decodes
/// responses, streamed events and transport failures to reports. Performs no I/O: backend_client
/// sends and receives. The back-end side is stand_ins/backend_protocol.

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tallyfold/program_api/scheduler/backend_json.hpp"
#include "tallyfold/program_api/scheduler/backend_messages.hpp"

namespace tallyfold::scheduler {

/// One HTTP request to a back end.
struct backend_http_request {
    std::string method;
    /// Path with the query string, if any.
    std::string path;
    std::string body;
    std::chrono::milliseconds timeout{0};
    bool streamed = false;
    /// Uses a new connection, so that the HTTP library never resends the request.
    bool fresh_connection = false;
};

/// Back end that the order is addressed to; empty for poll_members.
backend_name target_of(const backend_order& order);
/// Attempt that the order refers to, if any.
std::optional<attempt_key> attempt_of(const backend_order& order);

backend_http_request render_order(const backend_order& order);
/// Decodes a response with a status below 300. Returns no report for responses that carry no
/// information.
codec_result<std::optional<backend_report>> parse_answer(const backend_order& order,
                                                         const std::string& body);
/// Report for an order whose response has an error status.
std::optional<backend_report> report_refusal(const backend_order& order, int status);
/// Report for an order without a response.
/// @param delivered false if no connection was made, so that the order was not delivered
std::optional<backend_report> report_no_answer(const backend_order& order, bool delivered);
/// Decodes one stream event to stream_pieces, stream_finished or attempt_failed.
codec_result<backend_report> parse_stream_event(const attempt_key& key, std::string_view text);

/// Incremental splitter of a text/event-stream body into the data of its events.
class event_stream_splitter {
  public:
    /// Maximum size of an event in bytes. A longer one may never end.
    static constexpr std::size_t max_event_bytes = 1U << 20U;

    /// @return the data of the events completed by `bytes`
    std::vector<std::string> add(std::string_view bytes);
    /// True once an event was too large; no further events are returned then.
    [[nodiscard]] bool overflowed() const { return overflowed_; }

  private:
    std::string buffer_;
    /// Number of bytes of `buffer_` that hold no end of an event.
    std::size_t searched_ = 0;
    bool overflowed_ = false;
};

std::string_view to_string(scheduling::backend_kind kind);
std::optional<scheduling::backend_kind> parse_backend_kind(std::string_view text);

}  // namespace tallyfold::scheduler
