#include "tallyfold/plane/http/endpoint_messages.hpp"

namespace tallyfold::http {

std::string render_response(const endpoint_response& response, bool keep_alive) {
    std::string text = "HTTP/1.1 " + std::to_string(response.status) + " " +
                       std::string(reason_phrase(response.status)) + "\r\n";
    if (!response.body.empty()) {
        text += "Content-Type: " + response.content_type + "\r\n";
    }
    for (const header_field& field : response.headers) {
        text += field.name + ": " + field.value + "\r\n";
    }
    text += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
    text += keep_alive ? "\r\n" : "Connection: close\r\n\r\n";
    return text + response.body;
}

}  // namespace tallyfold::http
