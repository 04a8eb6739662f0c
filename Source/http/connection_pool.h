#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace vanillashunt {

// The connections of a client that has one request in progress on each: which
// are busy and for whom, and which are idle and may be used again. A Connection
// has startedId, address(), close() and becomeIdle().
template <typename Connection, typename Result>
class connection_pool {
public:
    using connection_ptr = std::shared_ptr<Connection>;
    using result_handler = std::function<void(Result)>;

    ~connection_pool()
    {
        for (auto& [id, entry] : m_busy) {
            entry.connection->close();
        }
        for (auto& [address, connections] : m_idle) {
            for (auto& connection : connections) {
                connection->close();
            }
        }
    }

    // Returns an idle connection to the address; null if there is none.
    connection_ptr takeIdle(const std::string& address)
    {
        auto found = m_idle.find(address);
        if (found == m_idle.end()) {
            return nullptr;
        }
        auto connection = found->second.back();
        found->second.pop_back();
        dropEmpty(found);
        return connection;
    }

    // Notes a request that begins on the connection; returns its id.
    std::uint64_t begin(const connection_ptr& connection, result_handler handler)
    {
        connection->startedId = ++m_lastId;
        m_busy[m_lastId] = { connection, std::move(handler) };
        return m_lastId;
    }

    // Ends the connection's request: keeps the connection if it may be used again
    // and there are not too many, closes it otherwise, and calls the handler.
    void end(const connection_ptr& connection, Result result, bool reusable, std::size_t maxIdle)
    {
        auto ended = m_busy.extract(connection->startedId);
        auto kept = m_idle.find(connection->address());
        bool keep = reusable && (kept == m_idle.end() ? 0 : kept->second.size()) < maxIdle;
        if (keep) {
            m_idle[connection->address()].push_back(connection);
            connection->becomeIdle();
        } else {
            connection->close();
        }
        if (ended) {
            ended.mapped().handler(std::move(result));
        }
    }

    // Closes the request's connection; its handler is not called.
    void cancel(std::uint64_t id)
    {
        if (auto cancelled = m_busy.extract(id)) {
            cancelled.mapped().connection->close();
        }
    }

    // Forgets an idle connection that was closed.
    void dropIdle(const connection_ptr& connection)
    {
        auto found = m_idle.find(connection->address());
        if (found == m_idle.end()) {
            return;
        }
        auto& kept = found->second;
        kept.erase(std::remove(kept.begin(), kept.end(), connection), kept.end());
        dropEmpty(found);
    }

    std::size_t inProgress() const { return m_busy.size(); }

private:
    struct busy_entry {
        connection_ptr connection;
        result_handler handler;
    };

    using idle_map = std::map<std::string, std::vector<connection_ptr>>;

    void dropEmpty(typename idle_map::iterator place)
    {
        if (place->second.empty()) {
            m_idle.erase(place);
        }
    }

    std::uint64_t m_lastId = 0;
    std::unordered_map<std::uint64_t, busy_entry> m_busy;
    idle_map m_idle;
};

}
