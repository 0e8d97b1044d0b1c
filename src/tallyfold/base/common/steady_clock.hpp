#pragma once
/// @file
/// The steady clock on the time line of the pure logic. For shells alone: pure logic is handed the
/// time.

#include "tallyfold/base/common/time.hpp"

namespace tallyfold {

/// Microseconds since the steady clock's origin, which is the same for all threads of a process.
inline instant steady_now() {
    return instant(
        std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

}  // namespace tallyfold
