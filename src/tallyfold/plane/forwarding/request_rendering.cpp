#include "tallyfold/plane/forwarding/request_rendering.hpp"

namespace tallyfold::forwarding {

std::string render_backend_head(const http::message_head& head, const http::header_list& headers,
                                std::size_t body_bytes) {
    std::string bytes = head.method + " " + head.target + " HTTP/1.1\r\n";
    for (const http::header_field& field : headers.fields()) {
        bytes += field.name + ": " + field.value + "\r\n";
    }
    if (head.framing != http::body_framing::none || body_bytes > 0) {
        bytes += "Content-Length: " + std::to_string(body_bytes) + "\r\n";
    }
    return bytes + "\r\n";
}

}  // namespace tallyfold::forwarding
