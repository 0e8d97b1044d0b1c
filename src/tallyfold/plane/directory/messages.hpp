#pragma once
/// @file
/// Messages between the directory nodes, and between them and all other nodes.

#include <cstdint>
#include <string>
#include <vector>

#include "tallyfold/consensus/messages.hpp"
#include "tallyfold/plane/discovery/backend_failures.hpp"
#include "tallyfold/plane/discovery/types.hpp"
#include "tallyfold/plane/routing/configuration.hpp"
#include "tallyfold/plane/turns/types.hpp"

namespace tallyfold::directory {

/// A store's report about itself.
struct store_report {
    turns::store_member member;
    /// Epoch of the newest map for which the store holds a complete copy.
    turns::map_epoch copied_epoch = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(member, copied_epoch);
    }
};

/// Report of any node to a directory node: the versions that it holds, so that the answer contains
/// what is newer.
struct node_report {
    node_name node;
    /// The version that the node holds; none when it does not use the configuration.
    routing::configuration_version configuration = routing::no_version;
    /// Epoch of the table of store groups.
    turns::map_epoch stores = 0;
    /// One entry when the node is a store; otherwise empty.
    std::vector<store_report> store;
    /// True when the node uses the list of back ends.
    bool wants_list = true;
    /// Fingerprint of the list of back ends that the node holds.
    discovery::list_fingerprint list = 0;
    /// Time since some node observed that list, in milliseconds.
    std::uint32_t list_age_ms = 0;
    /// True when the node requests a newer configuration in full in the answer. Format v1 only; in
    /// later formats a node requests parts.
    bool wants_configuration = false;
    /// Above 0 when the node asks whether it holds the newest configuration; returned in an answer
    /// once the directory node has a proof. Increases with each question of a node.
    std::uint64_t question = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(node, configuration, stores, store);
        if (archive.format() < protocol::format_version::v2) {
            // Without the question: nodes that support only format v1 cannot give proofs.
            archive(wants_configuration, wants_list, list, list_age_ms);
            return;
        }
        archive(wants_list, list, list_age_ms, question);
    }
};

/// A directory node's answer to a report. The configuration and the store groups in it are
/// committed.
struct node_report_answer {
    /// The version that this node holds; a node that holds an older one requests the newer one.
    routing::configuration_version configuration = routing::no_version;
    /// The full configuration when the reporting node requested it; at most one entry, in format v1
    /// only.
    std::vector<routing::configuration_pointer> newer_configuration;
    std::vector<turns::store_table> newer_stores;
    /// Addresses ("ip:port") of the directory nodes.
    std::vector<std::string> directory_addresses;
    /// The list of back ends as known to this node; at most one entry. Not part of the log, so it
    /// may come from any node.
    std::vector<discovery::list_update> list;
    /// The question that is answered: no newer configuration was in force when it was asked. 0
    /// without a proof.
    std::uint64_t question = 0;
    /// Address of the leader as known to this node; empty when unknown.
    node_name leader;
    consensus::term_number term = 0;
    /// Back ends that recently aborted calls.
    std::vector<discovery::relayed_failure> backend_failures;

    template <class Archive>
    void save(Archive& archive) const {
        if (archive.format() < protocol::format_version::v2) {
            archive(configuration, cereal::make_size_tag(newer_configuration.size()));
            for (const routing::configuration_pointer& newer : newer_configuration) {
                archive(*newer);
            }
            // The remaining fields are optional, or answer what format v1 cannot request.
            archive(newer_stores, directory_addresses, list);
            return;
        }
        archive(configuration, newer_stores, directory_addresses, list, question, leader, term,
                backend_failures);
    }
    template <class Archive>
    void load(Archive& archive) {
        if (archive.format() < protocol::format_version::v2) {
            std::vector<routing::configuration> newer;
            archive(configuration, newer, newer_stores, directory_addresses, list);
            for (routing::configuration& each : newer) {
                newer_configuration.push_back(
                    std::make_shared<const routing::configuration>(std::move(each)));
            }
            return;
        }
        archive(configuration, newer_stores, directory_addresses, list, question, leader, term,
                backend_failures);
    }
};

/// Request to a directory node for a newer configuration, or for the next part of one.
struct configuration_request {
    /// The version that the node holds.
    routing::configuration_version held = routing::no_version;
    /// True when the full configuration is requested instead of the difference from `held`.
    bool whole = false;
    /// Identifies the content of which the node has received the first `offset` bytes; 0 for none.
    std::uint64_t content = 0;
    std::uint64_t offset = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(held, whole, content, offset);
    }
};

/// Part of the content that updates an older configuration to a newer one: a compressed
/// routing::configuration_change.
struct configuration_part {
    /// Identifies the content: a digest of all its bytes.
    std::uint64_t content = 0;
    /// The resulting version; none when the directory node holds nothing newer.
    routing::configuration_version version = routing::no_version;
    /// Size in bytes of the whole content, and offset of this part.
    std::uint64_t size = 0;
    std::uint64_t offset = 0;
    std::string bytes;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(content, version, size, offset, bytes);
    }
};

/// Zones whose back ends must get no new requests; sent with each answer to a report once there has
/// been an evacuation.
struct evacuation_status {
    /// The status with the highest revision applies.
    std::uint64_t revision = 0;
    std::vector<std::string> zones;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(revision, zones);
    }
};

/// Request of a directory node that is not a member to become one.
struct join_request {
    consensus::replica_id replica = consensus::no_replica;
    /// "ip:port" of the sender; also its name in the membership.
    node_name address;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(replica, address);
    }
};

}  // namespace tallyfold::directory
