#include "tallyfold/plane/http/body_completeness.hpp"

namespace tallyfold::http {

std::string_view name_of(body_completeness completeness) {
    switch (completeness) {
        case body_completeness::whole:
            return "whole";
        case body_completeness::presumed_whole:
            return "presumed_whole";
        case body_completeness::truncated:
            return "truncated";
    }
    return "unknown";
}

bool is_event_stream(const message_head& head, bool expected) {
    if (head.status / 100 != 2) {
        return false;
    }
    constexpr std::string_view media_type = "text/event-stream";
    const std::string* type = head.headers.find("Content-Type");
    if (type == nullptr) {
        return expected;
    }
    const std::string_view value = std::string_view(*type).substr(0, type->find(';'));
    const std::size_t end = value.find_last_not_of(" \t");
    return end != std::string_view::npos && same_name(value.substr(0, end + 1), media_type);
}

body_completeness completeness_of(body_framing framing, std::optional<event_position> position) {
    if (position == event_position::inside_event) {
        return body_completeness::truncated;
    }
    if (framing != body_framing::until_close) {
        return body_completeness::whole;
    }
    // A sender that fails right after the head closes an empty stream.
    return position == event_position::before_first_event ? body_completeness::truncated
                                                          : body_completeness::presumed_whole;
}

received_body::received_body(const message_head& head, bool expects_stream)
    : framing_(head.framing) {
    if (is_event_stream(head, expects_stream)) {
        stream_.emplace();
    }
}

void received_body::feed(std::string_view bytes) {
    if (stream_) {
        stream_->feed(bytes);
    }
}

void received_body::finish() {
    finished_ = true;
}

std::optional<event_position> received_body::position() const {
    return stream_ ? std::optional(stream_->position()) : std::nullopt;
}

body_completeness received_body::completeness() const {
    return finished_ ? completeness_of(framing_, position()) : body_completeness::truncated;
}

std::string received_body::log_fields() const {
    std::string fields = "framing=" + std::string(name_of(framing_));
    const body_completeness found = completeness();
    if (found != body_completeness::whole) {
        fields += " body=" + std::string(name_of(found));
        fields += " position=" + std::string(stream_ ? name_of(stream_->position()) : "-");
    }
    return fields;
}

}  // namespace tallyfold::http
