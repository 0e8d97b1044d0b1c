#pragma once
/// @file
/// Pool of idle connections to back ends, kept for reuse. Owns a connection while no request uses
/// it. Used on the loop thread only.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "tallyfold/plane/forwarding/backend_connection_shell.hpp"

namespace tallyfold::forwarding {

class connection_pool {
  public:
    /// Removes a usable idle connection to `address` over which the request was not sent before;
    /// null when there is none.
    backend_connection_pointer take(const std::string& address, const std::string& request,
                                    instant now);
    /// True when there is an idle connection to `address`, which may have been closed meanwhile.
    [[nodiscard]] bool has_idle(const std::string& address) const {
        return idle_.contains(address);
    }
    /// Adds an idle connection.
    /// @param idle_timeout announced by the back end, if any
    void put(const std::string& address, backend_connection_pointer idle,
             std::optional<duration> idle_timeout, instant now);
    /// Closes all idle connections to `address`.
    void drop(const std::string& address);
    /// Closes connections that reached their idle timeout or were closed by the back end.
    void expire(instant now);

  private:
    struct idle_connection {
        backend_connection_pointer connection;
        /// When the pool closes the connection.
        instant until{};
    };
    std::map<std::string, std::vector<idle_connection>> idle_;
};

}  // namespace tallyfold::forwarding
