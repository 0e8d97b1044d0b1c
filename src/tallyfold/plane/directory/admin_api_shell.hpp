#pragma once
/// @file
/// The administration API: carries out operators' calls on the directory's log, and holds each call
/// until the log has answered. Owns the calls that wait and the thread that parses large texts;
/// relies on the codec for the calls' form and on the core for the log. Belongs to the loop thread.

#include <asio/awaitable.hpp>
#include <asio/thread_pool.hpp>
#include <functional>
#include <map>
#include <memory>

#include "tallyfold/plane/directory/admin_codec.hpp"
#include "tallyfold/plane/directory/directory_core.hpp"
#include "tallyfold/plane/directory/open_changes.hpp"
#include "tallyfold/plane/process/node_process_shell.hpp"

namespace tallyfold::directory {

class admin_api {
  public:
    /// @param core null while the data folder can't be used
    /// @param pump does the work that the core has gathered, and hands its answers to answered()
    admin_api(net::node_process& process, const admin_codec& codec,
              const std::unique_ptr<directory_core>& core, std::function<void()> pump);

    /// Carries out one call. Errors are answers: 503 without a majority, a redirect to the leader,
    /// and what the codec says of calls that can't be parsed.
    asio::awaitable<http::endpoint_response> serve(http::endpoint_request request);
    /// The log has answered what was asked with the answer's token.
    void answered(const directory_answer& answer);
    /// What was asked of the core before is not answered any more.
    void storage_lost();

  private:
    struct waiting_call;

    asio::awaitable<http::endpoint_response> replace(const http::endpoint_request& request);
    asio::awaitable<http::endpoint_response> describe(const http::endpoint_request& request);
    asio::awaitable<http::endpoint_response> retire(const http::endpoint_request& request,
                                                    const std::string& node);
    asio::awaitable<http::endpoint_response> retire_state(const http::endpoint_request& request,
                                                          const std::string& node);
    /// What a call says. A large text is parsed by the parsing thread.
    asio::awaitable<operator_call> parse(const http::endpoint_request& request);
    asio::awaitable<answer_kind> submit(directory_command command);
    asio::awaitable<answer_kind> confirm();
    /// Waits for the log's answer to what was asked with `token`; `unknown` after the limit.
    asio::awaitable<answer_kind> wait(request_token token);
    /// Puts a parsed configuration into the log, and waits for its answer.
    asio::awaitable<answer_kind> change(replace_call call, const std::string& text);
    [[nodiscard]] bool is_retired(const std::string& node) const;
    http::endpoint_response failed(const http::endpoint_request& request, answer_kind kind) const;
    http::endpoint_response refuse(const http::endpoint_request& request,
                                   const invalid_call& call) const;
    void log_change(routing::configuration_version version, answer_kind kind) const;

    net::node_process& process_;
    const admin_codec& codec_;
    const std::unique_ptr<directory_core>& core_;
    std::function<void()> pump_;
    /// Parses large texts, one after the other.
    asio::thread_pool parser_{1};
    open_changes changes_;
    std::multimap<request_token, std::shared_ptr<waiting_call>> waiting_;
    request_token next_token_ = 1;
    prometheus::Counter& calls_;
};

}  // namespace tallyfold::directory
