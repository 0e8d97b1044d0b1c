#include "tallyfold/plane/http/event_stream.hpp"

namespace tallyfold::http {

namespace {

/// Part of a line that is always kept: the name of its field, with the space after the colon.
constexpr std::size_t kept_prefix_bytes = 16;

}  // namespace

std::optional<std::string_view> event_field(std::string_view line, std::string_view name) {
    if (!line.starts_with(name)) {
        return std::nullopt;
    }
    line.remove_prefix(name.size());
    if (line.starts_with(' ')) {
        line.remove_prefix(1);
    }
    return line;
}

void event_stream_reader::feed(std::string_view bytes) {
    while (!bytes.empty()) {
        const std::size_t end = bytes.find('\n');
        append_to_line(bytes.substr(0, end));
        if (end == std::string_view::npos) {
            return;
        }
        bytes.remove_prefix(end + 1);
        end_line();
    }
}

void event_stream_reader::append_to_line(std::string_view part) {
    const std::size_t room = max_data_bytes_ + kept_prefix_bytes - line_.size();
    if (part.size() > room) {
        overflowed_ = true;
    }
    line_.append(part.substr(0, room));
}

void event_stream_reader::keep_data(std::string_view value) {
    // With the line feeds before the value and after the event.
    const std::size_t size = data_.size() + event_data_.size() + value.size() + 2;
    if (overflowed_ || size > max_data_bytes_) {
        overflowed_ = true;
        return;
    }
    if (has_data_) {
        event_data_ += '\n';
    }
    event_data_ += value;
}

void event_stream_reader::end_line() {
    if (!line_.empty() && line_.back() == '\r') {
        line_.pop_back();
    }
    if (line_.empty()) {
        if (has_data_) {
            if (!overflowed_) {
                data_ += event_data_;
                data_ += '\n';
            }
            ++events_;
        }
        event_data_.clear();
        has_data_ = false;
        in_event_ = false;
        return;
    }
    in_event_ = true;
    if (const auto value = event_field(line_, "data:")) {
        keep_data(*value);
        has_data_ = true;
    }
    line_.clear();
}

}  // namespace tallyfold::http
