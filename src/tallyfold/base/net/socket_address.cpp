#include "tallyfold/base/net/socket_address.hpp"

#include <charconv>

namespace tallyfold::net {

std::pair<std::string, std::uint16_t> split_address(const std::string& text) {
    const std::size_t colon = text.rfind(':');
    std::uint16_t port = 0;
    if (colon == std::string::npos) {
        return {};
    }
    const char* begin = text.data() + colon + 1;
    const char* end = text.data() + text.size();
    const auto [stop, failure] = std::from_chars(begin, end, port);
    if (failure != std::errc{} || stop != end) {
        return {};
    }
    return {text.substr(0, colon), port};
}

std::optional<asio::ip::tcp::endpoint> parse_endpoint(const std::string& address) {
    const auto [ip, port] = split_address(address);
    std::error_code failure;
    const auto parsed = asio::ip::make_address_v4(ip, failure);
    if (failure) {
        return std::nullopt;
    }
    return asio::ip::tcp::endpoint(parsed, port);
}

std::string ip_of(const std::string& address) {
    return address.substr(0, address.rfind(':'));
}

std::string join_address(const std::string& ip, unsigned port) {
    return ip + ":" + std::to_string(port);
}

}  // namespace tallyfold::net
