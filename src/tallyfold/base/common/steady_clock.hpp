#pragma once
/// @file
/// Current time of the steady clock. Only I/O code reads it; state machines receive the time as an
/// argument.

#include "tallyfold/base/common/time.hpp"

namespace tallyfold {

/// Time since the steady clock's origin, which all threads of a process share.
inline instant steady_now() {
    return instant(
        std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

}  // namespace tallyfold
