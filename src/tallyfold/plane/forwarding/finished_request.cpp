#include "tallyfold/plane/forwarding/finished_request.hpp"

#include <string_view>

namespace tallyfold::forwarding {

namespace {

std::string milliseconds(duration value) {
    return std::to_string(to_milliseconds(value));
}

std::string_view or_dash(std::string_view text) {
    return text.empty() ? "-" : text;
}

void add_field(std::string& line, std::string_view name, std::string_view value) {
    line += line.empty() ? "" : " ";
    line += name;
    line += "=";
    line += value;
}

void add_turn_fields(std::string& line, const finished_turn& turn, const send_statistics& sending) {
    line += turn.store_fields;
    const bool has_objective = turn.program_time_left.has_value();
    add_field(line, "cached", std::to_string(sending.cached_tokens));
    add_field(line, "waited_ms", milliseconds(sending.waited));
    if (sending.place != place_kind::none) {
        add_field(line, "place", text_of(sending.place));
        add_field(line, "place_ms", milliseconds(sending.place_time));
        add_field(line, "room_wait_ms", milliseconds(sending.room_wait));
    }
    add_field(line, "urgency", std::to_string(sending.urgency));
    add_field(line, "program_left_ms",
              has_objective ? milliseconds(*turn.program_time_left) : std::string("-"));
    add_field(line, "events", std::to_string(turn.events));
}

}  // namespace

std::string render_finished_request(const finished_request& finished) {
    const send_statistics& sending = finished.sending;
    std::string line;
    add_field(line, "request", finished.request);
    add_field(line, "outcome", text_of(finished.outcome));
    add_field(line, "status", std::to_string(finished.status));
    add_field(line, "route", or_dash(finished.route));
    add_field(line, "version", std::to_string(finished.version));
    add_field(line, "backend", or_dash(sending.backend));
    add_field(line, "sends", std::to_string(sending.sends));
    add_field(line, "continued", std::to_string(sending.resumes));
    add_field(line, "waits_for_room", std::to_string(sending.back_offs));
    add_field(line, "list_age_ms", milliseconds(finished.list_age));
    add_field(line, "first_byte_ms", milliseconds(finished.first_byte));
    add_field(line, "total_ms", milliseconds(finished.total));
    if (!finished.tenant.empty()) {
        add_field(line, "tenant", finished.tenant);
    }
    if (!finished.program.empty()) {
        add_field(line, "program", finished.program);
    }
    if (!sending.content.empty()) {
        add_field(line, "content", sending.content);
    }
    if (!sending.backend_version.empty()) {
        add_field(line, "backend_version", sending.backend_version);
    }
    if (!finished.body_fields.empty()) {
        line += " " + finished.body_fields;
    }
    if (!finished.resumed_request.empty() || !finished.last_event.empty()) {
        add_field(line, "resumes", or_dash(finished.resumed_request));
        add_field(line, "after_event", or_dash(finished.last_event));
    }
    if (finished.turn) {
        add_turn_fields(line, *finished.turn, sending);
    }
    if (!finished.reason.empty()) {
        add_field(line, "reason", "\"" + finished.reason + "\"");
    }
    return line;
}

}  // namespace tallyfold::forwarding
