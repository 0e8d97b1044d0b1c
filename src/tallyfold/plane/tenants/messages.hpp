#pragma once
/// @file
/// Messages between the nodes that spend tenants' permits and the one that grants them.

#include <cstdint>
#include <string>
#include <vector>

#include "tallyfold/base/common/types.hpp"

namespace tallyfold::tenants {

using tenant_name = std::string;

/// What a node says of one tenant. All numbers are states, not changes, so that a report which is
/// lost or comes twice does no harm.
struct permit_use {
    tenant_name tenant;
    /// Permits that the node has spent in its life, less those that it took back.
    std::uint64_t spent = 0;
    /// Value of `spent` up to which it may go.
    std::uint64_t ceiling = 0;
    /// Permits spent within the quota's window, as the node counts it.
    std::uint32_t recent = 0;
    /// Calls of programs under way that wait for a permit now.
    std::uint32_t needed = 0;
    /// Calls that begin a program and wait for one.
    std::uint32_t beginning = 0;
    /// Permits that it would like to have at hand beyond those.
    std::uint32_t wanted = 0;

    bool operator==(const permit_use&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(tenant, spent, ceiling, recent, needed, beginning, wanted);
    }
};

/// A node to the lender.
struct permit_report {
    node_name node;
    /// Differs from life to life of the node's process.
    std::uint64_t life = 0;
    /// Grows by one with each report of a life.
    std::uint64_t question = 0;
    /// True: `uses` holds every tenant that the node has permits of, or has spent some of lately.
    /// False: it holds those that have changed since the last report that was answered.
    bool whole = false;
    std::vector<permit_use> uses;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(node, life, question, whole, uses);
    }
};

/// What the lender lets a node spend of one tenant's.
struct permit_grant {
    tenant_name tenant;
    /// As in permit_use.
    std::uint64_t ceiling = 0;
    /// When there may be room again for calls that got none, of programs under way and of new ones;
    /// in milliseconds, 0 where all got one.
    std::uint32_t retry_after_ms = 0;
    std::uint32_t retry_new_program_after_ms = 0;

    bool operator==(const permit_grant&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(tenant, ceiling, retry_after_ms, retry_new_program_after_ms);
    }
};

enum class permit_outcome : std::uint8_t {
    granted,
    /// The answering node doesn't keep permits now.
    not_lender,
    /// It keeps them, and needs a whole report first.
    wants_whole,
};

/// The lender's answer. With permit_outcome::granted, all ceilings of the node hold on: those that
/// aren't named stay as they were reported.
struct permit_answer {
    std::uint64_t question = 0;
    permit_outcome outcome = permit_outcome::granted;
    /// Who leads in which term, as far as the answering node knows.
    node_name leader;
    std::uint64_t term = 0;
    std::vector<permit_grant> grants;
    /// True: the lender may not have heard every node yet, so a refusal says little.
    bool settling = false;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(question, outcome, leader, term, grants, settling);
    }
};

}  // namespace tallyfold::tenants
