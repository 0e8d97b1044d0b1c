#pragma once
/// @file
/// Idle connections to back ends, kept for reuse: a new one costs time at both ends. Owns them
/// while no request uses them. Belongs to the loop thread.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "tallyfold/plane/http/connection_shell.hpp"

namespace tallyfold::forwarding {

class connection_pool {
  public:
    /// An idle connection to `address` that is still usable; null when there is none.
    http::connection_pointer take(const std::string& address, instant now);
    /// @param idle_limit time that the back end keeps it open, when it said so
    void put(const std::string& address, http::connection_pointer idle,
             std::optional<duration> idle_limit, instant now);
    /// Gives up all idle connections to `address`.
    void drop(const std::string& address);
    /// Closes those that have been idle for too long.
    void expire(instant now);

  private:
    struct idle_connection {
        http::connection_pointer connection;
        /// When it is given up.
        instant until{};
    };
    std::map<std::string, std::vector<idle_connection>> idle_;
};

}  // namespace tallyfold::forwarding
