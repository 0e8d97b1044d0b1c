#pragma once
/// @file
/// Fetches newer configurations from directory nodes: one at a time, part by part, from one node
/// at a time, so that a node that is slow to get it doesn't have several copies made and sent. Owns
/// the configuration held and the parts received; relies on its owner to send the requests. Pure.

#include <optional>
#include <string>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/plane/directory/configuration_source.hpp"
#include "tallyfold/plane/directory/messages.hpp"

namespace tallyfold::directory {

/// Why a fetched content can't be used.
enum class fetch_failure : std::uint8_t {
    /// It can't be decompressed or decoded.
    unreadable,
    /// It is a difference from a version that this node doesn't hold.
    base_mismatch,
    /// The digest of its result isn't the one that it names.
    result_mismatch,
};

struct fetch_problem {
    fetch_failure failure = fetch_failure::unreadable;
    /// For the log.
    std::string detail;
};

class configuration_fetch {
  public:
    struct progress {
        /// What to ask the same node next.
        std::optional<configuration_request> next;
        /// A newer configuration, now held.
        configuration_pointer learned;
        /// Why what was fetched is of no use; nothing when nothing is wrong.
        std::optional<fetch_problem> problem;
    };

    /// A directory node has said which version it holds. @return what to ask it now: something when
    /// it holds a newer one and none is being fetched, or when the node that gives it is silent
    std::optional<configuration_request> told(const node_name& node,
                                              routing::configuration_version version, instant now);
    /// A part has come. Parts from a node that was given up meanwhile change nothing; one that
    /// doesn't fit ends the fetch, which begins again with the next told().
    progress receive(const node_name& from, const configuration_part& part, instant now);
    /// A whole configuration has come in an answer. @return true when it is newer, and now held
    bool take_whole(const configuration_pointer& whole);
    /// The connection to a node is gone, and with it what it was asked for.
    void lost(const node_name& node);

    [[nodiscard]] const configuration_pointer& held() const { return held_; }
    [[nodiscard]] routing::configuration_version version() const;
    /// Time since the fetch under way began; nothing when none is.
    [[nodiscard]] std::optional<duration> fetching_for(instant now) const;

  private:
    [[nodiscard]] configuration_request next_request() const;
    progress complete_fetch();
    void discard_content();

    configuration_pointer held_ = std::make_shared<const routing::configuration>();
    /// The node that was asked and hasn't answered yet; empty for none.
    node_name pending_node_;
    instant requested_at_{};
    instant started_at_{};
    std::uint64_t content_id_ = 0;
    std::string received_bytes_;
    /// A difference didn't fit what is held: the whole configuration is asked for next.
    bool needs_full_ = false;
};

}  // namespace tallyfold::directory
