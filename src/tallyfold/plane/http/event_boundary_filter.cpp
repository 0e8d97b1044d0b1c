#include "tallyfold/plane/http/event_boundary_filter.hpp"

#include <charconv>
#include <optional>

#include "tallyfold/plane/http/event_stream.hpp"

namespace tallyfold::http {

namespace {

/// Value of the event's last `id` field; empty when it has none.
std::string_view id_of(std::string_view event) {
    std::string_view id;
    while (!event.empty()) {
        const std::size_t end = event.find('\n');
        const auto value = event_field(event.substr(0, end), "id:");
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
        if (!value.has_value()) {
            continue;
        }
        id = *value;
        if (id.ends_with('\r')) {
            id.remove_suffix(1);
        }
    }
    return id;
}

std::optional<std::uint64_t> parse_number(std::string_view text) {
    std::uint64_t number = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool whole = failure == std::errc{} && end == text.data() + text.size();
    return whole ? std::optional(number) : std::nullopt;
}

}  // namespace

std::string event_boundary_filter::feed(std::string_view bytes) {
    partial_ += bytes;
    std::string forwarded;
    std::size_t event_begin = 0;
    while (in_order_) {
        const std::size_t end = find_event_end();
        if (end == std::string::npos) {
            break;
        }
        const std::string_view event =
            std::string_view(partial_).substr(event_begin, end - event_begin);
        if (accept_event(event)) {
            forwarded += event;
        }
        event_begin = end;
    }
    remove_events(event_begin);
    if (partial_.size() > max_partial_bytes) {
        drop_partial();
        in_order_ = false;
    }
    return forwarded;
}

std::size_t event_boundary_filter::find_event_end() {
    while (true) {
        const std::size_t end = partial_.find('\n', searched_);
        if (end == std::string::npos) {
            searched_ = partial_.size();
            return end;
        }
        const std::size_t length = end - line_begin_;
        const bool blank = length == 0 || (length == 1 && partial_[line_begin_] == '\r');
        line_begin_ = end + 1;
        searched_ = end + 1;
        if (blank) {
            return end + 1;
        }
    }
}

void event_boundary_filter::remove_events(std::size_t size) {
    if (size == 0) {
        return;
    }
    // A new string, so that the memory of a long event isn't kept for the next ones.
    std::string rest = partial_.substr(size);
    partial_.swap(rest);
    line_begin_ -= size;
    searched_ -= size;
}

void event_boundary_filter::drop_partial() {
    std::string().swap(partial_);
    line_begin_ = 0;
    searched_ = 0;
}

bool event_boundary_filter::accept_event(std::string_view event) {
    const std::string_view id = id_of(event);
    if (id.empty()) {
        return true;
    }
    const auto number = parse_number(id);
    const auto last = parse_number(last_id_);
    if (number && last) {
        if (*number <= *last) {
            return false;
        }
        if (*number != *last + 1 && ids_consecutive_ && events_with_id_ > 1) {
            in_order_ = false;
            return false;
        }
        ids_consecutive_ = ids_consecutive_ && *number == *last + 1;
    }
    last_id_ = id;
    ++events_with_id_;
    return true;
}

}  // namespace tallyfold::http
