#pragma once

#include "store/store_client.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace vanillashunt {

struct store_watch_hooks {
    // Called with the entries that a revision wrote.
    std::function<void(const store_range&)> changed;
    // Called once when the watch ends; nothing more comes from it.
    std::function<void(const std::string& why)> ended;
};

// One watch on the keys with a prefix, over one streaming response of the gateway.
class store_watch {
public:
    // Delivers the writes from the revision on. Starts at once.
    store_watch(boost::asio::io_context&, const std::string& endpoint, const std::string& outgoingAddress,
        const std::string& prefix, std::int64_t fromRevision, store_watch_hooks);

    // Ends the watch without a call of the hook.
    ~store_watch();

    store_watch(const store_watch&) = delete;
    store_watch& operator=(const store_watch&) = delete;

private:
    class stream;
    std::shared_ptr<stream> m_stream;
};

}
