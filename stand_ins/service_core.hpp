#pragma once
/// @file
/// Logic of an emulated app or tool service replica. Keeps a durable record of the attempts that
/// ran, so that it can state after a restart whether an attempt ran. Performs no I/O.

#include <map>
#include <set>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "stand_ins/backend_ledger.hpp"
#include "tallyfold/base/common/random.hpp"
#include "tallyfold/program_api/scheduler/backend_messages.hpp"

namespace tallyfold::stand_ins {

struct service_settings {
    backend_name name;
    std::string zone;
    duration shortest_answer = std::chrono::milliseconds(2);
    duration longest_answer = std::chrono::milliseconds(10);
    /// Fraction of requests that are never answered.
    double hang_share = 0;
    std::uint64_t seed = 0;
};

/// Durable state of the replica.
struct service_record {
    std::map<std::string, std::string> answers;
    std::set<std::string> sealed;
    std::map<shard_id, lease_epoch> epochs;
};

enum class service_refusal : std::uint8_t { stale_epoch, sealed, leaving, too_late };

class service_core {
  public:
    service_core(service_settings settings, service_record record)
        : settings_(std::move(settings)), record_(std::move(record)), random_(settings_.seed) {}

    tl::expected<void, service_refusal> run(const scheduler::run_request& request, instant now);
    scheduler::seal_answered seal(const scheduler::attempt_key& key);
    /// Completes the due answers. @return the time of the next one
    instant tick(instant now);
    std::vector<scheduler::backend_report> take_reports();
    void leave() { leaving_ = true; }

    [[nodiscard]] scheduler::status_answered status(instant now) const;
    [[nodiscard]] const service_record& record() const { return record_; }
    [[nodiscard]] const std::vector<ledger_entry>& entries() const { return entries_; }
    [[nodiscard]] bool idle() const { return due_.empty(); }

  private:
    service_settings settings_;
    service_record record_;
    random_source random_;
    bool leaving_ = false;
    std::multimap<instant, std::size_t> due_;
    std::vector<ledger_entry> entries_;
    std::vector<scheduler::backend_report> reports_;
};

}  // namespace tallyfold::stand_ins
