#pragma once
/// @file
/// A scheduler's half of the back ends' HTTP interface (docs/BACKENDS.md) as data: orders to
/// requests; answers, streamed events and missing answers to reports. Owns no connection: the shell
/// of backend_client sends and receives. The other half, which a back end has, is
/// stand_ins/backend_protocol.

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
    /// With the query, if any.
    std::string path;
    std::string body;
    std::chrono::milliseconds timeout{0};
    bool streamed = false;
    /// The request must not be sent twice by the HTTP library.
    bool fresh_connection = false;
};

/// Name of the back end that an order goes to; empty for poll_members.
backend_name target_of(const backend_order& order);
/// The attempt that an order is about, if it is about one.
std::optional<attempt_key> attempt_of(const backend_order& order);

backend_http_request render_order(const backend_order& order);
/// The report that an answer with a status below 300 amounts to; nothing for answers that carry
/// no news.
codec_result<std::optional<backend_report>> parse_answer(const backend_order& order,
                                                         const std::string& body);
/// The report for an order that was answered with an error status.
std::optional<backend_report> report_refusal(const backend_order& order, int status);
/// The report for an order without an answer.
/// @param handed_over false when no connection was made
std::optional<backend_report> report_no_answer(const backend_order& order, bool handed_over);
/// One event of a stream: stream_pieces or stream_finished.
codec_result<backend_report> parse_stream_event(const attempt_key& key, std::string_view text);

/// Splits a text/event-stream into the data of its events.
class event_stream_splitter {
  public:
    /// @return the data of the events that `bytes` completes
    std::vector<std::string> add(std::string_view bytes);

  private:
    std::string rest_;
};

std::string_view to_string(scheduling::backend_kind kind);
std::optional<scheduling::backend_kind> parse_backend_kind(std::string_view text);

}  // namespace tallyfold::scheduler
