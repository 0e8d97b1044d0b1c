#pragma once
/// @file
/// What the system lets this process use.

#include <cstddef>
#include <cstdint>

namespace tallyfold::resources {

/// @param memory_mb memory that the operator gives to the process, in MB; 0 for that of the machine
/// @return bytes
[[nodiscard]] std::uint64_t process_memory(std::uint64_t memory_mb);

/// @param descriptors number that the operator gives to the process; 0 for the system's limit,
/// which bounds any other value
[[nodiscard]] std::size_t process_descriptors(std::size_t descriptors);

/// Makes the allocator return large blocks to the system as soon as they are freed, so that the
/// memory of a burst of large requests doesn't stay with the process.
void return_large_blocks();

}  // namespace tallyfold::resources
