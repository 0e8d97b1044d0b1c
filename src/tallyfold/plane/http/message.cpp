#include "tallyfold/plane/http/message.hpp"

#include <algorithm>
#include <array>
#include <cctype>

namespace tallyfold::http {

namespace {

char lower(char letter) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
}

/// Calls `visit` with each element of a comma-separated list.
template <class Visit>
void for_each_token(std::string_view value, Visit visit) {
    while (!value.empty()) {
        const std::size_t comma = value.find(',');
        visit(trimmed(value.substr(0, comma)));
        if (comma == std::string_view::npos) {
            return;
        }
        value.remove_prefix(comma + 1);
    }
}

constexpr std::array<std::string_view, 8> hop_by_hop_names{
    "connection", "keep-alive",        "proxy-connection", "te",
    "trailer",    "transfer-encoding", "upgrade",          "proxy-authenticate"};

}  // namespace

std::string_view trimmed(std::string_view text) {
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
        text.remove_suffix(1);
    }
    return text;
}

bool same_name(std::string_view left, std::string_view right) {
    return left.size() == right.size() &&
           std::equal(left.begin(), left.end(), right.begin(),
                      [](char one, char other) { return lower(one) == lower(other); });
}

void header_list::add(std::string name, std::string value) {
    fields_.push_back({std::move(name), std::move(value)});
}

const std::string* header_list::find(std::string_view name) const {
    for (const header_field& field : fields_) {
        if (same_name(field.name, name)) {
            return &field.value;
        }
    }
    return nullptr;
}

bool header_list::has_token(std::string_view name, std::string_view token) const {
    bool found = false;
    for (const header_field& field : fields_) {
        if (same_name(field.name, name)) {
            for_each_token(field.value, [&](std::string_view member) {
                found = found || same_name(member, token);
            });
        }
    }
    return found;
}

header_list header_list::end_to_end() const {
    header_list kept;
    for (const header_field& field : fields_) {
        const bool hop_by_hop =
            std::any_of(hop_by_hop_names.begin(), hop_by_hop_names.end(),
                        [&](std::string_view name) { return same_name(field.name, name); });
        if (!hop_by_hop && !has_token("connection", field.name)) {
            kept.add(field.name, field.value);
        }
    }
    return kept;
}

std::string_view message_head::path() const {
    return std::string_view(target).substr(0, target.find('?'));
}

std::string_view name_of(body_framing framing) {
    switch (framing) {
        case body_framing::none:
            return "none";
        case body_framing::length:
            return "length";
        case body_framing::chunked:
            return "chunked";
        case body_framing::until_close:
            return "until_close";
    }
    return "unknown";
}

std::string_view reason_phrase(unsigned status) {
    switch (status) {
        case 200:
            return "OK";
        case 307:
            return "Temporary Redirect";
        case 400:
            return "Bad Request";
        case 402:
            return "Payment Required";
        case 404:
            return "Not Found";
        case 405:
            return "Method Not Allowed";
        case 408:
            return "Request Timeout";
        case 409:
            return "Conflict";
        case 413:
            return "Content Too Large";
        case 421:
            return "Misdirected Request";
        case 429:
            return "Too Many Requests";
        case 431:
            return "Request Header Fields Too Large";
        case 500:
            return "Internal Server Error";
        case 502:
            return "Bad Gateway";
        case 503:
            return "Service Unavailable";
        case 504:
            return "Gateway Timeout";
        default:
            return "Status";
    }
}

}  // namespace tallyfold::http
