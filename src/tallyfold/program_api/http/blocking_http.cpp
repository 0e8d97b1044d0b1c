#include "tallyfold/program_api/http/blocking_http.hpp"

#include <curl/curl.h>

#include <memory>

#include "tallyfold/program_api/http/answer_head_check.hpp"

namespace tallyfold::net {

namespace {

constexpr long connect_timeout_ms = 1500;
/// Maximum size of an answer in bytes; operators export configurations and records of programs.
constexpr std::size_t max_answer_bytes = 64U << 20U;

std::size_t append_bytes(char* bytes, std::size_t size, std::size_t count, void* target) {
    auto* body = static_cast<std::string*>(target);
    if (body->size() + size * count > max_answer_bytes) {
        // Ends the transfer.
        return 0;
    }
    body->append(bytes, size * count);
    return size * count;
}

}  // namespace

blocking_reply fetch(const blocking_request& request) {
    const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> easy(curl_easy_init(),
                                                                   curl_easy_cleanup);
    curl_slist* list = nullptr;
    for (const auto& [name, value] : request.headers) {
        list = curl_slist_append(list, (name + ": " + value).c_str());
    }
    list = curl_slist_append(list, "Content-Type: application/json");
    list = curl_slist_append(list, "Expect:");
    const std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> headers(list,
                                                                              curl_slist_free_all);
    blocking_reply reply;
    curl_easy_setopt(easy.get(), CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(easy.get(), CURLOPT_NOPROXY, "*");
    curl_easy_setopt(easy.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy.get(), CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(easy.get(), CURLOPT_CONNECTTIMEOUT_MS, connect_timeout_ms);
    curl_easy_setopt(easy.get(), CURLOPT_TIMEOUT_MS, static_cast<long>(request.timeout.count()));
    curl_easy_setopt(easy.get(), CURLOPT_WRITEFUNCTION, append_bytes);
    curl_easy_setopt(easy.get(), CURLOPT_WRITEDATA, &reply.body);
    if (request.method == "POST") {
        curl_easy_setopt(easy.get(), CURLOPT_POST, 1L);
        curl_easy_setopt(easy.get(), CURLOPT_POSTFIELDS, request.body.data());
        curl_easy_setopt(easy.get(), CURLOPT_POSTFIELDSIZE, static_cast<long>(request.body.size()));
    }
    answer_head_check head;
    head.attach(easy.get());
    const CURLcode result = curl_easy_perform(easy.get());
    if (result != CURLE_OK) {
        reply.failure = curl_easy_strerror(result);
        if (head.defect() != syntax_defect::none) {
            reply.failure = "malformed answer: " + std::string(name_of(head.defect()));
        }
        return reply;
    }
    long status = 0;
    curl_easy_getinfo(easy.get(), CURLINFO_RESPONSE_CODE, &status);
    reply.status = static_cast<int>(status);
    return reply;
}

}  // namespace tallyfold::net
