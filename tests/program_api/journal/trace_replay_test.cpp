#include <filesystem>
#include <fstream>
#include <sstream>

#include "tallyfold/base/protocol/binary_codec.hpp"
#include "tallyfold/program_api/journal/journal_state_machine.hpp"
#include "tests/support/source_root.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace journal;

/// Replays recorded journal commands and compares each result with the expected one. A line is
/// "command arguments = outcome", or "state shard program …" with the expected record fields.
class trace_replay_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(trace_replay_test);
    CPPUNIT_TEST(traces_give_the_expected_results);
    CPPUNIT_TEST(snapshots_do_not_change_results);
    CPPUNIT_TEST_SUITE_END();

    static journal_command read_command(const std::string& name, std::istream& words) {
        shard_id shard = 0;
        lease_epoch epoch = 0;
        words >> shard >> epoch;
        if (name == "assign") {
            node_name holder;
            words >> holder;
            return assign_shard{shard, epoch, holder};
        }
        return owner_command{shard, epoch, read_change(name, words)};
    }

    static program_change read_change(const std::string& name, std::istream& words) {
        program_id program;
        words >> program;
        if (name == "open") {
            open_program change{program, program, "tenant", "class", "identity", 0};
            words >> change.budget;
            return change;
        }
        if (name == "close") {
            return close_program{program, "closed by the caller"};
        }
        sequence_number sequence = 0;
        std::uint32_t attempt = 0;
        words >> sequence >> attempt;
        if (name == "begin") {
            begin_attempt change;
            std::string repeats;
            words >> change.target >> change.reservation >> repeats;
            change.program = program;
            change.sequence = sequence;
            change.attempt = attempt;
            change.request_identity = "request " + std::to_string(sequence);
            change.repeatable = repeats == "repeat";
            return change;
        }
        if (name == "fail") {
            std::string ran;
            words >> ran;
            return fail_attempt{program, sequence, attempt,
                                ran == "no" ? ran_state::no : ran_state::unknown};
        }
        end_call change{program, sequence, attempt, 0, {}, {}};
        words >> change.charged;
        return change;
    }

    static void check_state(const journal_state_machine& machine, std::istream& words,
                            const std::string& location) {
        shard_id shard = 0;
        program_id program;
        std::string label;
        token_count charged = 0;
        token_count reserved = 0;
        sequence_number last = 0;
        std::string closed;
        words >> shard >> program >> label >> charged >> label >> reserved >> label >> last >>
            label >> closed;
        const program_record* record = machine.shards().at(shard).programs.find(program);
        CPPUNIT_ASSERT_MESSAGE(location, record != nullptr);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(location, charged, record->charged);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(location, reserved, record->reserved);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(location, last, record->last_sequence);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(location, closed == "yes", record->closed);
    }

    static void replay(const std::filesystem::path& path, bool with_snapshots) {
        journal_state_machine machine;
        std::ifstream file(path);
        std::string line;
        std::uint64_t index = 0;
        while (std::getline(file, line)) {
            const std::string location = path.filename().string() + ": " + line;
            std::istringstream words(line);
            std::string name;
            words >> name;
            if (name.empty() || name == "#") {
                continue;
            }
            if (name == "state") {
                check_state(machine, words, location);
                continue;
            }
            const journal_command command = read_command(name, words);
            std::string equals;
            std::string expected;
            words >> equals >> expected;
            const journal_error outcome = machine.apply(protocol::encode(command), ++index);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(location, expected, std::string(to_string(outcome)));
            if (with_snapshots) {
                journal_state_machine restored;
                restored.restore(machine.save());
                machine = restored;
            }
        }
        CPPUNIT_ASSERT(index > 0);
    }

    static void replay_all(bool with_snapshots) {
        std::size_t count = 0;
        for (const auto& file :
             std::filesystem::directory_iterator(source_root() + "/tests/traces")) {
            replay(file.path(), with_snapshots);
            ++count;
        }
        CPPUNIT_ASSERT(count >= 3);
    }

    void traces_give_the_expected_results() { replay_all(false); }
    void snapshots_do_not_change_results() { replay_all(true); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(trace_replay_test);

}  // namespace tallyfold::tests
