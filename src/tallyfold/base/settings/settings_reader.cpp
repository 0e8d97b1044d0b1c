#include "tallyfold/base/settings/settings_reader.hpp"

#include <toml++/toml.h>

#include <asio/ip/address.hpp>
#include <fstream>
#include <iterator>

#include "tallyfold/base/net/socket_address.hpp"

namespace tallyfold::settings {

struct settings_reader::parsed_file {
    toml::table table;
};

namespace {

bool is_ip_address(const std::string& text) {
    const auto [host, port] = net::split_address(text);
    std::error_code failure;
    asio::ip::make_address(host, failure);
    return !host.empty() && !failure && port != 0;
}

constexpr const char* invalid_address_reason =
    "must be an IP number and a port, like \"127.0.0.1:7000\"";

}  // namespace

settings_reader::settings_reader(const std::string& file)
    : file_(file), parsed_(std::make_unique<parsed_file>()) {
    std::ifstream stream(file);
    if (!stream) {
        problem("(file)", "cannot be read");
        return;
    }
    const std::string contents((std::istreambuf_iterator<char>(stream)), {});
    try {
        parsed_->table = toml::parse(contents, file);
    } catch (const toml::parse_error& failure) {
        const auto position = failure.source().begin;
        problem("line " + std::to_string(position.line), std::string(failure.description()));
    }
}

settings_reader::~settings_reader() = default;

void settings_reader::problem(const std::string& key, const std::string& reason) {
    problems_.push_back({file_, key, reason});
}

std::string settings_reader::text(const std::string& key) {
    std::string value = text_or(key, {});
    if (value.empty() && parsed_->table.get(key) == nullptr) {
        problem(key, "is missing");
    } else if (value.empty()) {
        problem(key, "must be a text that is not empty");
    }
    return value;
}

std::string settings_reader::text_or(const std::string& key, const std::string& fallback) {
    known_.insert(key);
    const toml::node* node = parsed_->table.get(key);
    if (node == nullptr) {
        return fallback;
    }
    const auto value = node->value<std::string>();
    if (!node->is_string() || !value) {
        problem(key, "must be a text");
        return fallback;
    }
    return *value;
}

std::int64_t settings_reader::integer_or(const std::string& key, std::int64_t fallback,
                                         std::int64_t low, std::int64_t high) {
    known_.insert(key);
    const toml::node* node = parsed_->table.get(key);
    if (node == nullptr) {
        return fallback;
    }
    const auto value = node->value<std::int64_t>();
    if (!node->is_integer() || !value || *value < low || *value > high) {
        problem(key, "must be a whole number from " + std::to_string(low) + " to " +
                         std::to_string(high));
        return fallback;
    }
    return *value;
}

double settings_reader::real_or(const std::string& key, double fallback, double low, double high) {
    known_.insert(key);
    const toml::node* node = parsed_->table.get(key);
    if (node == nullptr) {
        return fallback;
    }
    const auto value = node->value<double>();
    if (!node->is_number() || !value || *value < low || *value > high) {
        problem(key,
                "must be a number from " + std::to_string(low) + " to " + std::to_string(high));
        return fallback;
    }
    return *value;
}

std::string settings_reader::address(const std::string& key) {
    std::string value = text(key);
    if (!value.empty() && !is_ip_address(value)) {
        problem(key, invalid_address_reason);
    }
    return value;
}

std::vector<std::pair<std::string, std::string>> settings_reader::address_table(
    const std::string& key) {
    known_.insert(key);
    std::vector<std::pair<std::string, std::string>> entries;
    const toml::node* node = parsed_->table.get(key);
    if (node == nullptr || !node->is_table()) {
        problem(key, "must be a table of names and addresses");
        return entries;
    }
    for (const auto& [name, value] : *node->as_table()) {
        const auto address = value.value<std::string>();
        const std::string full_key = key + "." + std::string(name.str());
        if (!address || !is_ip_address(*address)) {
            problem(full_key, invalid_address_reason);
            continue;
        }
        entries.emplace_back(std::string(name.str()), *address);
    }
    if (entries.empty()) {
        problem(key, "must name at least one node");
    }
    return entries;
}

std::vector<std::string> settings_reader::text_list(const std::string& key) {
    known_.insert(key);
    std::vector<std::string> values;
    const toml::node* node = parsed_->table.get(key);
    if (node == nullptr) {
        return values;
    }
    if (!node->is_array()) {
        problem(key, "must be a list of texts");
        return values;
    }
    for (const toml::node& element : *node->as_array()) {
        const auto value = element.value<std::string>();
        if (!value) {
            problem(key, "must be a list of texts");
            return values;
        }
        values.push_back(*value);
    }
    return values;
}

void settings_reader::finish() {
    for (const auto& [key, value] : parsed_->table) {
        if (!known_.contains(std::string(key.str()))) {
            problem(std::string(key.str()), "is not a setting of this program");
        }
    }
}

}  // namespace tallyfold::settings
