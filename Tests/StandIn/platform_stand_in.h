#pragma once

#include "StandIn/http_server.h"
#include "StandIn/key_value_store.h"
#include "StandIn/lease_table.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace vanillashunt {

// The platform's key-value service: etcd's v3 JSON gateway over one store in
// memory, with faults that a test can switch on.
class platform_stand_in {
public:
    using time_point = std::chrono::steady_clock::time_point;

    platform_stand_in(boost::asio::io_context&, const tcp_endpoint&);

    std::string address() const { return m_server.address(); }

private:
    // One watch and the connection that its events go to.
    struct watch {
        http_connection::pointer connection;
        key_range range;
        std::int64_t nextRevision = 0;
        bool withPrevious = false;
    };

    // The faults that are switched on.
    struct faults {
        std::chrono::microseconds delay { 0 };
        bool isDown = false;
        std::uint64_t answersToLose = 0;
        // The state that range reads are answered from, where it is set.
        std::optional<key_value_store> stale;
    };

    void serve(const http_connection::pointer&);
    void serveControl(const http_connection::pointer&);
    void control(const http_connection::pointer&);
    Json::Value callCounts() const;

    void range(const http_connection::pointer&);
    void put(const http_connection::pointer&);
    void remove(const http_connection::pointer&);
    void transact(const http_connection::pointer&);
    void grantLease(const http_connection::pointer&);
    void keepLeaseAlive(const http_connection::pointer&);
    void revokeLease(const http_connection::pointer&);
    void startWatch(const http_connection::pointer&);

    void answer(const http_connection::pointer&, Json::Value body, unsigned status = 200);
    void answerWrite(const http_connection::pointer&, Json::Value body, std::int64_t revisionBefore);
    void refuseUnknownLease(const http_connection::pointer&);
    bool knowsLeases(const std::vector<store_operation>&) const;
    Json::Value header(std::int64_t revision) const;

    void endLeases(const std::vector<std::int64_t>&);
    void checkLeases();
    void deliverEvents();
    void deliverEvents(watch&);
    void sendWatchResult(const watch&, Json::Value result);

    boost::asio::io_context& m_io;
    http_server m_server;
    key_value_store m_store;
    lease_table m_leases;
    std::vector<std::shared_ptr<watch>> m_watches;
    std::map<std::string, std::uint64_t> m_calls;
    faults m_faults;
};

// Runs the subcommand "platform".
int runPlatform(int argc, char** argv);

}
