#pragma once
/// @file
/// Contents of requests under which back ends ended recently. Forwarders ask it before each send;
/// directory nodes merge the reports of all forwarders in one. Bounded, in memory. Pure.

#include <cstddef>
#include <optional>
#include <set>
#include <unordered_map>

#include "tallyfold/plane/poison/content_key.hpp"
#include "tallyfold/plane/poison/crash_history.hpp"

namespace tallyfold::poison {

/// Number of consecutive crashes after which a request is not sent again.
constexpr std::size_t max_crashes = 3;
/// Number of consecutive crashes from which on all nodes are told. A single crash has some dozen
/// requests under it, two in a row hardly ever the same one.
constexpr std::size_t told_crashes = 2;

class crash_table {
  public:
    /// Time after the last crash for which a content is known. Longer than callers wait for an
    /// answer.
    static constexpr duration lifetime = std::chrono::minutes(1);
    /// Maximum number of contents, some hundred bytes each.
    static constexpr std::size_t max_contents = 4'096;

    /// Records a crash under a content. @return true when it was not known
    bool record(content_key content, const crash& added, instant now);
    /// Forgets a content, since a back end has answered it whole. @return false when it is unknown
    bool release(content_key content);
    /// Crashes under the content; null when none is known.
    [[nodiscard]] const crash_history* find(content_key content, instant now) const;
    /// Number of consecutive crashes under the content.
    [[nodiscard]] std::size_t consecutive(content_key content, instant now) const;
    [[nodiscard]] bool empty() const { return contents_.empty(); }
    [[nodiscard]] std::size_t size() const { return contents_.size(); }
    /// Calls `visit(content, crashes)` for each content with at least `crashes` consecutive ones.
    template <class Visit>
    void for_each(std::size_t crashes, Visit&& visit) const {
        for (auto at = order_.lower_bound({std::min(crashes, max_crashes), instant::min(), 0});
             at != order_.end(); ++at) {
            visit(at->content, contents_.at(at->content));
        }
    }
    /// Forgets what has expired.
    void expire(instant now);

  private:
    /// Position in the order of eviction: few consecutive crashes first, then the oldest.
    struct position {
        std::size_t consecutive = 0;
        instant last{};
        content_key content = 0;
        auto operator<=>(const position&) const = default;
    };

    [[nodiscard]] static position position_of(content_key content, const crash_history& crashes);
    void remove(content_key content);

    std::unordered_map<content_key, crash_history> contents_;
    std::set<position> order_;
};

}  // namespace tallyfold::poison
