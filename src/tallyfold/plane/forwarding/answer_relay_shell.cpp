#include "tallyfold/plane/forwarding/answer_relay_shell.hpp"

#include <algorithm>
#include <asio/use_awaitable.hpp>

#include "tallyfold/plane/forwarding/answer_rendering.hpp"

namespace tallyfold::forwarding {

namespace {

/// Maximum size in bytes of an answer that is buffered before it is relayed, so that the request
/// can be retried if the answer breaks off. Holds the answers of lookups and bounds the memory of
/// one request.
constexpr std::uint64_t max_buffered_answer_bytes = 64U << 10U;

/// Bound of the event data that is kept for the history of a turn; the size of the largest request
/// body by default, since the next turn sends the history as a part of its body.
constexpr std::size_t max_kept_event_bytes = 4U << 20U;

bool is_success(const http::message_head& head) {
    return head.status / 100 == 2;
}

/// False when the body is known to exceed the buffer, or may arrive piece by piece on purpose.
bool may_fit_in_buffer(const http::message_head& head) {
    switch (head.framing) {
        case http::body_framing::none:
        case http::body_framing::until_close:
            return true;
        case http::body_framing::length:
            return head.content_length <= max_buffered_answer_bytes;
        case http::body_framing::chunked:
            break;
    }
    return false;
}

/// Result of an attempt whose connection failed inside the answer's body.
attempt_result body_failure(http::io_failure failure) {
    attempt_result result;
    result.end = attempt_end::may_have_run;
    result.has_body = true;
    result.failure = {failure_kind::body, http::name_of(failure)};
    result.timed_out = failure == http::io_failure::timed_out;
    return result;
}

attempt_result relay_failure(failure_kind kind) {
    attempt_result result;
    result.end = attempt_end::may_have_run;
    result.has_body = true;
    result.failure.kind = kind;
    return result;
}

attempt_result answered() {
    attempt_result result;
    result.end = attempt_end::answered;
    return result;
}

}  // namespace

answer_relay::answer_relay(forwarder_context& context, const forwarded_request& request,
                           caller_channel& caller, resources::client_session& client,
                           turn_session* turn, stream_session* stream)
    : context_(context),
      request_(request),
      caller_(caller),
      turn_(turn),
      stream_(stream),
      memory_(client),
      events_(turn != nullptr && request.route.keeps_history ? max_kept_event_bytes : 0) {}

void answer_relay::record_first_byte(unsigned status, instant now) {
    status_ = status;
    if (!started_) {
        first_byte_ = now - request_.received;
        context_.metrics.record_first_byte_time(first_byte_);
    }
}

answer_progress answer_relay::progress() const {
    if (!started_) {
        return answer_progress::none;
    }
    const bool resumable = request_.route.resumable && chunked_;
    return resumable ? answer_progress::started_resumable : answer_progress::started;
}

token_count answer_relay::generated_tokens() const {
    return events_.events() * std::max(1U, request_.service.tokens_per_event);
}

turns::cached_prompt answer_relay::cached_prompt_of(const backend_name& backend) const {
    turns::cached_prompt cached;
    if (request_.service.is_engine && !request_.facts.prompt.empty()) {
        cached.engine = backend;
        cached.points = request_.facts.prompt;
        // The engine caches the generated tokens after the last part of the prompt.
        cached.points.back().tokens += generated_tokens();
    }
    return cached;
}

void answer_relay::record_pace(instant sent, instant now) {
    if (request_.service.is_engine) {
        pace_.record_call_end(context_.backends.pace_of(request_.service.name), sent, now);
    }
}

asio::awaitable<attempt_result> answer_relay::relay(http::connection_pointer connection,
                                                    chosen_backend backend, instant until) {
    body_.emplace(connection->head(), request_.route.streaming);
    std::string received;
    if (may_fit_in_buffer(connection->head()) && !request_.route.streaming) {
        const auto whole = co_await read_into_buffer(connection, until, received);
        if (!whole) {
            co_return body_failure(whole.error());
        }
        if (*whole) {
            co_return co_await write_buffered(std::move(connection), std::move(received));
        }
    }
    co_return co_await relay_stream(std::move(connection), std::move(backend), std::move(received));
}

asio::awaitable<tl::expected<std::string, http::io_failure>> answer_relay::read_piece(
    http::connection_pointer connection, instant until) {
    auto piece = co_await connection->read_body_chunk(until);
    if (piece) {
        body_->feed(*piece);
    }
    if (piece && connection->message_complete()) {
        body_->finish();
        context_.metrics.count_answer_end(body_->completeness());
    }
    co_return piece;
}

asio::awaitable<tl::expected<bool, http::io_failure>> answer_relay::read_into_buffer(
    http::connection_pointer connection, instant until, std::string& body) {
    do {
        auto piece = co_await read_piece(connection, until);
        if (!piece) {
            co_return tl::unexpected(piece.error());
        }
        body += *piece;
    } while (!connection->message_complete() && body.size() <= max_buffered_answer_bytes);
    co_return connection->message_complete();
}

asio::awaitable<attempt_result> answer_relay::write_buffered(http::connection_pointer connection,
                                                             std::string body) {
    if (is_truncated()) {
        co_return relay_failure(failure_kind::body_truncated);
    }
    mark_received();
    if (caller_.disconnected()) {
        co_return answered();
    }
    const http::message_head& head = connection->head();
    const bool bodiless = head.framing == http::body_framing::none;
    const relayed_framing framing{false, body.size(), bodiless};
    std::string bytes = render_relayed_head(head, framing, caller_.announce_connection()) + body;
    started_ = true;
    fully_relayed_ = co_await caller_.write(std::move(bytes));
    co_return answered();
}

void answer_relay::mark_received() {
    received_ = true;
    if (received_handler_) {
        received_handler_();
    }
}

asio::awaitable<attempt_result> answer_relay::relay_stream(http::connection_pointer connection,
                                                           chosen_backend backend,
                                                           std::string received) {
    const http::message_head head = connection->head();
    std::string outgoing = begin_stream(head);
    const bool resumable_stream = is_success(head) && chunked_ && request_.route.resumable;
    bool complete = false;
    received_ = false;
    while (!complete) {
        std::string piece;
        piece.swap(received);
        if (piece.empty()) {
            auto read = co_await read_piece(connection, request_.budget.deadline());
            if (!read) {
                attempt_result result = body_failure(read.error());
                result.connection_closed = resumable_stream && !result.timed_out;
                co_return result;
            }
            piece.swap(*read);
        }
        const bool ended = connection->message_complete();
        const bool truncated = ended && is_truncated();
        complete = ended && !truncated;
        if (truncated && !chunked_) {
            // The caller must not receive as many bytes as its head announced.
            piece.clear();
        }
        const std::optional<failure_kind> failure =
            co_await process_piece(piece, head, complete, backend.name);
        if (failure) {
            co_return relay_failure(*failure);
        }
        outgoing += render_piece(piece, complete);
        // The head waits for a part of the body, so that an answer without any can be retried.
        const bool has_content = complete || !piece.empty();
        // The caller may not read for long; the piece isn't needed any more.
        std::string().swap(piece);
        if (has_content) {
            const bool written = co_await write_to_caller(std::move(outgoing), backend);
            outgoing.clear();
            if (!written) {
                co_return relay_failure(failure_kind::client_disconnected);
            }
        }
        if (truncated) {
            attempt_result result = relay_failure(failure_kind::body_truncated);
            result.connection_closed = resumable_stream;
            co_return result;
        }
    }
    fully_relayed_ = true;
    co_return answered();
}

asio::awaitable<std::optional<failure_kind>> answer_relay::process_piece(
    std::string& piece, const http::message_head& head, bool complete,
    const backend_name& backend) {
    const bool success = is_success(head);
    if (success && !reserve_piece(piece.size())) {
        co_return failure_kind::no_memory;
    }
    if (success && chunked_ && request_.route.resumable &&
        !retain_complete_events(piece, complete)) {
        co_return failure_kind::event_missing;
    }
    if (success && !record_events(piece, backend)) {
        co_return failure_kind::turn_end_unconfirmed;
    }
    if (complete) {
        mark_received();
    }
    if (complete && success) {
        const bool settled = co_await settle_turn(backend);
        if (!settled) {
            co_return failure_kind::turn_end_unconfirmed;
        }
    }
    co_return std::nullopt;
}

bool answer_relay::reserve_piece(std::size_t piece_bytes) {
    const std::uint64_t held = relayed_events_.held_bytes() + events_.held_bytes() + piece_bytes;
    const bool reserved = memory_.reserve(held);
    if (!reserved) {
        context_.process.clients().count_refusal(resources::client_group::callers, "answer", held);
    }
    return reserved;
}

bool answer_relay::is_truncated() const {
    return body_->completeness() == http::body_completeness::truncated;
}

asio::awaitable<bool> answer_relay::write_to_caller(std::string bytes,
                                                    const chosen_backend& backend) {
    if (!started_) {
        started_ = true;
        started_version_ = backend.version;
    }
    if (stream_ != nullptr && events_.events() > 0) {
        stream_->first_event({request_.service.name, backend.version});
    }
    const bool written = co_await caller_.write(std::move(bytes));
    co_return written;
}

std::string answer_relay::begin_stream(const http::message_head& head) {
    relayed_events_.begin_response();
    if (started_) {
        return {};
    }
    chunked_ = head.framing != http::body_framing::length;
    const relayed_framing framing{chunked_, head.content_length, false};
    return render_relayed_head(head, framing, caller_.announce_connection());
}

std::string answer_relay::render_piece(const std::string& piece, bool complete) const {
    if (!chunked_) {
        return piece;
    }
    std::string bytes = piece.empty() ? std::string{} : render_chunk(piece);
    if (complete) {
        bytes += last_chunk;
    }
    return bytes;
}

bool answer_relay::retain_complete_events(std::string& piece, bool complete) {
    piece = relayed_events_.feed(piece);
    if (!relayed_events_.in_order()) {
        return false;
    }
    if (complete) {
        piece += relayed_events_.partial();
    }
    return true;
}

bool answer_relay::record_events(const std::string& piece, const backend_name& backend) {
    events_.feed(piece);
    if (request_.service.is_engine) {
        pace_.record_events(context_.backends.pace_of(request_.service.name), backend,
                            events_.events(), http::steady_now());
    }
    return !events_.overflowed();
}

asio::awaitable<bool> answer_relay::settle_turn(const backend_name& backend) {
    if (turn_ == nullptr || !turn_->open()) {
        co_return true;
    }
    turns::cached_prompt cached = cached_prompt_of(backend);
    std::string input;
    if (request_.route.keeps_history) {
        input = request_.caller_body();
    }
    co_return co_await turn_->settle(generated_tokens(), std::move(input), events_.data(),
                                     std::move(cached));
}

}  // namespace tallyfold::forwarding
