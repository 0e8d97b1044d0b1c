#pragma once
/// @file
/// Collects the pages of one poll of the list of back ends. Pure; list_poller sends the requests.

#include <optional>
#include <set>
#include <string>

#include "tallyfold/plane/discovery/backend_list.hpp"

namespace tallyfold::discovery {

class list_walk {
  public:
    /// What to do after a page.
    enum class step : std::uint8_t { request_next_page, complete, fail };

    /// Adds a page. Fails when its token was given before, or when there are too many pages: the
    /// list would never end.
    step add(backend_page page) {
        polled_.backends.insert(polled_.backends.end(),
                                std::make_move_iterator(page.backends.begin()),
                                std::make_move_iterator(page.backends.end()));
        polled_.rejected.insert(polled_.rejected.end(),
                                std::make_move_iterator(page.rejected.begin()),
                                std::make_move_iterator(page.rejected.end()));
        ++polled_.pages;
        token_ = std::move(page.next_token);
        if (token_.empty()) {
            return step::complete;
        }
        const bool is_new = tokens_.insert(token_).second;
        return is_new && polled_.pages < max_pages ? step::request_next_page : step::fail;
    }

    /// Token of the next page; empty for the first.
    [[nodiscard]] const std::string& token() const { return token_; }
    [[nodiscard]] const polled_list& polled() const { return polled_; }

  private:
    /// Ends the walk of a list that names a next page forever.
    static constexpr std::size_t max_pages = 1'000;

    polled_list polled_;
    std::string token_;
    std::set<std::string> tokens_;
};

}  // namespace tallyfold::discovery
