#include "tallyfold/program_api/scheduler/journal_client.hpp"

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace scheduler;

class journal_client_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(journal_client_test);
    CPPUNIT_TEST(reply_to_a_previous_process_is_ignored);
    CPPUNIT_TEST(unanswered_append_is_resent);
    CPPUNIT_TEST(commands_of_one_root_are_serialized);
    CPPUNIT_TEST_SUITE_END();

    static journal::journal_command command(const program_id& program) {
        return journal::owner_command{
            1, 1, journal::program_change(journal::close_program{program, "done"})};
    }

    static protocol::journal_append sent(journal_client& client, std::size_t index = 0) {
        const auto messages = client.take_messages();
        CPPUNIT_ASSERT(messages.size() > index);
        return std::get<protocol::journal_append>(messages[index].message);
    }

    void reply_to_a_previous_process_is_ignored() {
        journal_client first({"c"}, 1, 100);
        journal_client second({"c"}, 1, 200);
        first.append({1, 1, "p"}, command("p"), {});
        second.append({1, 1, "q"}, command("q"), {});
        const auto old = sent(first);
        (void)sent(second);
        CPPUNIT_ASSERT(!second.on_reply({old.group, old.correlation, true, {}, {}}, {}));
    }

    void unanswered_append_is_resent() {
        journal_client client({"a", "b"}, 1, 1);
        client.append({1, 1, "p"}, command("p"), {});
        const auto first = sent(client);
        client.tick(instant(std::chrono::seconds(1)));
        CPPUNIT_ASSERT_EQUAL(first.command, sent(client).command);
    }

    void commands_of_one_root_are_serialized() {
        journal_client client({"a"}, 1, 1);
        client.append({1, 1, "p"}, command("p"), {});
        client.append({1, 1, "p"}, command("p.x"), {});
        client.append({1, 1, "q"}, command("q"), {});
        const auto messages = client.take_messages();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, messages.size());
        const auto& first = std::get<protocol::journal_append>(messages[0].message);
        CPPUNIT_ASSERT(client.on_reply({first.group, first.correlation, true, {}, {}}, {}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, client.take_messages().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(journal_client_test);

}  // namespace tallyfold::tests
