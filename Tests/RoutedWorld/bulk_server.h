#pragma once

#include "RawSocket/threaded_server.h"

#include <map>
#include <mutex>
#include <string>

namespace vanillashunt {

// A backend server of large messages, with a thread for each connection. The last part of a request's path
// says what its answer has: "chunked-8" and "sized-8" 8 MiB, "endless" 25 MB/s until the connection is closed,
// anything else the number of bytes that the request's body had. Each request that was received completely
// counts as a run.
class bulk_server {
public:
    bulk_server();

    std::string address() const { return m_server.address(); }

    // How often each request ran, by its id.
    std::map<std::string, int> runs();

private:
    using tcp = boost::asio::ip::tcp;

    void serve(tcp::socket&);

    std::mutex m_mutex;
    std::map<std::string, int> m_runs;
    threaded_server m_server;
};

// The piece of which the large answers consist.
const std::string& bulkPiece();

}
