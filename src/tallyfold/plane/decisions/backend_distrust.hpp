#pragma once
/// @file
/// Which back ends have lately broken off a call before any byte of its answer, here or at another
/// node. Pure.
///
/// One that goes down and up breaks the kept connections of every node, and each finds out by a
/// call of its own. A call that must run at most once is lost by that. So nodes tell each other,
/// give up the connections that they keep to such a back end, and send it only calls that may be
/// repeated for a while.

#include <cstdint>
#include <map>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/base/common/types.hpp"
#include "tallyfold/plane/discovery/backend_failures.hpp"

namespace tallyfold::forwarding {

class backend_distrust {
  public:
    /// Doubt after a first break; each further one within forgotten_after doubles it.
    static constexpr duration first_doubt = std::chrono::seconds(2);
    static constexpr std::uint32_t max_doublings = 2;
    static constexpr duration forgotten_after = std::chrono::seconds(10);

    /// @return true when the break isn't known yet: connections kept from before it are worth
    /// nothing, and, seen here, it is worth telling
    bool note(const backend_name& name, instant at);
    [[nodiscard]] bool is_distrusted(const backend_name& name, instant now) const;
    /// Drops what is too old to matter.
    void expire(instant now);

  private:
    struct entry {
        instant last{};
        instant until{};
        std::uint32_t doublings = 0;
    };
    std::map<backend_name, entry> entries_;
};

}  // namespace tallyfold::forwarding
