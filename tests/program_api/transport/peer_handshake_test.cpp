#include "tallyfold/program_api/transport/peer_handshake.hpp"

#include "tests/support/suite.hpp"
#include "tests/support/temporary_path.hpp"

namespace tallyfold::tests {

using namespace net;

class peer_handshake_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(peer_handshake_test);
    CPPUNIT_TEST(both_sides_become_ready);
    CPPUNIT_TEST(wrong_key_is_rejected_by_the_dialling_side);
    CPPUNIT_TEST(unexpected_node_is_rejected);
    CPPUNIT_TEST(replayed_proof_is_rejected);
    CPPUNIT_TEST(arbitrary_bytes_are_rejected);
    CPPUNIT_TEST_SUITE_END();

    const temporary_path file_{"handshake-keys"};
    const temporary_path other_file_{"handshake-other-keys"};
    cluster_keys keys_{file_.write("a-key-of-the-cluster-that-is-long-enough\n")};
    cluster_keys other_keys_{other_file_.write("another-key-that-is-also-long-enough-here\n")};

    void both_sides_become_ready() {
        peer_handshake dialling(keys_, "a", "b");
        peer_handshake accepting(keys_, "b", {});
        CPPUNIT_ASSERT(!accepting.begin().has_value());
        const auto answered = accepting.receive(*dialling.begin());
        CPPUNIT_ASSERT(!answered.ready && answered.send.has_value());
        CPPUNIT_ASSERT_EQUAL(node_name("a"), accepting.peer());
        const auto proved = dialling.receive(*answered.send);
        CPPUNIT_ASSERT(proved.ready && proved.send.has_value());
        const auto ended = accepting.receive(*proved.send);
        CPPUNIT_ASSERT(ended.ready && !ended.send.has_value());
    }

    void wrong_key_is_rejected_by_the_dialling_side() {
        peer_handshake dialling(keys_, "a", "b");
        peer_handshake accepting(other_keys_, "b", {});
        const auto answered = accepting.receive(*dialling.begin());
        const auto refused = dialling.receive(*answered.send);
        CPPUNIT_ASSERT(!refused.ready && !refused.send.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("wrong key"), refused.refusal);
    }

    void unexpected_node_is_rejected() {
        peer_handshake dialling(keys_, "a", "b");
        peer_handshake accepting(keys_, "c", {});
        const auto answered = accepting.receive(*dialling.begin());
        CPPUNIT_ASSERT(!dialling.receive(*answered.send).refusal.empty());
    }

    void replayed_proof_is_rejected() {
        peer_handshake dialling(keys_, "a", "b");
        peer_handshake accepting(keys_, "b", {});
        const std::string hello_message = *dialling.begin();
        const auto proof = dialling.receive(*accepting.receive(hello_message).send).send;
        // Replays the hello and the proof on another connection.
        peer_handshake second_accepting(keys_, "b", {});
        second_accepting.receive(hello_message);
        CPPUNIT_ASSERT_EQUAL(std::string("wrong key"), second_accepting.receive(*proof).refusal);
    }

    void arbitrary_bytes_are_rejected() {
        check_property("no bytes make either side ready", [this] {
            peer_handshake accepting(keys_, "b", {});
            const auto first = accepting.receive(*any_bytes());
            RC_ASSERT(!first.ready);
            if (first.refusal.empty()) {
                RC_ASSERT(!accepting.receive(*any_bytes()).ready);
            }
            peer_handshake dialling(keys_, "a", "b");
            dialling.begin();
            RC_ASSERT(!dialling.receive(*any_bytes()).ready);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_handshake_test);

}  // namespace tallyfold::tests
