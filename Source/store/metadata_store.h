#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace vanillashunt {

// One key of the platform's store.
struct store_entry {
    std::string key;
    std::string value;
    // Revision of the write that made this value.
    std::int64_t modRevision = 0;
};

struct store_range {
    std::vector<store_entry> entries;
    // The store's revision when it answered.
    std::int64_t revision = 0;
};

// What came of a compare-and-swap whose answer arrived.
struct store_swap {
    // Whether the write took effect.
    bool succeeded = false;
    // The store's revision: of the write, if it took effect.
    std::int64_t revision = 0;
    // The entry that stood against it, if it did not and there is one.
    std::vector<store_entry> standing;
};

// A call whose answer did not arrive. A write may have taken effect all the same.
struct store_failure {
    bool mayHaveWritten = false;
    std::string message;
};

template <typename Answer>
using store_result = std::variant<Answer, store_failure>;

// What the nodes ask of the platform's store, whichever interface it speaks.
class metadata_store {
public:
    using range_handler = std::function<void(store_result<store_range>)>;
    using swap_handler = std::function<void(store_result<store_swap>)>;

    virtual ~metadata_store() = default;

    // Reads every key that begins with the prefix.
    virtual void rangePrefix(const std::string& prefix, std::chrono::milliseconds timeout, const range_handler&) = 0;

    // Writes the value only if the key's last write is the one expected; 0 expects no key.
    virtual void swap(const std::string& key, std::int64_t expectedModRevision, const std::string& value,
        std::chrono::milliseconds timeout, const swap_handler&)
        = 0;
};

}
