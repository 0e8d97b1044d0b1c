#include "tallyfold/plane/forwarding/caller_channel_shell.hpp"

#include <asio/use_awaitable.hpp>

#include "tallyfold/plane/forwarding/answer_rendering.hpp"

namespace tallyfold::forwarding {

namespace {

/// Time limit of a write to a caller. Tolerates short pauses of a slow reader without letting a
/// dead connection occupy a back end for long.
constexpr duration write_timeout = std::chrono::seconds(8);

}  // namespace

caller_channel::caller_channel(forwarder_context& context, http::connection_pointer connection,
                               bool keep_alive)
    : context_(context), connection_(std::move(connection)), keep_alive_(keep_alive) {}

asio::awaitable<bool> caller_channel::write(std::string bytes) {
    answer_started_ = true;
    const instant limit = http::steady_now() + write_timeout;
    const auto written = co_await connection_->write(std::move(bytes), limit);
    if (!written) {
        disconnected_ = true;
        connection_->abort();
    }
    co_return written.has_value();
}

asio::awaitable<void> caller_channel::write_answer(const local_answer& answer) {
    if (disconnected_) {
        co_return;
    }
    const retry_after retry = answer.retry.with_jitter(context_.backends.draw_jitter());
    std::string bytes =
        render_local_answer(answer.status, answer.reason, retry, announce_connection());
    local_answer_started_ = true;
    co_await write(std::move(bytes));
}

asio::awaitable<void> caller_channel::write_last_answer(const local_answer& answer) {
    const retry_after retry = answer.retry.with_jitter(context_.backends.draw_jitter());
    std::string bytes = render_local_answer(answer.status, answer.reason, retry, false);
    local_answer_started_ = true;
    const bool written = co_await write(std::move(bytes));
    if (written) {
        connection_->close();
    }
}

void caller_channel::watch(std::function<void()> on_disconnect) {
    connection_->notify_on_close(std::move(on_disconnect));
}

}  // namespace tallyfold::forwarding
