#pragma once
/// @file
/// Carries out operators' calls on the directory's log. Belongs to the loop thread; only the
/// reading of large texts is done by a thread of its own.

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

    asio::awaitable<http::endpoint_response> serve(http::endpoint_request request);
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
    /// What a call says. A large text is read by another thread.
    asio::awaitable<operator_call> read(const http::endpoint_request& request);
    asio::awaitable<answer_kind> submit(directory_command command);
    asio::awaitable<answer_kind> confirm();
    asio::awaitable<answer_kind> wait(request_token token);
    http::endpoint_response failed(const http::endpoint_request& request, answer_kind kind) const;
    http::endpoint_response refuse(const http::endpoint_request& request,
                                   const invalid_call& call) const;
    void log_change(routing::configuration_version version, answer_kind kind) const;

    net::node_process& process_;
    const admin_codec& codec_;
    const std::unique_ptr<directory_core>& core_;
    std::function<void()> pump_;
    /// Reads large texts, one after the other.
    asio::thread_pool reader_{1};
    open_changes changes_;
    std::multimap<request_token, std::shared_ptr<waiting_call>> waiting_;
    request_token next_token_ = 1;
    prometheus::Counter& calls_;
};

}  // namespace tallyfold::directory
