#pragma once

#include "http/http_client.h"
#include "store/metadata_store.h"

#include <json/value.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace vanillashunt {

// Calls the platform's key-value service through its v3 JSON gateway. The
// endpoints are tried in turn, a write only while nothing was sent.
class store_client : public metadata_store {
public:
    store_client(boost::asio::io_context&, std::vector<std::string> endpoints, const http_client_settings&);

    void rangePrefix(const std::string& prefix, std::chrono::milliseconds timeout, const range_handler&) override;

    // As rangePrefix(), but only the entries that were written after the revision.
    void rangeChangedAfter(const std::string& prefix, std::int64_t revision, std::chrono::milliseconds timeout, const range_handler&);

    void swap(const std::string& key, std::int64_t expectedModRevision, const std::string& value,
        std::chrono::milliseconds timeout, const swap_handler&) override;

private:
    struct gateway_call;
    void call(gateway_call);
    void range(const Json::Value& body, std::chrono::milliseconds timeout, const range_handler&);

    std::vector<std::string> m_endpoints;
    std::size_t m_next = 0;
    http_client m_client;
};

}
