#pragma once

#include "RawSocket/raw_socket.h"
#include "http/http_server.h"

#include <json/value.h>

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace vanillashunt {

// What a store does with the calls of a machine that it turns away.
enum class store_refusal {
    None,
    Unavailable, // 503
    TooMany, // 429
    Closed, // The connection ends without an answer.
    Silent, // No answer.
};

// A store as the platform has it, with as much of its interface as nodes use, and
// one server. Both run on a thread of their own until the object ends.
class platform_world {
public:
    platform_world();
    ~platform_world();

    std::string storeAddress() const { return m_store->address(); }
    std::string serverAddress() const { return m_server->address(); }

    // Puts a version of the routes there: one route, to the service.
    void configure(int version, const std::string& service, const std::string& kind = "idempotent");

    // As configure(), with a health check path for the service.
    void configureWithHealthPath(int version, const std::string& service);

    // The same with a whole document.
    void putConfiguration(const std::string& document);

    // Sets the server's answer to health probes: its status and instance id.
    void setHealthAnswer(unsigned status, const std::string& instance);

    // From now on the server is this instance, and answers requests for another one with 421.
    void setInstance(const std::string&);

    // Keeps what there is now as the copy that the store can come back from.
    void takeCopy();
    // The store is as it was when the copy was taken, and a new era begins.
    void returnToCopy();
    // What the era's header tells; empty for a store that has none.
    void setEraText(const std::string&);

    // What the store has under the key; empty for nothing.
    std::string valueOf(const std::string& key);

    // Calls that were to change the key, whether they could or not.
    std::size_t changeCalls(const std::string& key);

    // Lets the store turn every call away, or serve again.
    void setStoreDown(bool);

    // Another address of the store. Calls there are turned away as refuseAt() says.
    std::string addStoreAddress();
    void refuseAt(const std::string& storeAddress, store_refusal);
    // The further addresses at which nodes have waited for changes of the configuration since the last call.
    std::set<std::string> takeWatchedAddresses();

    // Whether the server holds its answers back.
    void hold(bool);

    // Waits until the server has run so many requests; returns the latest.
    http_request waitForRuns(std::size_t count);
    std::size_t runs();

private:
    struct item {
        std::string value;
        int revision = 0;
    };

    void storeCalled(const http_request&, const std::shared_ptr<http_exchange>&);
    void storeCalledAt(const std::string& storeAddress, const http_request&, const std::shared_ptr<http_exchange>&);
    Json::Value itemOf(const std::string& key) const;
    http_response readKey(const std::string& key) const;
    void answerWait(const std::string& target, const std::shared_ptr<http_exchange>&);
    http_response change(const Json::Value& call);
    http_response json(unsigned status, const Json::Value& body) const;
    void serverCalled(const http_request&, const std::shared_ptr<http_exchange>&);
    http_response answerOf(const http_request&);
    void answerWaiting();

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, item> m_items;
    std::map<std::string, std::size_t> m_changeCalls;
    int m_revision = 1;
    std::map<std::string, item> m_copy;
    int m_copyRevision = 1;
    int m_era = 1;
    std::string m_eraText = "1";
    bool m_down = false;
    bool m_holding = false;
    http_response m_healthAnswer { 503, {}, {} };
    // Empty if it takes requests for any instance.
    std::string m_instance;
    std::vector<http_request> m_runs;
    std::vector<std::pair<http_request, std::shared_ptr<http_exchange>>> m_held;
    context_thread m_loop;
    std::unique_ptr<http_server> m_store;
    std::vector<std::unique_ptr<http_server>> m_furtherStores;
    std::map<std::string, store_refusal> m_refusals;
    std::set<std::string> m_watchedAddresses;
    // Calls that are not answered.
    std::vector<std::shared_ptr<http_exchange>> m_silent;
    std::unique_ptr<http_server> m_server;
};

}
