#pragma once
/// @file
/// Messages between the nodes that spend tenants' permits and the lender that grants them.

#include <cstdint>
#include <string>
#include <vector>

#include "tallyfold/base/common/types.hpp"

namespace tallyfold::tenants {

using tenant_name = std::string;

/// A node's use of one tenant's permits. All values are absolute, so lost or repeated reports do no
/// harm.
struct permit_use {
    tenant_name tenant;
    /// Permits spent by this process, less those returned.
    std::uint64_t spent = 0;
    /// Value that `spent` may reach.
    std::uint64_t spent_limit = 0;
    /// Permits spent within the quota's window, as counted by the node.
    std::uint32_t spent_in_window = 0;
    /// Calls of running programs that wait for a permit.
    std::uint32_t waiting_running = 0;
    /// Calls that start a program and wait for a permit.
    std::uint32_t waiting_new = 0;
    /// Permits requested in advance for future calls, beyond those for waiting calls.
    std::uint32_t spare_wanted = 0;

    bool operator==(const permit_use&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(tenant, spent, spent_limit, spent_in_window, waiting_running, waiting_new,
                spare_wanted);
    }
};

/// Report of a node to the lender.
struct permit_report {
    node_name node;
    /// Identifies the node's process; differs after each restart.
    std::uint64_t process_id = 0;
    /// Sequence number of the report within the process; increases by one.
    std::uint64_t sequence = 0;
    /// True: `uses` lists every tenant of which the node holds permits or has spent any recently.
    /// False: it lists those that changed since the last answered report.
    bool is_full = false;
    std::vector<permit_use> uses;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(node, process_id, sequence, is_full, uses);
    }
};

/// The lender's grant to a node for one tenant.
struct permit_grant {
    tenant_name tenant;
    /// As in permit_use.
    std::uint64_t spent_limit = 0;
    /// Delay in milliseconds after which permits may be free for calls that got none, of running
    /// programs and of new ones; 0 when all calls were granted.
    std::uint32_t retry_after_ms = 0;
    std::uint32_t retry_new_program_after_ms = 0;

    bool operator==(const permit_grant&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(tenant, spent_limit, retry_after_ms, retry_new_program_after_ms);
    }
};

enum class permit_outcome : std::uint8_t {
    granted,
    /// The answering node is not the lender.
    not_lender,
    /// The lender needs a full report first.
    full_report_required,
};

/// Answer to a report. With permit_outcome::granted, the spent limits that the node reported stay
/// valid for tenants that `grants` omits.
struct permit_answer {
    std::uint64_t sequence = 0;
    permit_outcome outcome = permit_outcome::granted;
    /// Leader and its term, as known to the answering node.
    node_name leader;
    std::uint64_t term = 0;
    std::vector<permit_grant> grants;
    /// True: the lender started recently and may lack reports of some nodes, so a refusal is not
    /// conclusive.
    bool settling = false;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(sequence, outcome, leader, term, grants, settling);
    }
};

}  // namespace tallyfold::tenants
