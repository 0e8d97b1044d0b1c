#include "tallyfold/plane/http/event_stream.hpp"

namespace tallyfold::http {

namespace {

/// Part of a line that is always kept: the name of its field, with the space after the colon.
constexpr std::size_t kept_prefix_bytes = 16;
/// UTF-8 form of the byte order mark that may precede the first line.
constexpr std::string_view byte_order_mark = "\xef\xbb\xbf";

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
        return;
    }
    if (const auto value = event_field(line_, "data:")) {
        keep_data(*value);
        has_data_ = true;
    }
    line_.clear();
}

std::string_view name_of(event_position position) {
    switch (position) {
        case event_position::before_first_event:
            return "before_first_event";
        case event_position::after_event:
            return "after_event";
        case event_position::inside_event:
            return "inside_event";
    }
    return "unknown";
}

void event_position_tracker::feed(std::string_view bytes) {
    while (at_stream_begin_ && !bytes.empty() && skipped_mark_bytes_ < byte_order_mark.size() &&
           bytes.front() == byte_order_mark[skipped_mark_bytes_]) {
        ++skipped_mark_bytes_;
        bytes.remove_prefix(1);
    }
    while (!bytes.empty()) {
        at_stream_begin_ = false;
        const std::size_t end = bytes.find('\n');
        const std::string_view part = bytes.substr(0, end);
        if (!part.empty()) {
            extend_line(part);
        }
        if (end == std::string_view::npos) {
            return;
        }
        end_line();
        bytes.remove_prefix(end + 1);
    }
}

void event_position_tracker::extend_line(std::string_view part) {
    if (line_ == line_state::empty) {
        line_ = part == "\r"          ? line_state::carriage_return
                : part.front() == ':' ? line_state::comment
                                      : line_state::field;
    } else if (line_ == line_state::carriage_return) {
        line_ = line_state::field;
    }
}

void event_position_tracker::end_line() {
    const bool is_blank = line_ == line_state::empty || line_ == line_state::carriage_return;
    if (is_blank) {
        has_event_ = has_event_ || in_event_;
        in_event_ = false;
    } else if (line_ == line_state::field) {
        in_event_ = true;
    }
    line_ = line_state::empty;
}

event_position event_position_tracker::position() const {
    const bool in_line = line_ != line_state::empty;
    if (in_event_ || in_line) {
        return event_position::inside_event;
    }
    return has_event_ ? event_position::after_event : event_position::before_first_event;
}

}  // namespace tallyfold::http
