#pragma once
/// @file
/// Numbers of the requests that an operation sends to stores. A number states the operation and the
/// epoch of the map that the request was made under. Stores return it unread, so it also states
/// under which map a reply was made. Pure.

#include "tallyfold/plane/turns/messages.hpp"

namespace tallyfold::turns {

/// Bits of a request's number that hold the lowest bits of the epoch. Leaves 40 bits for the
/// operations of one process.
constexpr unsigned request_epoch_bits = 24;

/// Number of the operation's requests under the map with this epoch.
[[nodiscard]] constexpr operation_number request_number(operation_number operation,
                                                        map_epoch epoch) {
    constexpr map_epoch mask = (map_epoch{1} << request_epoch_bits) - 1;
    return (operation << request_epoch_bits) | (epoch & mask);
}

/// Operation that sent the request.
[[nodiscard]] constexpr operation_number operation_of(operation_number request) {
    return request >> request_epoch_bits;
}

/// True when the request was made under the map with this epoch.
[[nodiscard]] constexpr bool made_under(operation_number request, map_epoch epoch) {
    return request == request_number(operation_of(request), epoch);
}

}  // namespace tallyfold::turns
