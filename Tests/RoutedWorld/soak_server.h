#pragma once

#include "RawSocket/raw_socket.h"
#include "http/http_server.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace vanillashunt {

// A request that arrived at a server, whatever became of it.
struct soak_arrival {
    std::chrono::steady_clock::time_point time;
    std::string requestId;
    // The start of the server, as its answers are signed.
    std::string start;
};

// One application server that answers as the platform's servers do: it runs a request
// only if the request names this start of it, and at times refuses, or runs for longer
// than its route allows. It remembers what it has run.
class soak_server {
public:
    // What its reports announce: routed_node's usual slots.
    static constexpr std::uint32_t capacity = 8;

    explicit soak_server(std::uint64_t seed);
    ~soak_server();

    std::string address() const { return m_server->address(); }

    // Another start of the server, at the same address.
    std::string startAgain();
    std::string instance();

    // The same, by the id that it has.
    void startAgainById();
    // When it started, in milliseconds since some moment.
    std::int64_t born();
    // Another start with the same id, at the given time.
    void startAgainAt(std::int64_t born);

    // What all its answers announce from now on: the text of its rate limit, empty for none, and
    // whether it leaves.
    void announce(const std::string& rateLimit, bool isLeaving);

    // The signature of the current start.
    std::string seal();

    std::vector<soak_arrival> arrivals();

    // Number of requests that arrived after the moment, whatever became of them, and the highest
    // number that arrived in any span of this length after it.
    std::size_t arrivalsAfter(std::chrono::steady_clock::time_point moment);
    std::size_t mostArrivals(std::chrono::milliseconds span, std::chrono::steady_clock::time_point moment);

    // How often each request ran, by its id.
    std::map<std::string, int> runs();

    // Number of requests that it began to run after the moment.
    std::size_t runsStartedAfter(std::chrono::steady_clock::time_point moment);

private:
    // What it tells of its load: mostly the truth, at times that it is slow, and at times a lie,
    // rubbish or nothing.
    http_fields loadFields();
    http_fields announcedFields() const;
    std::string sealText() const;
    void called(const http_request&, const std::shared_ptr<http_exchange>&);
    void answerLater(std::chrono::milliseconds, const std::shared_ptr<http_exchange>&, http_response);

    std::mutex m_mutex;
    std::mt19937_64 m_random;
    // Apart from the others, so that a seed brings the same refusals as without loads.
    std::mt19937_64 m_randomLoads;
    int m_starts = 1;
    std::int64_t m_born = 1;
    std::uint64_t m_number;
    std::string m_rateLimit;
    bool m_isLeaving = false;
    std::vector<soak_arrival> m_arrivals;
    std::map<std::string, int> m_runs;
    std::vector<std::chrono::steady_clock::time_point> m_runStartTimes;
    context_thread m_loop;
    std::unique_ptr<http_server> m_server;
};

}
