#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace vanillashunt {

// Connection pool of a client that sends one request at a time on each connection.
// Keeps the busy connections with the handlers of their requests, and the idle
// connections for reuse. A Connection provides activeRequestId, address(), close(),
// becomeIdle() and idleUntil().
template <typename Connection, typename Result>
class connection_pool {
public:
    using connection_ptr = std::shared_ptr<Connection>;
    using result_handler = std::function<void(Result)>;
    using time_point = std::chrono::steady_clock::time_point;

    ~connection_pool()
    {
        for (auto& [id, entry] : m_busy) {
            entry.connection->close();
        }
        closeIdle();
    }

    // Closes all connections that have no request in progress.
    void closeIdle()
    {
        for (auto& [address, connections] : m_idle) {
            for (auto& connection : connections) {
                connection->close();
            }
        }
        m_idle.clear();
    }

    // Returns the most recently used idle connection to the address; null if there is
    // none. Closes idle connections that have expired.
    connection_ptr takeIdle(const std::string& address, time_point now)
    {
        closeExpired(now);
        auto found = m_idle.find(address);
        connection_ptr connection;
        while (found != m_idle.end() && !connection) {
            connection = found->second.back();
            found->second.pop_back();
            if (connection->idleUntil() <= now) {
                connection->close();
                connection = nullptr;
            }
            if (found->second.empty()) {
                m_idle.erase(found);
                break;
            }
        }
        return connection;
    }

    // Registers a request that starts on the connection; returns the id of the request.
    std::uint64_t begin(const connection_ptr& connection, result_handler handler)
    {
        connection->activeRequestId = ++m_lastId;
        m_busy[m_lastId] = { connection, std::move(handler) };
        return m_lastId;
    }

    // Completes the connection's request: keeps the connection if it is reusable and
    // fewer than maxIdle connections to its address are idle, closes it otherwise, and
    // calls the handler with the result.
    void end(const connection_ptr& connection, Result result, bool reusable, std::size_t maxIdle)
    {
        auto finished = m_busy.extract(connection->activeRequestId);
        auto idle = m_idle.find(connection->address());
        bool keep = reusable && (idle == m_idle.end() ? 0 : idle->second.size()) < maxIdle;
        if (keep) {
            m_idle[connection->address()].push_back(connection);
            connection->becomeIdle();
        } else {
            connection->close();
        }
        if (finished) {
            finished.mapped().handler(std::move(result));
        }
    }

    // Closes the connection of the request; the handler of the request is not called.
    void cancel(std::uint64_t id)
    {
        if (auto cancelled = m_busy.extract(id)) {
            cancelled.mapped().connection->close();
        }
    }

    // Removes an idle connection that was closed.
    void dropIdle(const connection_ptr& connection)
    {
        auto found = m_idle.find(connection->address());
        if (found == m_idle.end()) {
            return;
        }
        auto& idle = found->second;
        idle.erase(std::remove(idle.begin(), idle.end(), connection), idle.end());
        eraseIfEmpty(found);
    }

    std::size_t inProgress() const { return m_busy.size(); }

    // Whether any connection, busy or idle, satisfies the predicate.
    template <typename Predicate>
    bool anyOf(const Predicate& predicate) const
    {
        auto matches = [&predicate](const connection_ptr& connection) { return predicate(*connection); };
        return std::any_of(m_busy.begin(), m_busy.end(), [&matches](const auto& entry) { return matches(entry.second.connection); })
            || std::any_of(m_idle.begin(), m_idle.end(), [&matches](const auto& entry) { return std::any_of(entry.second.begin(), entry.second.end(), matches); });
    }

private:
    struct busy_entry {
        connection_ptr connection;
        result_handler handler;
    };

    // Interval between sweeps for expired idle connections. An expired connection is not
    // reused between sweeps, because takeIdle() checks the expiry of each candidate.
    static constexpr std::chrono::milliseconds checkPeriod { 500 };

    using idle_map = std::map<std::string, std::vector<connection_ptr>>;

    void closeExpired(time_point now)
    {
        if (now < m_nextCheck) {
            return;
        }
        m_nextCheck = now + checkPeriod;
        for (auto idleEntry = m_idle.begin(); idleEntry != m_idle.end();) {
            auto& idle = idleEntry->second;
            auto isExpired = [now](const connection_ptr& connection) { return connection->idleUntil() <= now; };
            auto firstExpired = std::stable_partition(idle.begin(), idle.end(), [&](const connection_ptr& connection) { return !isExpired(connection); });
            std::for_each(firstExpired, idle.end(), [](const connection_ptr& connection) { connection->close(); });
            idle.erase(firstExpired, idle.end());
            idleEntry = idle.empty() ? m_idle.erase(idleEntry) : std::next(idleEntry);
        }
    }

    void eraseIfEmpty(typename idle_map::iterator position)
    {
        if (position->second.empty()) {
            m_idle.erase(position);
        }
    }

    std::uint64_t m_lastId = 0;
    time_point m_nextCheck;
    std::unordered_map<std::uint64_t, busy_entry> m_busy;
    idle_map m_idle;
};

}
