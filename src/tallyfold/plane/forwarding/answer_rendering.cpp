#include "tallyfold/plane/forwarding/answer_rendering.hpp"

#include <nlohmann/json.hpp>

#include "tallyfold/plane/http/endpoint_messages.hpp"

namespace tallyfold::forwarding {

namespace {

/// Renders a duration in seconds with up to three decimals.
std::string render_seconds(duration value) {
    const std::int64_t milliseconds = to_milliseconds(value);
    std::string decimals = std::to_string(milliseconds % 1'000);
    decimals.insert(0, 3 - decimals.size(), '0');
    while (decimals.size() > 1 && decimals.back() == '0') {
        decimals.pop_back();
    }
    return std::to_string(milliseconds / 1'000) + "." + decimals;
}

std::string render_framing(const relayed_framing& framing) {
    if (framing.bodiless) {
        return {};
    }
    return framing.chunked ? std::string("Transfer-Encoding: chunked\r\n")
                           : "Content-Length: " + std::to_string(framing.length) + "\r\n";
}

}  // namespace

std::string render_local_answer(unsigned status, const std::string& reason, retry_after retry,
                                bool keep_alive) {
    http::endpoint_response response;
    response.status = status;
    response.body = nlohmann::json{{"error", reason}}.dump();
    if (retry.after) {
        response.headers.push_back({"Retry-After", render_seconds(*retry.after)});
    }
    return http::render_response(response, keep_alive);
}

std::string render_relayed_head(const http::message_head& head, const relayed_framing& framing,
                                bool keep_alive) {
    std::string text = "HTTP/1.1 " + std::to_string(head.status) + " " +
                       std::string(http::reason_phrase(head.status)) + "\r\n";
    const http::header_list kept = head.headers.end_to_end();
    for (const http::header_field& field : kept.fields()) {
        if (!http::same_name(field.name, "Content-Length")) {
            text += field.name + ": " + field.value + "\r\n";
        }
    }
    text += render_framing(framing);
    text += keep_alive ? "\r\n" : "Connection: close\r\n\r\n";
    return text;
}

std::string render_chunk(const std::string& bytes) {
    static constexpr const char* digits = "0123456789abcdef";
    std::string length;
    for (std::size_t rest = bytes.size(); rest > 0; rest /= 16) {
        length.insert(length.begin(), digits[rest % 16]);
    }
    return length + "\r\n" + bytes + "\r\n";
}

}  // namespace tallyfold::forwarding
