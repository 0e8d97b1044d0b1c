#include "tallyfold/plane/messaging/frame_channel_shell.hpp"

#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <bit>
#include <cstring>

#include "tallyfold/base/logging/event_log.hpp"
#include "tallyfold/base/net/socket_address.hpp"

namespace tallyfold::messaging {

frame_channel::frame_channel(asio::ip::tcp::socket socket)
    : socket_(std::move(socket)), reserve_timer_(socket_.get_executor()) {}

void frame_channel::start(message_handler on_message, close_handler on_close) {
    on_message_ = std::move(on_message);
    on_close_ = std::move(on_close);
    read_more();
}

void frame_channel::read_more() {
    socket_.async_read_some(
        asio::buffer(buffer_),
        [self = shared_from_this()](const std::error_code& error, std::size_t count) {
            if (error) {
                self->fail(error.message());
                return;
            }
            self->input_.append(self->buffer_.data(), count);
            if (self->session_) {
                self->session_->record_bytes(count);
            }
            if (self->process_frames() && self->open()) {
                self->read_when_reserved();
            }
        });
}

std::size_t frame_channel::partial_frame_bytes() const {
    std::uint32_t length = 0;
    if (input_.size() < sizeof(length)) {
        return 0;
    }
    std::memcpy(&length, input_.data(), sizeof(length));
    return frame_header_size + length;
}

bool frame_channel::reserve_partial_frame() {
    const std::size_t frame_bytes = partial_frame_bytes();
    const bool large = frame_bytes > max_unreserved_bytes;
    const std::uint64_t connection_bytes =
        resources::client_registry::connection_bytes + sizeof(frame_channel);
    if (!session_->reserve(connection_bytes + (large ? frame_copies * frame_bytes : 0))) {
        return false;
    }
    if (large) {
        input_.reserve(frame_bytes);
    }
    return true;
}

void frame_channel::read_when_reserved() {
    if (!session_ || reserve_partial_frame()) {
        read_more();
        return;
    }
    reserve_timer_.expires_after(reserve_interval);
    reserve_timer_.async_wait([self = shared_from_this()](const std::error_code& cancelled) {
        if (!cancelled && self->open()) {
            self->read_when_reserved();
        }
    });
}

bool frame_channel::process_frames() {
    std::size_t offset = 0;
    while (input_.size() - offset >= frame_header_size) {
        std::uint32_t length = 0;
        std::memcpy(&length, input_.data() + offset, sizeof(length));
        if (length > max_frame_payload_bytes) {
            close_on_protocol_error("frame of " + std::to_string(length) +
                                    " bytes exceeds the size limit");
            return false;
        }
        if (input_.size() - offset < frame_header_size + length) {
            break;
        }
        process_frame(std::string_view(input_).substr(offset + frame_header_size, length));
        offset += frame_header_size + length;
        if (!open()) {
            return false;
        }
    }
    input_.erase(0, offset);
    if (input_.empty() && input_.capacity() > max_unreserved_bytes) {
        std::string().swap(input_);
    }
    update_stage(offset > 0);
    return true;
}

void frame_channel::update_stage(bool message_ended) {
    if (!session_) {
        return;
    }
    has_sent_message_ = has_sent_message_ || message_ended;
    // What has sent a whole message is a node, which gives way only for a large one that it
    // doesn't end.
    const bool settled = has_sent_message_ && partial_frame_bytes() <= max_unreserved_bytes;
    const auto stage =
        settled ? resources::client_stage::serving : resources::client_stage::reading;
    if (stage != stage_) {
        stage_ = stage;
        session_->set_stage(stage);
    }
}

void frame_channel::process_frame(std::string_view payload) {
    const auto message = decode_payload(payload, negotiation_.receive_format());
    if (!message) {
        // The connection stays open: the length of the frame is known, so the next one can be read.
        log_skipped(payload, message.error());
    } else if (const auto offer = parse_offer(*message)) {
        on_format_offer(*offer);
    } else if (on_message_) {
        on_message_(*message);
    }
}

void frame_channel::send_format_offer() {
    queue(encode_frame(to_message(negotiation_.initial_offer())));
}

void frame_channel::on_format_offer(const format_offer& offer) {
    if (const auto answer = negotiation_.receive(offer)) {
        queue(encode_frame(to_message(*answer)));
    }
}

std::string frame_channel::peer_address() const {
    std::error_code unknown;
    const auto peer = socket_.remote_endpoint(unknown);
    return unknown ? "-" : net::join_address(peer.address().to_string(), peer.port());
}

void frame_channel::log_skipped(std::string_view payload, const protocol::decode_error& error) {
    if (!std::has_single_bit(++skipped_)) {
        return;
    }
    const auto kind = kind_of_payload(payload);
    logging::write_event(
        logging::event_id::frame_skipped,
        "peer=" + peer_address() + " kind=" + (kind ? std::to_string(*kind) : std::string("-")) +
            " bytes=" + std::to_string(payload.size()) +
            " format=" + protocol::to_string(negotiation_.receive_format()) +
            " skipped=" + std::to_string(skipped_) + " reason=\"" + error.reason + "\"");
}

void frame_channel::log_withheld(const peer_message& message, const protocol::encode_error& error) {
    if (!std::has_single_bit(++withheld_)) {
        return;
    }
    logging::write_event(logging::event_id::message_withheld,
                         "peer=" + peer_address() + " kind=" + std::to_string(message.index()) +
                             " format=" + protocol::to_string(negotiation_.send_format()) +
                             " withheld=" + std::to_string(withheld_) + " lacking=\"" +
                             error.unsupported_content + "\"");
}

void frame_channel::close_on_protocol_error(const std::string& reason) {
    // Logged here because the peer sees only that the connection is closed.
    logging::write_event(logging::event_id::frame_refused,
                         "peer=" + peer_address() + " reason=\"" + reason + "\"");
    fail(reason);
}

void frame_channel::send(const peer_message& message) {
    if (!open()) {
        return;
    }
    auto frame = encode_frame(message, negotiation_.send_format());
    if (!frame) {
        log_withheld(message, frame.error());
        return;
    }
    queue(std::move(*frame));
}

void frame_channel::queue(std::string frame) {
    queued_bytes_ += frame.size();
    if (queued_bytes_ > max_queued_bytes) {
        fail("send queue is full");
        return;
    }
    output_.push_back(std::move(frame));
    if (!writing_) {
        write_next();
    }
}

void frame_channel::write_next() {
    if (output_.empty() || !open()) {
        writing_ = false;
        return;
    }
    writing_ = true;
    asio::async_write(socket_, asio::buffer(output_.front()),
                      [self = shared_from_this()](const std::error_code& error, std::size_t) {
                          if (error) {
                              self->fail(error.message());
                              return;
                          }
                          self->queued_bytes_ -= self->output_.front().size();
                          self->output_.pop_front();
                          self->write_next();
                      });
}

void frame_channel::fail(const std::string& reason) {
    if (!open()) {
        return;
    }
    const close_handler notify = on_close_;
    close();
    if (notify) {
        notify(reason);
    }
}

void frame_channel::close() {
    // Errors are ignored: the socket is closed in any case.
    std::error_code ignored;
    socket_.close(ignored);
    // on_message_ is kept: close() may be called from within it.
    on_close_ = nullptr;
}

}  // namespace tallyfold::messaging
