#include "tallyfold/base/logging/event_log.hpp"
#include "tallyfold/program_api/process/logic_thread.hpp"
#include "tallyfold/program_api/scheduler/backend_client.hpp"

namespace tallyfold::scheduler {

namespace {

constexpr std::size_t event_ring_capacity = 16'384;
constexpr int first_error_status = 300;

bool is_stream(const backend_order& order) {
    return std::holds_alternative<start_stream>(order) ||
           std::holds_alternative<resume_stream>(order);
}

}  // namespace

backend_client::backend_client(std::string members_address, std::function<void()> notify)
    : members_address_(std::move(members_address)),
      events_(event_ring_capacity, std::move(notify)),
      client_([this](net::http_event event) { events_.push(std::move(event)); }) {}

void backend_client::submit(const backend_order& order) {
    const bool to_members = std::holds_alternative<poll_members>(order);
    const auto known = addresses_.find(target_of(order));
    const auto key = attempt_of(order);
    if (key && (std::holds_alternative<cancel_stream>(order) ||
                std::holds_alternative<resume_stream>(order))) {
        stop_reading(*key);
    }
    if (!to_members && known == addresses_.end()) {
        if (auto report = report_no_answer(order, false)) {
            reports_.push_back(std::move(*report));
        }
        return;
    }
    backend_http_request request = render_order(order);
    net::http_call call;
    call.id = next_call_++;
    call.method = std::move(request.method);
    call.url = "http://" + (to_members ? members_address_ : known->second) + request.path;
    call.body = std::move(request.body);
    call.timeout = request.timeout;
    call.streamed = request.streamed;
    call.fresh_connection = request.fresh_connection;
    const net::http_call_id id = call.id;
    if (!client_.submit(std::move(call))) {
        if (auto report = report_no_answer(order, false)) {
            reports_.push_back(std::move(*report));
        }
        return;
    }
    if (request.streamed) {
        stream_calls_[*key] = id;
    }
    running_[id] = {order, {}, false};
}

void backend_client::stop_reading(const attempt_key& key) {
    const auto reader = stream_calls_.find(key);
    if (reader == stream_calls_.end()) {
        return;
    }
    pending_cancels_.push_back(reader->second);
    running_.erase(reader->second);
    stream_calls_.erase(reader);
    retry_cancels();
}

void backend_client::retry_cancels() {
    std::erase_if(pending_cancels_, [this](net::http_call_id id) { return client_.cancel(id); });
}

std::vector<backend_report> backend_client::take_reports() {
    net::drain_ring(events_, [this](net::http_event& event) { on_event(event); });
    retry_cancels();
    std::vector<backend_report> taken;
    std::swap(taken, reports_);
    return taken;
}

void backend_client::on_event(net::http_event& event) {
    const auto found = running_.find(event.id);
    if (found == running_.end()) {
        return;  // The order was cancelled.
    }
    running_order& running = found->second;
    if (event.kind == net::http_event_kind::data) {
        on_stream_bytes(running, event.bytes);
        if (running.splitter.overflowed()) {
            give_up_stream(*attempt_of(running.order));
        }
        return;
    }
    if (event.defect != net::syntax_defect::none) {
        logging::write_event(logging::event_id::backend_answer_malformed,
                             "backend=" + target_of(running.order) +
                                 " defect=" + std::string(net::name_of(event.defect)));
    }
    on_finished(running, event);
    if (const auto key = attempt_of(running.order)) {
        const auto reader = stream_calls_.find(*key);
        if (reader != stream_calls_.end() && reader->second == event.id) {
            stream_calls_.erase(reader);
        }
    }
    running_.erase(event.id);
}

void backend_client::on_stream_bytes(running_order& running, const std::string& bytes) {
    const attempt_key key = *attempt_of(running.order);
    for (const std::string& text : running.splitter.add(bytes)) {
        auto report = parse_stream_event(key, text);
        if (!report) {
            reports_.push_back(attempt_failed{key, failure_kind::broken});
            return;
        }
        running.finished = !std::holds_alternative<stream_pieces>(*report);
        reports_.push_back(std::move(*report));
    }
}

void backend_client::give_up_stream(const attempt_key& key) {
    reports_.push_back(attempt_failed{key, failure_kind::broken});
    stop_reading(key);
}

void backend_client::on_finished(running_order& running, const net::http_event& event) {
    std::optional<backend_report> report;
    if (event.kind != net::http_event_kind::finished) {
        if (running.finished) {
            return;
        }
        report = report_no_answer(running.order, event.kind != net::http_event_kind::unreachable);
    } else if (event.status >= first_error_status) {
        report = report_refusal(running.order, event.status);
    } else if (is_stream(running.order)) {
        if (!running.finished) {
            report = attempt_failed{*attempt_of(running.order), failure_kind::broken};
        }
    } else if (auto parsed = parse_answer(running.order, event.bytes)) {
        report = std::move(*parsed);
    } else {
        report = report_no_answer(running.order, true);
    }
    if (!report.has_value()) {
        return;
    }
    if (const auto* members = std::get_if<members_answered>(&*report)) {
        update_addresses(*members);
    }
    reports_.push_back(std::move(*report));
}

void backend_client::update_addresses(const members_answered& members) {
    for (const scheduling::backend_member& member : members.members) {
        addresses_[member.name] = member.address;
    }
}

}  // namespace tallyfold::scheduler
