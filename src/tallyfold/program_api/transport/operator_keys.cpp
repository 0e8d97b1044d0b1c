#include "tallyfold/program_api/transport/operator_keys.hpp"

#include <array>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <sstream>

namespace tallyfold::net {

namespace {

std::optional<operator_role> parse_role(std::string_view text) {
    for (const operator_role role :
         {operator_role::viewer, operator_role::editor, operator_role::administrator}) {
        if (to_string(role) == text) {
            return role;
        }
    }
    return std::nullopt;
}

std::string to_hex(std::string_view bytes) {
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned bits_per_digit = 4;
    constexpr unsigned low_bits = 0xF;
    std::string text;
    for (const char byte : bytes) {
        const auto value = static_cast<unsigned char>(byte);
        text += digits[value >> bits_per_digit];
        text += digits[value & low_bits];
    }
    return text;
}

}  // namespace

std::string_view to_string(operator_role role) {
    switch (role) {
        case operator_role::viewer:
            return "viewer";
        case operator_role::editor:
            return "editor";
        case operator_role::administrator:
            return "administrator";
    }
    return "invalid";
}

std::string prove_request(const std::string& key, const signed_request& request) {
    const std::string text =
        request.time + "\n" + request.method + "\n" + request.path + "\n" + request.body;
    return to_hex(keyed_hash(key, text));
}

tl::expected<operator_role, key_error> operator_keys::check(const signed_request& request,
                                                            std::int64_t now_seconds) const {
    std::int64_t time = 0;
    const char* end = request.time.data() + request.time.size();
    if (std::from_chars(request.time.data(), end, time).ptr != end || request.time.empty() ||
        std::llabs(time - now_seconds) > time_window_seconds) {
        return tl::unexpected(key_error{"the time is missing or too far off"});
    }
    std::ifstream file(path_);
    if (!file) {
        return tl::unexpected(key_error{path_ + " cannot be read"});
    }
    std::string line;
    while (std::getline(file, line)) {
        std::istringstream words(line);
        std::string name;
        std::string role_name;
        std::string key;
        words >> name >> role_name >> key;
        const auto role = parse_role(role_name);
        if (name != request.operator_name || !role || key.empty()) {
            continue;
        }
        if (equal_in_constant_time(prove_request(key, request), request.proof)) {
            return *role;
        }
    }
    return tl::unexpected(key_error{"unknown operator or wrong key"});
}

}  // namespace tallyfold::net
