#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace vanillashunt {

// One key with its value and revisions, as etcd's v3 API counts them.
struct key_value {
    std::string key;
    std::string value;
    std::int64_t createRevision = 0;
    std::int64_t modRevision = 0;
    std::int64_t version = 0;
    std::int64_t lease = 0;
};

// The keys from one key to below another. An empty end means the one key, and
// an end of one zero byte means all keys from the first on.
struct key_range {
    std::string key;
    std::string end;

    bool contains(const std::string&) const;
};

// A change of one key, as watches deliver it. A deletion has only the key and
// the revision of the deletion.
struct store_event {
    bool isDelete = false;
    key_value current;
    std::optional<key_value> previous;
};

// Reads a range, or what was written in it from a revision on; limit 0 means no limit.
struct range_request {
    key_range range;
    std::int64_t limit = 0;
    std::int64_t minModRevision = 0;
};

// Writes one key.
struct put_request {
    std::string key;
    std::string value;
    std::int64_t lease = 0;
    // Whether the result is to hold the key as it was before.
    bool withPrevious = false;
};

// Deletes a range.
struct delete_request {
    key_range range;
    // Whether the result is to hold the keys as they were before.
    bool withPrevious = false;
};

using store_operation = std::variant<range_request, put_request, delete_request>;

// What a range read found; the count ignores the limit.
struct range_result {
    std::vector<key_value> found;
    std::int64_t count = 0;
};

// The key as it was before the write, where there was one and it was asked for.
struct put_result {
    std::optional<key_value> previous;
};

// How many keys were deleted, and the keys where they were asked for.
struct delete_result {
    std::int64_t deleted = 0;
    std::vector<key_value> previous;
};

using store_result = std::variant<range_result, put_result, delete_result>;

// What a transaction compares of a key.
enum class compare_target : std::uint8_t {
    Version,
    Create,
    Mod,
    Value,
    Lease,
};

// How a transaction compares it.
enum class compare_result : std::uint8_t {
    Equal,
    Greater,
    Less,
    NotEqual,
};

// One condition of a transaction.
struct store_compare {
    std::string key;
    compare_target target = compare_target::Version;
    compare_result result = compare_result::Equal;
    std::int64_t number = 0;
    std::string value;
};

// Does the one list if all conditions hold, and the other if not.
struct transaction {
    std::vector<store_compare> conditions;
    std::vector<store_operation> success;
    std::vector<store_operation> failure;
};

// Which list was done and what it gave.
struct transaction_result {
    bool succeeded = false;
    std::vector<store_result> results;
};

// The keys in memory, with every change since the start.
class key_value_store {
public:
    std::int64_t revision() const { return m_revision; }

    range_result range(const range_request&) const;

    // Does all operations at one revision.
    std::vector<store_result> apply(const std::vector<store_operation>&);
    transaction_result transact(const transaction&);

    // Deletes what is attached to an ended lease.
    void deleteLease(std::int64_t lease);

    // The changes of a range from a revision on, oldest first.
    std::vector<store_event> eventsFrom(std::int64_t revision, const key_range&) const;

    // Forgets the changes below a revision; watches cannot start there any more.
    void compact(std::int64_t revision);
    std::int64_t compactRevision() const { return m_compactRevision; }

private:
    bool holds(const store_compare&) const;
    put_result put(const put_request&, std::int64_t revision);
    delete_result remove(const delete_request&, std::int64_t revision);
    std::vector<key_value> select(const key_range&) const;

    std::map<std::string, key_value> m_keys;
    std::vector<store_event> m_events;
    std::int64_t m_revision = 1;
    std::int64_t m_compactRevision = 0;
};

}
