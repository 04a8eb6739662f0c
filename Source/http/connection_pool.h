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

// The connections of a client that has one request in progress on each: which
// are busy and for whom, and which are idle and may be used again. A Connection
// has startedId, address(), close(), becomeIdle() and idleUntil().
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

    // Closes the connections that have no request.
    void closeIdle()
    {
        for (auto& [address, connections] : m_idle) {
            for (auto& connection : connections) {
                connection->close();
            }
        }
        m_idle.clear();
    }

    // Returns an idle connection to the address, the one that was used last; null if
    // there is none. Connections whose time as idle ones is over are closed.
    connection_ptr takeIdle(const std::string& address, time_point now)
    {
        closeLate(now);
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

    // Whether any connection, busy or idle, is as the predicate wants.
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

    // How often idle connections are looked through. One that is late is not used in
    // between, since whoever takes it looks at its time.
    static constexpr std::chrono::milliseconds checkPeriod { 500 };

    using idle_map = std::map<std::string, std::vector<connection_ptr>>;

    void closeLate(time_point now)
    {
        if (now < m_nextCheck) {
            return;
        }
        m_nextCheck = now + checkPeriod;
        for (auto each = m_idle.begin(); each != m_idle.end();) {
            auto& kept = each->second;
            auto isLate = [now](const connection_ptr& connection) { return connection->idleUntil() <= now; };
            auto late = std::stable_partition(kept.begin(), kept.end(), [&](const connection_ptr& connection) { return !isLate(connection); });
            std::for_each(late, kept.end(), [](const connection_ptr& connection) { connection->close(); });
            kept.erase(late, kept.end());
            each = kept.empty() ? m_idle.erase(each) : std::next(each);
        }
    }

    void dropEmpty(typename idle_map::iterator place)
    {
        if (place->second.empty()) {
            m_idle.erase(place);
        }
    }

    std::uint64_t m_lastId = 0;
    time_point m_nextCheck;
    std::unordered_map<std::uint64_t, busy_entry> m_busy;
    idle_map m_idle;
};

}
