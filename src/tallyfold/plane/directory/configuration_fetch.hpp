#pragma once
/// @file
/// Fetches newer configurations from directory nodes. Only one request is pending at a time, so
/// that a slow node does not cause several copies to be encoded and sent. Owns the held
/// configuration and the parts received; its owner sends the requests. Pure.

#include <optional>
#include <string>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/plane/directory/configuration_source.hpp"
#include "tallyfold/plane/directory/messages.hpp"

namespace tallyfold::directory {

/// Why a fetched content is unusable.
enum class fetch_failure : std::uint8_t {
    /// It cannot be decompressed or decoded.
    unreadable,
    /// It is a difference from a version that is not held.
    base_mismatch,
    /// The digest of the result does not match the digest in the content.
    result_mismatch,
};

struct fetch_problem {
    fetch_failure failure = fetch_failure::unreadable;
    /// Detail for the log.
    std::string detail;
};

class configuration_fetch {
  public:
    struct progress {
        /// The next request to the same node.
        std::optional<configuration_request> next;
        /// A newer configuration, which is now held.
        configuration_pointer new_configuration;
        /// Why the fetched content is unusable; empty on success.
        std::optional<fetch_problem> problem;
    };

    /// Handles a directory node's report of the version that it holds.
    /// @return the request to send to it: set when its version is newer, unless another request is
    /// pending and has not timed out
    std::optional<configuration_request> on_version_report(const node_name& node,
                                                           routing::configuration_version version,
                                                           instant now);
    /// Handles a part. Parts from a node other than the one asked are ignored. A part that does not
    /// fit ends the fetch; the next on_version_report() starts a new one.
    progress receive(const node_name& from, const configuration_part& part, instant now);
    /// Handles a full configuration in an answer.
    /// @return true when it is newer and now held
    bool accept_full_configuration(const configuration_pointer& whole);
    /// Handles the loss of the connection to a node: cancels the request pending there.
    void on_disconnect(const node_name& node);

    [[nodiscard]] const configuration_pointer& held() const { return held_; }
    [[nodiscard]] routing::configuration_version version() const;
    /// Time since the fetch in progress started; empty when there is none.
    [[nodiscard]] std::optional<duration> fetch_duration(instant now) const;

  private:
    [[nodiscard]] configuration_request next_request() const;
    progress complete_fetch();
    void discard_content();

    configuration_pointer held_ = std::make_shared<const routing::configuration>();
    /// The node whose answer is pending; empty for none.
    node_name pending_node_;
    instant requested_at_{};
    instant started_at_{};
    std::uint64_t content_id_ = 0;
    std::string received_bytes_;
    /// True after a content was unusable: the next request asks for the full configuration.
    bool needs_full_ = false;
};

}  // namespace tallyfold::directory
