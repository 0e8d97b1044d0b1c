#pragma once
/// @file
/// HTTP client that sends a scheduler's orders to back ends and collects their reports.
/// Used only on the scheduler's logic thread; events of the HTTP library's thread arrive through a
/// bounded ring.

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "tallyfold/base/common/bounded_ring.hpp"
#include "tallyfold/program_api/http/http_client.hpp"
#include "tallyfold/program_api/scheduler/backend_http_codec.hpp"

namespace tallyfold::scheduler {

class backend_client {
  public:
    /// @param members_address "ip:port" of the service that lists the back ends
    /// @param notify wakes the logic thread when an event arrives
    backend_client(std::string members_address, std::function<void()> notify);

    void start() { client_.start(); }
    void stop() { client_.stop(); }

    /// Sends an order. An order that cannot be sent is reported as undelivered.
    void submit(const backend_order& order);
    /// Returns the reports received since the previous call.
    std::vector<backend_report> take_reports();

  private:
    struct running_order {
        backend_order order;
        event_stream_splitter splitter;
        bool finished = false;
    };

    void on_event(net::http_event& event);
    void on_stream_bytes(running_order& running, const std::string& bytes);
    void on_finished(running_order& running, const net::http_event& event);
    /// Ends a stream whose event is too large.
    void give_up_stream(const attempt_key& key);
    void stop_reading(const attempt_key& key);
    void update_addresses(const members_answered& members);
    void retry_cancels();

    std::string members_address_;
    bounded_ring<net::http_event> events_;
    net::http_client client_;
    std::map<backend_name, std::string> addresses_;
    std::map<net::http_call_id, running_order> running_;
    /// HTTP call that reads the stream of each attempt.
    std::map<attempt_key, net::http_call_id> stream_calls_;
    std::vector<net::http_call_id> pending_cancels_;
    net::http_call_id next_call_ = 1;
    std::vector<backend_report> reports_;
};

}  // namespace tallyfold::scheduler
