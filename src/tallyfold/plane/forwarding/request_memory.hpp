#pragma once
/// @file
/// Memory that a caller's request takes at most while it is read and served. Pure functions, used
/// to reserve it beforehand.

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace tallyfold::forwarding {

/// Objects and coroutines of a request that is being served, in bytes.
constexpr std::uint64_t request_bytes = 16U << 10U;
/// Copies of a head: as it was received, its parsed metadata, and as it is sent to a back end.
constexpr std::uint64_t head_copies = 3;
/// Copies of a turn's input when it is settled, one for each store of a group that loses one store.
constexpr std::uint64_t settlement_copies = 3;
/// Capacities of the buffer for a body of unknown length, in bytes: a small one, then large blocks,
/// which the allocator returns to the system.
constexpr std::size_t first_body_capacity = 16U << 10U;
constexpr std::size_t second_body_capacity = 256U << 10U;

/// Memory of a request without its body.
/// @param connection_bytes memory of a connection without a message
/// @param head_memory memory of its head
[[nodiscard]] constexpr std::uint64_t request_memory(std::uint64_t connection_bytes,
                                                     std::size_t head_memory) {
    return connection_bytes + request_bytes + head_copies * head_memory;
}

/// Capacity of a buffer for a body of unknown length.
/// @param needed bytes that have arrived
/// @param max_bytes limit of a body's size; at least `needed`
[[nodiscard]] constexpr std::size_t body_capacity(std::size_t needed, std::size_t max_bytes) {
    std::size_t capacity = first_body_capacity;
    if (needed > capacity) {
        capacity = second_body_capacity;
    }
    while (needed > capacity) {
        capacity *= 2;
    }
    return std::min(capacity, std::max(max_bytes, needed));
}

/// Memory of a body of unknown length that needs a larger buffer: the old one exists until its
/// content is copied.
[[nodiscard]] constexpr std::uint64_t growing_body_memory(std::size_t old_capacity,
                                                          std::size_t new_capacity) {
    return old_capacity + new_capacity;
}

/// Memory of a turn with its history.
/// @param fixed_bytes request_memory()
[[nodiscard]] constexpr std::uint64_t turn_memory(std::uint64_t fixed_bytes,
                                                  std::size_t input_bytes,
                                                  std::size_t history_bytes) {
    // The history exists twice while the body is put together.
    const std::uint64_t body = input_bytes + 2 * history_bytes;
    return fixed_bytes + body + settlement_copies * input_bytes;
}

}  // namespace tallyfold::forwarding
