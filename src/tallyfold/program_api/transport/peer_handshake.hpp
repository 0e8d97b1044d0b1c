#pragma once
/// @file
/// Mutual authentication of two nodes: each proves with an HMAC over the other's nonce that it
/// holds a cluster key, before any message is exchanged. No I/O: takes and returns payloads of
/// frames.
///
/// The dialling side sends a hello with its nonce, the accepting side replies with its own nonce
/// and its proof, the dialling side ends with its proof. Both proofs cover both node names and both
/// nonces.

#include <optional>
#include <string>

#include "tallyfold/base/common/types.hpp"
#include "tallyfold/program_api/transport/cluster_keys.hpp"

namespace tallyfold::net {

class peer_handshake {
  public:
    struct progress {
        /// Payload of the next frame to the peer.
        std::optional<std::string> send;
        /// Both sides are authenticated; `send` has to be sent before any message.
        bool ready = false;
        /// Reason for which the peer is rejected; empty when it isn't.
        std::string refusal;
    };

    /// @param self this node's name
    /// @param expected the peer's name when this side dials; empty for the accepting side, which
    /// receives it in the hello
    peer_handshake(cluster_keys& keys, node_name self, node_name expected);

    /// First payload to send; empty for the accepting side.
    std::optional<std::string> begin();
    /// Processes the payload of the peer's next frame.
    progress receive(const std::string& payload);

    /// Name of the peer; empty until the peer has sent it.
    [[nodiscard]] const node_name& peer() const { return peer_; }

  private:
    progress on_hello(const std::string& payload);
    progress on_challenge(const std::string& payload);
    progress on_proof(const std::string& payload);
    static progress refuse(std::string reason);

    cluster_keys& keys_;
    node_name self_;
    node_name peer_;
    bool dialled_;
    std::string nonce_;
    std::string peer_nonce_;
};

}  // namespace tallyfold::net
