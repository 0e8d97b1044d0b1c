#include <set>

#include "tallyfold/plane/discovery/types.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace discovery;

class backend_list_replica_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(backend_list_replica_test);
    CPPUNIT_TEST(older_update_does_not_replace_newer_list);
    CPPUNIT_TEST(update_of_held_list_has_no_contents);
    CPPUNIT_TEST(update_without_contents_of_other_list_is_ignored);
    CPPUNIT_TEST(holder_of_earlier_list_receives_differences);
    CPPUNIT_TEST(differences_from_other_base_are_ignored);
    CPPUNIT_TEST(holder_of_newer_list_receives_no_update);
    CPPUNIT_TEST(difference_transforms_any_list_into_any_other);
    CPPUNIT_TEST_SUITE_END();

    static instant at(int milliseconds) { return instant(std::chrono::milliseconds(milliseconds)); }
    static std::vector<listed_backend> list(bool leaving) {
        std::vector<listed_backend> backends(1);
        backends[0].service = "s";
        backends[0].member.name = "b";
        backends[0].member.leaving = leaving;
        return backends;
    }

    void older_update_does_not_replace_newer_list() {
        backend_list_replica slow;
        slow.record_poll(list(false), at(0));
        backend_list_replica node;
        node.record_poll(list(true), at(500));
        CPPUNIT_ASSERT(!node.apply_update(slow.update_for(0, {}, at(1000)).front(), at(1000)));
        CPPUNIT_ASSERT(node.backends().front().member.leaving);
        CPPUNIT_ASSERT(slow.apply_update(
            node.update_for(slow.fingerprint(), std::chrono::seconds(1), at(1000)).front(),
            at(1000)));
        CPPUNIT_ASSERT(slow.backends().front().member.leaving);
        CPPUNIT_ASSERT(slow.last_polled_at() == at(500));
    }

    void update_of_held_list_has_no_contents() {
        backend_list_replica sender;
        sender.record_poll(list(false), at(700));
        backend_list_replica node;
        node.record_poll(list(false), at(0));
        const list_update update =
            sender.update_for(node.fingerprint(), std::chrono::seconds(1), at(1000)).front();
        CPPUNIT_ASSERT(update.changes.changed.empty() && update.changes.removed.empty());
        CPPUNIT_ASSERT(!node.apply_update(update, at(1000)));
        CPPUNIT_ASSERT(node.last_polled_at() == at(700));
        CPPUNIT_ASSERT(backend_list_replica{}.update_for(0, {}, at(0)).empty());
    }

    void update_without_contents_of_other_list_is_ignored() {
        backend_list_replica sender;
        sender.record_poll(list(true), at(700));
        list_update update =
            sender.update_for(sender.fingerprint(), std::chrono::seconds(1), at(1000)).front();
        backend_list_replica node;
        node.record_poll(list(false), at(0));
        CPPUNIT_ASSERT(!node.apply_update(update, at(1000)));
        CPPUNIT_ASSERT(!node.backends().front().member.leaving);
    }

    static std::vector<listed_backend> numbered(int first, int last) {
        std::vector<listed_backend> backends;
        for (int number = first; number <= last; ++number) {
            listed_backend entry;
            entry.service = "s";
            entry.member.name = "b" + std::to_string(1000 + number);
            backends.push_back(entry);
        }
        return backends;
    }

    /// Guards against excessive memory use: directory nodes must not send the full list to every
    /// forwarder after each change.
    void holder_of_earlier_list_receives_differences() {
        constexpr std::size_t kept = 8;
        backend_list_replica sender(kept);
        sender.record_poll(numbered(1, 500), at(0));
        backend_list_replica node;
        CPPUNIT_ASSERT(node.apply_update(sender.update_for(0, {}, at(10)).front(), at(10)));
        auto later = numbered(2, 501);
        later[5].member.leaving = true;
        sender.record_poll(later, at(500));
        const list_update update =
            sender.update_for(node.fingerprint(), std::chrono::milliseconds(600), at(600)).front();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, update.changes.changed.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, update.changes.removed.size());
        CPPUNIT_ASSERT(node.apply_update(update, at(600)));
        CPPUNIT_ASSERT(node.backends() == sender.backends());
    }

    void differences_from_other_base_are_ignored() {
        backend_list_replica sender(1);
        sender.record_poll(numbered(1, 9), at(0));
        const list_fingerprint first = sender.fingerprint();
        sender.record_poll(numbered(1, 10), at(100));
        const list_update update =
            sender.update_for(first, std::chrono::seconds(1), at(200)).front();
        backend_list_replica other;
        other.record_poll(numbered(3, 9), at(50));
        CPPUNIT_ASSERT(!other.apply_update(update, at(200)));
        CPPUNIT_ASSERT(other.backends() == numbered(3, 9));
    }

    void holder_of_newer_list_receives_no_update() {
        backend_list_replica sender(1);
        sender.record_poll(numbered(1, 9), at(0));
        CPPUNIT_ASSERT(sender.update_for(77, std::chrono::milliseconds(100), at(500)).empty());
        CPPUNIT_ASSERT(!sender.update_for(77, std::chrono::milliseconds(900), at(500)).empty());
    }

    void difference_transforms_any_list_into_any_other() {
        check_property("a difference transforms one list into the other",
                       [](const std::set<std::uint8_t>& one, const std::set<std::uint8_t>& other,
                          const std::set<std::uint8_t>& leaving) {
                           const auto build = [&leaving](const std::set<std::uint8_t>& numbers) {
                               std::vector<listed_backend> backends;
                               for (const std::uint8_t number : numbers) {
                                   backends.push_back(numbered(number, number).front());
                                   backends.back().member.leaving = leaving.contains(number);
                               }
                               return backends;
                           };
                           const auto from = build(one);
                           const auto to = build(other);
                           RC_ASSERT(with_changes(from, changes_between(from, to)) == to);
                       });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(backend_list_replica_test);

}  // namespace tallyfold::tests
