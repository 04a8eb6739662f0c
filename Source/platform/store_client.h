#pragma once

#include "http/http_client.h"

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

// Calls the platform's key-value service through its v3 JSON gateway. The
// endpoints are tried in turn, a write only while nothing was sent.
class store_client {
public:
    store_client(boost::asio::io_context&, std::vector<std::string> endpoints, const http_client_settings&);

    using range_handler = std::function<void(store_result<store_range>)>;
    using swap_handler = std::function<void(store_result<store_swap>)>;

    // Reads every key that begins with the prefix.
    void rangePrefix(const std::string& prefix, std::chrono::milliseconds timeout, const range_handler&);

    // Writes the value only if the key's last write is the one expected; 0 expects no key.
    void swap(const std::string& key, std::int64_t expectedModRevision, const std::string& value,
        std::chrono::milliseconds timeout, const swap_handler&);

private:
    struct gateway_call;
    void call(gateway_call);

    std::vector<std::string> m_endpoints;
    std::size_t m_next = 0;
    http_client m_client;
};

}
