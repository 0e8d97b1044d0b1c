#pragma once
/// @file
/// Parsing of "ip:port" addresses.

#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace tallyfold::net {

/// Splits "ip:port". @return an empty address and port 0 when `text` is malformed
std::pair<std::string, std::uint16_t> split_address(const std::string& text);
/// Endpoint of an IPv4 "ip:port" address; nothing when `address` is not of that form.
std::optional<asio::ip::tcp::endpoint> parse_endpoint(const std::string& address);
/// Part of "ip:port" before the port.
std::string ip_of(const std::string& address);
std::string join_address(const std::string& ip, unsigned port);

}  // namespace tallyfold::net
