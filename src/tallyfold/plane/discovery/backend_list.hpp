#pragma once
/// @file
/// The newest list of back ends that this node knows, polled by itself or received from another
/// node, with a journal of its latest changes. A change costs what it touches, not the size of the
/// list. Pure; owns the entries and the journal.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/plane/discovery/types.hpp"

namespace tallyfold::discovery {

/// Change of one list to another, as sent between nodes.
struct list_content {
    /// The list to which `changes` apply; 0 for the empty list, when they contain the full list.
    list_fingerprint base = 0;
    /// The list that results.
    list_fingerprint result = 0;
    list_changes changes;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(base, result, changes);
    }
};

/// Result of polling all pages of the list.
struct polled_list {
    std::vector<listed_backend> backends;
    std::vector<rejected_entry> rejected;
    /// Number of requests that the poll took.
    std::size_t pages = 0;
};

/// Why a list could not be applied; the one held stays.
enum class list_failure : std::uint8_t {
    /// The content is a difference from a list that is not held.
    base_mismatch,
    /// The resulting list is not the one that the content names.
    result_mismatch,
    /// A poll without any back end, while some are known: more likely a fault of the source than
    /// the loss of all of them.
    no_backends,
};

/// Text of the failure in logs.
std::string text_of(list_failure failure);

class backend_list {
  public:
    /// Number of polls for which a missing back end may be the one of an unnamed rejected entry. An
    /// entry that stays unreadable would otherwise keep all back ends that leave.
    static constexpr std::uint64_t max_missing_polls = 60;

    /// @param max_journal_entries number of changed entries up to which earlier lists are kept as
    /// differences; 0 for nodes that send the list to nobody
    explicit backend_list(std::size_t max_journal_entries = 0)
        : max_journal_entries_(max_journal_entries) {}

    /// Records a list that this node has polled. A known back end whose entry is rejected stays
    /// known as leaving; so does one that is missing while some rejected entry does not name its
    /// back end, for max_missing_polls.
    /// @return what changed
    tl::expected<list_changes, list_failure> record_poll(const polled_list& polled, instant now);
    /// Applies a content from another node.
    /// @param polled_at when some node polled the resulting list
    /// @return what changed
    tl::expected<list_changes, list_failure> apply(const list_content& content, instant polled_at);
    /// Records that some node polled the list that this node holds.
    void confirm(instant polled_at);

    /// True when the journal reaches back to the list `held`.
    [[nodiscard]] bool has_journal_since(list_fingerprint held) const;
    /// Returns the difference from the list `held`; the full list when the journal does not reach
    /// back to it.
    [[nodiscard]] list_content content_since(list_fingerprint held) const;

    [[nodiscard]] bool known() const { return known_; }
    /// The same on all nodes that hold the same list; 0 when none is known.
    [[nodiscard]] list_fingerprint fingerprint() const;
    /// When some node last polled the list held.
    [[nodiscard]] instant last_polled_at() const { return last_polled_at_; }
    [[nodiscard]] std::size_t size() const { return entries_.size(); }
    [[nodiscard]] std::size_t leaving_count() const { return leaving_; }
    /// All back ends, sorted by name.
    [[nodiscard]] std::vector<listed_backend> backends() const;
    [[nodiscard]] const listed_backend* find(const backend_name& name) const;
    /// Number of requests that a poll of the list takes; 0 when unknown.
    [[nodiscard]] std::size_t pages() const { return pages_; }
    void set_pages(std::size_t pages) { pages_ = pages; }

  private:
    struct entry {
        listed_backend backend;
        std::uint64_t hash = 0;
        /// Number of the last poll that contained the back end.
        std::uint64_t poll = 0;
    };
    /// Difference from an earlier list to the next one.
    struct journal_record {
        list_fingerprint from = 0;
        list_changes changes;
    };

    /// Puts what a poll changed into `changes`, apart from missing back ends.
    void add_polled(const std::vector<listed_backend>& backends, list_changes& changes);
    /// Puts the known back ends that a poll did not contain into `changes`.
    void add_missing(const std::vector<rejected_entry>& rejected, list_changes& changes);
    /// Applies the changes and returns those that had an effect.
    list_changes change_entries(const list_changes& changes);
    /// Returns the changes that undo `changes` once they are applied.
    [[nodiscard]] list_changes inverse_of(const list_changes& changes) const;
    /// Names that changed since the list `held`, which the journal reaches back to.
    [[nodiscard]] std::set<backend_name> names_changed_since(list_fingerprint held) const;
    /// Fingerprint of the entries, whether or not they are a complete list.
    [[nodiscard]] list_fingerprint fingerprint_if_known() const;
    void insert(const listed_backend& backend);
    void erase(const backend_name& name);
    void write_journal(list_fingerprint from, const list_changes& changes);

    std::size_t max_journal_entries_;
    std::map<backend_name, entry> entries_;
    bool known_ = false;
    /// Sum of the entries' hashes, so that a change of an entry updates it without the others.
    std::uint64_t hash_sum_ = 0;
    std::size_t leaving_ = 0;
    instant last_polled_at_{};
    std::uint64_t poll_ = 0;
    std::size_t pages_ = 0;
    std::deque<journal_record> journal_;
    std::size_t journal_entries_ = 0;
};

}  // namespace tallyfold::discovery
