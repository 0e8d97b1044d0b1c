#pragma once
/// @file
/// The administration API: executes operators' calls on the directory's log and answers each call
/// once its log entry is committed. Owns the waiting calls and the thread that parses large texts;
/// uses the codec for the wire format and the core for the log. Runs on the loop thread.

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
    /// @param core null while the data folder is unavailable
    /// @param pump carries out the core's pending work and passes its answers to on_answer()
    admin_api(net::node_process& process, const admin_codec& codec,
              const std::unique_ptr<directory_core>& core, std::function<void()> pump);

    /// Executes one call. Errors are returned as responses: 503 without a majority, a redirect to
    /// the leader, and the codec's status for invalid calls.
    asio::awaitable<http::endpoint_response> serve(http::endpoint_request request);
    /// Completes the calls that wait for the answer's token.
    void on_answer(const directory_answer& answer);
    /// Ends all waiting calls with an unknown outcome; the core that would have answered them is
    /// gone.
    void on_storage_lost();

  private:
    struct waiting_call;

    asio::awaitable<http::endpoint_response> replace(const http::endpoint_request& request);
    asio::awaitable<http::endpoint_response> get_configuration(
        const http::endpoint_request& request);
    asio::awaitable<http::endpoint_response> retire(const http::endpoint_request& request,
                                                    const std::string& node);
    asio::awaitable<http::endpoint_response> retire_state(const http::endpoint_request& request,
                                                          const std::string& node);
    asio::awaitable<http::endpoint_response> evacuate(const http::endpoint_request& request,
                                                      const evacuate_call& call);
    /// Parses a call; large texts are parsed on the parser thread.
    asio::awaitable<operator_call> parse(const http::endpoint_request& request);
    asio::awaitable<answer_kind> submit(directory_command command);
    asio::awaitable<answer_kind> confirm();
    /// Waits for the answer with this token; `unknown` after a timeout.
    asio::awaitable<answer_kind> wait(request_token token);
    /// Appends a parsed configuration to the log and waits until it is applied.
    asio::awaitable<answer_kind> change(replace_call call, const std::string& text);
    http::endpoint_response failure_response(const http::endpoint_request& request,
                                             answer_kind kind) const;
    http::endpoint_response refuse(const http::endpoint_request& request,
                                   const invalid_call& call) const;
    void log_change(routing::configuration_version version, answer_kind kind) const;
    static void log_retirement(const std::string& node, const std::string& outcome,
                               const retirement_assessment& assessment);

    net::node_process& process_;
    const admin_codec& codec_;
    const std::unique_ptr<directory_core>& core_;
    std::function<void()> pump_;
    /// Parses large texts, one at a time.
    asio::thread_pool parser_{1};
    open_changes changes_;
    std::multimap<request_token, std::shared_ptr<waiting_call>> waiting_;
    request_token next_token_ = 1;
    prometheus::Counter& calls_;
};

}  // namespace tallyfold::directory
