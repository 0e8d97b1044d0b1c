#pragma once
/// @file
/// Configuration changes that are in the log but not yet answered. When an operator retries a
/// change, the retry waits for the original entry instead of adding another one. Pure.

#include <map>
#include <optional>
#include <string>

#include "tallyfold/plane/directory/directory_work.hpp"

namespace tallyfold::directory {

class open_changes {
  public:
    /// Returns the request that appended exactly this text; empty when none is open.
    [[nodiscard]] std::optional<request_token> find(const std::string& text) const;
    void add(request_token token, const std::string& text) { texts_[token] = text; }
    /// Removes the request after the log has answered it, with any outcome.
    void remove(request_token token) { texts_.erase(token); }
    void clear() { texts_.clear(); }

  private:
    std::map<request_token, std::string> texts_;
};

}  // namespace tallyfold::directory
