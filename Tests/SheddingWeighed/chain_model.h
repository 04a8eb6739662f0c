#pragma once

#include "SheddingWeighed/event_queue.h"

#include "admission/admission_gate.h"
#include "admission/entrance_gate.h"

#include <array>
#include <deque>
#include <memory>
#include <random>

namespace vanillashunt {

// How the nodes of the model shed load.
enum class shedding_strategy {
    None, // Everything is admitted.
    Hop, // Fixed limits and first-in-first-out queues.
    Credits, // Requests need a credit at the entrance; the number of credits follows the queues of the services.
    RankedCredits, // The same, but the last two fifths of the credits are reserved for more important requests.
    GateCuts, // A cut at every gate; the entrance does not use it.
    Full, // A cut at every gate, which the entrance remembers.
};

struct model_result {
    // Top-level requests answered per second of the surge, by importance.
    std::array<double, importanceCount> goodput {};
    double total = 0;
    // Fraction of the servers' work in the surge that was done for attempts that failed.
    double wasted = 0;
    // From the end of the surge until 99% of the requests that arrive are answered.
    std::chrono::milliseconds recovery { 0 };
};

struct model_load {
    // Arrival rates as multiples of the capacity of the chain.
    double surge = 4;
    double calm = 0.6;
    std::chrono::seconds surgeTime { 4 };
    std::chrono::seconds calmTime { 6 };
};

// A deterministic model of a chain of three services with one server each: the first calls
// the second and then the third, and the second also calls the third, which is the
// bottleneck. Requests enter at several nodes at different rates, and clients retry refused
// requests.
class chain_model {
public:
    chain_model(shedding_strategy, std::uint32_t seed);
    ~chain_model();

    model_result run(const model_load&);

private:
    static constexpr std::size_t serviceCount = 3;

    struct request;
    struct server;
    struct reply {
        bool answered = false;
        shedding_position cut = 0;
        std::chrono::milliseconds retryAfter { 0 };
    };
    using reply_handler = std::function<void(const reply&)>;
    struct call {
        std::size_t service = 0;
        std::shared_ptr<request> clientRequest;
        reply_handler handler;
        model_time started;
        shedding_position cut = 0;
    };

    void arrivals(double perSecond, model_time until);
    void attempt(const std::shared_ptr<request>&);
    void attemptEnded(const std::shared_ptr<request>&, const reply&);
    bool usesCredits() const { return m_strategy == shedding_strategy::Credits || m_strategy == shedding_strategy::RankedCredits; }
    bool lacksCredit(const request&) const;
    bool refusedAtEntrance(const request&, reply&);
    void callService(std::size_t service, const std::shared_ptr<request>&, reply_handler);
    void release(std::size_t service);
    void startAtServer(std::uint64_t callId);
    void startWork(std::uint64_t callId);
    void callDownstream(std::uint64_t callId, std::size_t step);
    void finishCall(std::uint64_t callId, reply);
    void adjustCredits();
    void tick();
    std::chrono::microseconds drawDuration(std::chrono::microseconds mean);
    double measureRecovery(model_time surgeEnd) const;

    shedding_strategy m_strategy;
    std::mt19937 m_random;
    event_queue m_events;
    std::array<std::unique_ptr<server>, serviceCount> m_servers;
    std::vector<entrance_gate> m_entrances;
    std::discrete_distribution<std::size_t> m_drawEntrance;
    std::unordered_map<std::uint64_t, call> m_calls;
    std::uint64_t m_nextCall = 0;
    std::vector<std::shared_ptr<request>> m_requests;
    double m_credits = 100;
    // Credits in use by entrance; each entrance has an equal part of all credits.
    std::vector<std::uint32_t> m_creditsUsed;
    double m_work = 0;
    double m_wastedWork = 0;
};

}
