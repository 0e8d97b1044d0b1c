#pragma once
/// @file
/// Contents of requests that back ends answered whole a short time ago, at this node. Back ends
/// that end under such a content end by chance: it is popular, and under way at many of them.
/// Bounded. Pure.

#include <cstddef>
#include <deque>
#include <unordered_map>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/plane/poison/content_key.hpp"

namespace tallyfold::poison {

class answered_contents {
  public:
    /// Time for which an answer shows that its content ends no back end. A content that begins to
    /// end them is sent on for as long.
    static constexpr duration window = std::chrono::seconds(5);
    /// Maximum number of answers that are kept; further ones replace the oldest.
    static constexpr std::size_t max_answers = 8'192;

    void record(content_key content, instant now);
    /// True when the content was answered within the window.
    [[nodiscard]] bool contains(content_key content, instant now) const;
    [[nodiscard]] std::size_t size() const { return answers_.size(); }

  private:
    struct answer {
        content_key content = 0;
        instant at{};
    };

    void remove_oldest();

    std::deque<answer> answers_;
    /// Time of the last answer of each content.
    std::unordered_map<content_key, instant> last_;
};

}  // namespace tallyfold::poison
