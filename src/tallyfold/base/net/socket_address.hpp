#pragma once
/// @file
/// "ip:port" texts and endpoints.

#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace tallyfold::net {

/// Splits "ip:port". @return an empty address when it is malformed
std::pair<std::string, std::uint16_t> split_address(const std::string& text);
/// The endpoint of "ip:port" with an IPv4 number; nothing when it is no such text.
std::optional<asio::ip::tcp::endpoint> parse_endpoint(const std::string& address);
/// The part before the port.
std::string ip_of(const std::string& address);
std::string join_address(const std::string& ip, unsigned port);

}  // namespace tallyfold::net
