#pragma once
/// @file
/// Changes of the configuration that are in the log and not yet answered for. An operator that has
/// no answer sends the same again: its repeats wait for the first, instead of making the log longer
/// while it is slow. Pure.

#include <map>
#include <optional>
#include <string>

#include "tallyfold/plane/directory/directory_work.hpp"

namespace tallyfold::directory {

class open_changes {
  public:
    /// The request that put this very text into the log; nothing when none is open.
    [[nodiscard]] std::optional<request_token> find(const std::string& text) const;
    void begin(request_token token, const std::string& text) { texts_[token] = text; }
    /// The log has answered the request, however.
    void ended(request_token token) { texts_.erase(token); }
    void clear() { texts_.clear(); }

  private:
    std::map<request_token, std::string> texts_;
};

}  // namespace tallyfold::directory
