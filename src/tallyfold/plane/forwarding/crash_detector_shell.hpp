#pragma once
/// @file
/// Finds out whether a back end ended under a request whose attempt failed, and records it as a
/// crash under the request's content. Owns the probes under way and the suspicions that wait for
/// evidence. Used on the loop thread only.
///
/// A broken connection alone doesn't tell: sick back ends, full ones and links break connections
/// too. Evidence of an end is that the address accepts no connection, or that another incarnation
/// answers there. Some of it comes later, with other calls of this node.

#include <asio/awaitable.hpp>
#include <asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tallyfold/plane/forwarding/connection_pool_shell.hpp"
#include "tallyfold/plane/forwarding/forwarder_metrics.hpp"
#include "tallyfold/plane/poison/crash_client_shell.hpp"

namespace tallyfold::forwarding {

/// Why a back end counts as ended.
enum class crash_evidence : std::uint8_t {
    connect_refused,
    connect_timed_out,
    /// Another incarnation answers at its address.
    other_incarnation,
};

[[nodiscard]] std::string_view text_of(crash_evidence evidence);
/// What a failed connect shows; nothing for a reset, which full back ends send too.
[[nodiscard]] std::optional<crash_evidence> evidence_of(http::io_failure connect_failure);

/// An attempt under which a back end may have ended.
struct failed_run {
    std::string request;
    poison::content_key content = 0;
    backend_name backend;
    /// Address of the back end, as "ip:port".
    std::string address;
    instant sent{};
    /// When the attempt failed.
    instant failed{};
};

class crash_detector {
  public:
    /// Time limit of a probe; some dozen round trips between zones. A back end that accepts no
    /// connection for as long is gone or cut off.
    static constexpr duration probe_timeout = std::chrono::milliseconds(100);
    /// Time for which the answer of a request that must not be sent again is held back, so that the
    /// other nodes know when its caller comes back; some round trips between regions.
    static constexpr duration settle_time = std::chrono::milliseconds(60);
    /// Time for which later evidence applies to a failed attempt.
    static constexpr duration suspicion_lifetime = std::chrono::seconds(3);
    /// Maximum number of suspicions; further failed attempts get only the evidence of the probe.
    static constexpr std::size_t max_suspicions = 512;

    crash_detector(net::node_process& process, connection_pool& connections,
                   poison::crash_client& crashes, forwarder_metrics& metrics);

    /// Probes the back end, and records a crash if it has ended. Waits until the crash is known to
    /// the directory nodes, at most for the time limits of the probe and of a report.
    /// @return true if it has ended
    asio::awaitable<bool> examine(failed_run failed);
    /// The same in the background, for an attempt whose request doesn't wait for it.
    void examine_later(failed_run failed);
    /// Evidence from other calls: connecting to the back end failed, or another incarnation
    /// answered.
    void on_connect_failed(const backend_name& backend, http::io_failure failure);
    void on_replaced(const backend_name& backend);
    /// A call that was sent at this time was answered, so the back end has not ended before.
    void on_answered(const backend_name& backend, instant sent);

  private:
    /// Result of probing one back end, shared by all requests whose attempts fail there at once.
    struct probe {
        explicit probe(asio::io_context& loop)
            : ended(loop, asio::steady_timer::time_point::max()) {}
        /// Cancelled when the probe has ended.
        asio::steady_timer ended;
        bool done = false;
        std::optional<crash_evidence> evidence;
    };

    asio::awaitable<std::optional<crash_evidence>> probe_backend(backend_name backend,
                                                                 std::string address);
    asio::awaitable<std::optional<crash_evidence>> connect_to(std::string address);
    asio::awaitable<void> record(failed_run failed, crash_evidence evidence);
    asio::awaitable<void> examine_in_background(failed_run failed);
    void suspect(failed_run failed);
    /// Records crashes under the failed attempts that wait for evidence about the back end.
    void confirm(const backend_name& backend, crash_evidence evidence);
    void remove_old_suspicions(instant now);

    net::node_process& process_;
    connection_pool& connections_;
    poison::crash_client& crashes_;
    forwarder_metrics& metrics_;
    std::map<backend_name, std::shared_ptr<probe>> probes_;
    std::map<backend_name, std::vector<failed_run>> suspicions_;
    std::size_t suspicion_count_ = 0;
};

}  // namespace tallyfold::forwarding
