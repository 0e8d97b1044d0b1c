/// @file
/// One send of a request to a back end, and the way of its answer to the caller: the members of
/// request_relay that deal with back ends' connections.

#include <algorithm>
#include <asio/use_awaitable.hpp>

#include "tallyfold/plane/forwarding/request_relay_shell.hpp"

namespace tallyfold::forwarding {

namespace {

constexpr duration connect_limit = std::chrono::milliseconds(500);
/// Part of the time left that one try of a repeatable request gets while others may follow.
constexpr double share_of_one_try = 0.4;
/// Answers up to this size are relayed whole, so that one that breaks off can be tried again.
constexpr std::uint64_t largest_whole_answer = 64U << 10U;
constexpr std::size_t largest_answer_head = 64U << 10U;
/// Answers to other requests that may stand before the one that is due.
constexpr int max_surplus_answers = 2;
/// Time that an answer which isn't passed on may take to its end.
constexpr duration read_over_limit = std::chrono::milliseconds(20);

}  // namespace

asio::awaitable<http::connection_pointer> request_relay::open(const chosen_backend& backend,
                                                              send_result& result) {
    const instant now = http::steady_now();
    http::connection_pointer opened = context_.connections.take(backend.address, now);
    if (opened) {
        co_return opened;
    }
    opened = std::make_shared<http::connection>(asio::ip::tcp::socket(context_.process.loop()),
                                                http::message_kind::response, largest_answer_head);
    backend_ = opened;
    context_.metrics.connected();
    const instant limit = std::min(deadline_, now + connect_limit);
    const auto connected = co_await opened->connect(backend.address, limit);
    if (!connected) {
        result.reason = "connect_" + std::string(http::name_of(connected.error()));
        context_.backends.unreachable(service_->name, backend.name, http::steady_now());
        co_return nullptr;
    }
    co_return opened;
}

std::string request_relay::render_for_backend(const attempt_marks& marks) const {
    const http::header_list headers = context_.codec.backend_headers(request_.head, marks);
    std::string bytes = request_.head.method + " " + request_.head.target + " HTTP/1.1\r\n";
    for (const http::header_field& field : headers.fields()) {
        bytes += field.name + ": " + field.value + "\r\n";
    }
    if (request_.head.framing != http::body_framing::none || !outgoing_body_.empty()) {
        bytes += "Content-Length: " + std::to_string(outgoing_body_.size()) + "\r\n";
    }
    return bytes + "\r\n" + outgoing_body_;
}

asio::awaitable<request_relay::send_result> request_relay::send_to(chosen_backend backend) {
    send_result result;
    http::connection_pointer opened = co_await open(backend, result);
    if (!opened || gone_) {
        co_return result;
    }
    backend_ = opened;
    attempt_marks marks;
    marks.time_left = time_left();
    marks.incarnation = backend.name;
    marks.urgency = urgency_;
    marks.is_engine = service_->is_engine;
    marks.last_event = passed_.last_id();
    marks.tenant = tenant_name();
    if (marks.time_left <= duration::zero()) {
        result.reason = "no_time_left";
        result.timed_out = true;
        opened->close();
        co_return result;
    }
    std::string bytes = render_for_backend(marks);
    instant until = deadline_;
    if (policy_->may_retry_run() && !route_->streaming) {
        until = http::steady_now() +
                std::chrono::duration_cast<duration>(marks.time_left * share_of_one_try);
    }
    // From here on bytes may have left.
    result.end = attempt_end::may_have_run;
    const auto written = co_await opened->write(std::move(bytes), until);
    if (!written) {
        result.reason = "write_" + std::string(http::name_of(written.error()));
        result.timed_out = written.error() == http::io_failure::timed_out;
        result.broke_off = !result.timed_out;
        context_.backends.failed(service_->name, backend.name, http::steady_now());
        if (result.broke_off && !gone_) {
            note_break(backend);
        }
        opened->abort();
        co_return result;
    }
    answer_facts facts;
    if (!co_await read_matching_head(opened, until, facts, result)) {
        if (!gone_) {
            context_.backends.failed(service_->name, backend.name, http::steady_now());
        }
        result.broke_off = !result.timed_out;
        if (result.broke_off && !gone_) {
            note_break(backend);
        }
        opened->abort();
        co_return result;
    }
    if (facts.not_run || facts.wrong_incarnation) {
        result.end = attempt_end::not_run;
        result.reason = facts.wrong_incarnation ? "other_incarnation" : "not_executed";
        if (facts.wrong_incarnation) {
            context_.backends.gone(service_->name, backend.name);
            opened->close();
        } else {
            co_await read_over(opened, backend.address, facts);
        }
        co_return result;
    }
    co_return co_await take_answer(std::move(opened), backend, facts, until);
}

asio::awaitable<request_relay::send_result> request_relay::take_answer(
    http::connection_pointer opened, chosen_backend backend, answer_facts facts, instant until) {
    send_result result;
    result.end = attempt_end::may_have_run;
    const unsigned status = opened->head().status;
    const bool success = status / 100 == 2;
    if (answer_started_ && !success) {
        // The caller has the head of the first answer: this one can't follow it.
        result.reason = "continuation_refused";
        opened->abort();
        co_return result;
    }
    if (success && !facts.is_signed) {
        result.reason = "unsigned_answer";
        context_.backends.failed(service_->name, backend.name, http::steady_now());
        opened->abort();
        co_return result;
    }
    const instant now = http::steady_now();
    context_.backends.answering(call_, now);
    if (!answer_started_) {
        first_byte_ = now - request_.received;
        context_.metrics.first_byte(first_byte_);
    }
    note_held();
    status_ = status;
    result = co_await relay_answer(opened, facts, until);
    if (result.end == attempt_end::answered) {
        if (status / 100 == 5) {
            context_.backends.failed(service_->name, backend.name, http::steady_now());
        } else {
            context_.backends.succeeded(service_->name, backend.name);
            note_held();
            if (service_->is_engine) {
                pace_.ended(context_.backends.pace_of(service_->name), call_.since,
                            http::steady_now());
            }
        }
        if (opened->head().keep_alive && opened->message_complete()) {
            context_.connections.put(backend.address, opened, facts.idle_limit, http::steady_now());
        } else {
            opened->close();
        }
    } else {
        if (!gone_ && !result.timed_out) {
            context_.backends.failed(service_->name, backend.name, http::steady_now());
        }
        opened->abort();
    }
    co_return result;
}

asio::awaitable<void> request_relay::read_over(http::connection_pointer backend,
                                               std::string address, const answer_facts& facts) {
    const instant until = http::steady_now() + read_over_limit;
    while (!backend->message_complete()) {
        const auto piece = co_await backend->read_body_piece(until);
        if (!piece) {
            backend->abort();
            co_return;
        }
    }
    if (backend->head().keep_alive) {
        context_.connections.put(address, backend, facts.idle_limit, http::steady_now());
    } else {
        backend->close();
    }
}

void request_relay::note_break(const chosen_backend& backend) {
    const std::string address = context_.backends.broke_off(backend.name, http::steady_now());
    if (!address.empty()) {
        context_.connections.drop(address);
        context_.directory.report_break(backend.name);
    }
}

asio::awaitable<bool> request_relay::read_matching_head(http::connection_pointer backend,
                                                        instant until, answer_facts& facts,
                                                        send_result& result) {
    for (int surplus = 0; surplus <= max_surplus_answers; ++surplus) {
        const auto head = co_await backend->read_head(until);
        if (!head) {
            result.reason = "answer_" + std::string(http::name_of(head.error()));
            result.timed_out = head.error() == http::io_failure::timed_out;
            co_return false;
        }
        facts = context_.codec.read_answer(backend->head());
        if (facts.request == facts_.request && backend->head().status >= 200) {
            co_return true;
        }
        // An answer to another request stands in the place of the one due: pass it over.
        while (!backend->message_complete()) {
            const auto piece = co_await backend->read_body_piece(until);
            if (!piece) {
                result.reason = "surplus_answer";
                co_return false;
            }
        }
        backend->next_message();
    }
    result.reason = "surplus_answers";
    co_return false;
}

asio::awaitable<request_relay::send_result> request_relay::relay_answer(
    http::connection_pointer backend, const answer_facts& /*facts*/, instant until) {
    const http::message_head& head = backend->head();
    const bool small =
        head.framing == http::body_framing::none ||
        (head.framing == http::body_framing::length && head.content_length <= largest_whole_answer);
    if (small && !route_->streaming) {
        co_return co_await relay_whole(std::move(backend), until);
    }
    co_return co_await relay_stream(std::move(backend));
}

asio::awaitable<request_relay::send_result> request_relay::relay_whole(
    http::connection_pointer backend, instant until) {
    send_result result;
    result.end = attempt_end::may_have_run;
    std::string body;
    while (true) {
        auto piece = co_await backend->read_body_piece(until);
        if (!piece) {
            result.reason = "body_" + std::string(http::name_of(piece.error()));
            result.timed_out = piece.error() == http::io_failure::timed_out;
            co_return result;
        }
        body += *piece;
        if (backend->message_complete()) {
            break;
        }
    }
    result.end = attempt_end::answered;
    outcome_ = "answered";
    if (gone_) {
        co_return result;
    }
    const http::message_head& head = backend->head();
    const bool bodiless = head.framing == http::body_framing::none;
    std::string bytes =
        render_relayed_head(head, {false, body.size(), bodiless}, keeps_connection()) + body;
    answer_started_ = true;
    answer_whole_ = co_await write_to_caller(std::move(bytes));
    co_return result;
}

asio::awaitable<request_relay::send_result> request_relay::relay_stream(
    http::connection_pointer backend) {
    send_result result;
    result.end = attempt_end::may_have_run;
    const http::message_head head = backend->head();
    const bool counted = head.framing == http::body_framing::length;
    const bool success = head.status / 100 == 2;
    if (!answer_started_) {
        chunked_answer_ = !counted;
    }
    const bool by_events = success && chunked_answer_ && route_->resumable;
    passed_.begin_anew();
    std::string outgoing;
    if (!answer_started_) {
        outgoing =
            render_relayed_head(head, {!counted, head.content_length, false}, keeps_connection());
    }
    bool complete = false;
    while (!complete) {
        auto piece = co_await backend->read_body_piece(deadline_);
        if (!piece) {
            result.reason = "body_" + std::string(http::name_of(piece.error()));
            result.timed_out = piece.error() == http::io_failure::timed_out;
            result.broke_off = by_events && !result.timed_out;
            co_return result;
        }
        complete = backend->message_complete();
        if (by_events) {
            *piece = passed_.feed(*piece);
            if (!passed_.in_order()) {
                result.reason = "event_missing";
                co_return result;
            }
            if (complete) {
                *piece += passed_.partial();
            }
        }
        if (success) {
            events_.feed(*piece);
            if (service_->is_engine) {
                pace_.events_came(context_.backends.pace_of(service_->name), backend_name_,
                                  events_.events(), http::steady_now());
            }
        }
        if (!piece->empty()) {
            outgoing += chunked_answer_ ? render_chunk(*piece) : *piece;
        }
        if (complete && success && turn_ && turn_->open()) {
            turns::held_prompt held = held_now();
            const bool settled = co_await turn_->settle(generated_tokens(), request_.body,
                                                        events_.data(), std::move(held));
            if (!settled) {
                result.reason = "unsettled";
                co_return result;
            }
        }
        if (complete && chunked_answer_) {
            outgoing += last_chunk;
        }
        if (outgoing.empty()) {
            continue;
        }
        answer_started_ = true;
        const bool written = co_await write_to_caller(std::move(outgoing));
        outgoing.clear();
        if (!written) {
            result.reason = "caller_left";
            co_return result;
        }
    }
    answer_whole_ = true;
    outcome_ = "answered";
    result.end = attempt_end::answered;
    co_return result;
}

}  // namespace tallyfold::forwarding
