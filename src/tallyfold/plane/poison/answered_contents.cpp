#include "tallyfold/plane/poison/answered_contents.hpp"

namespace tallyfold::poison {

void answered_contents::remove_oldest() {
    const answer& oldest = answers_.front();
    const auto last = last_.find(oldest.content);
    if (last != last_.end() && last->second == oldest.at) {
        last_.erase(last);
    }
    answers_.pop_front();
}

void answered_contents::record(content_key content, instant now) {
    while (!answers_.empty() &&
           (answers_.size() >= max_answers || now - answers_.front().at > window)) {
        remove_oldest();
    }
    answers_.push_back({content, now});
    last_[content] = now;
}

bool answered_contents::contains(content_key content, instant now) const {
    const auto last = last_.find(content);
    return last != last_.end() && now - last->second <= window;
}

}  // namespace tallyfold::poison
