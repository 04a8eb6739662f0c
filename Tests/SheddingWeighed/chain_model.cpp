#include "SheddingWeighed/chain_model.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    struct service_plan {
        std::uint32_t slots;
        std::chrono::microseconds work;
        // Services that the server calls after its own work, one after the other.
        std::vector<std::size_t> downstream;
    };

    const std::array<service_plan, 3> plans { {
        { 120, std::chrono::milliseconds(5), { 1, 2 } },
        { 60, std::chrono::milliseconds(10), { 2 } },
        { 25, std::chrono::milliseconds(20), {} },
    } };

    // Top-level requests per second; each calls the third service twice.
    constexpr double chainCapacity = 25 / 0.020 / 2;

    constexpr std::chrono::milliseconds deadline { 500 };
    constexpr std::chrono::milliseconds tickPeriod { 5 };
    constexpr std::chrono::milliseconds minRetryDelay { 50 };
    constexpr std::chrono::milliseconds recoveryBucket { 100 };
    // The number of nodes of the hotel mesh.
    constexpr std::size_t entranceCount = 12;
    constexpr int maxAttempts = 3;
    constexpr std::chrono::milliseconds maxQueueDelay { 10 };

    // Fraction of the credits that each importance may use.
    constexpr std::array<double, importanceCount> creditFractions { 0.6, 0.8, 1 };

    const std::array<const char*, importanceCount> classes { "history", "stay", "reply" };

    admission_policy gatePolicy(shedding_strategy strategy)
    {
        switch (strategy) {
        case shedding_strategy::None:
            return admission_policy::None;
        case shedding_strategy::Hop:
        case shedding_strategy::Credits:
        case shedding_strategy::RankedCredits:
            return admission_policy::Hop;
        default:
            return admission_policy::Full;
        }
    }

}

struct chain_model::request {
    shedding_position position = 0;
    std::size_t entrance = 0;
    model_time arrived;
    model_time deadline;
    int attempts = 0;
    bool answered = false;
    bool holdsCredit = false;
    // Server time in seconds spent on the attempt in progress.
    double work = 0;

    importance level() const { return static_cast<importance>(position / positionsPerImportance); }
};

struct chain_model::server {
    explicit server(admission_settings settings)
        : gate(std::move(settings))
    {
    }

    admission_gate gate;
    // The number of calls that the server works on, and its internal queue.
    std::uint32_t working = 0;
    std::deque<std::uint64_t> internalQueue;
};

chain_model::chain_model(shedding_strategy strategy, std::uint32_t seed)
    : m_strategy(strategy)
    , m_random(seed)
    , m_creditsUsed(entranceCount, 0)
{
    std::vector<double> weights;
    for (std::size_t entrance = 0; entrance < entranceCount; ++entrance) {
        auto policy = strategy == shedding_strategy::Full ? admission_policy::Full : admission_policy::None;
        m_entrances.emplace_back(entrance_settings { policy, [this](std::uint64_t bound) { return m_random() % bound; } });
        weights.push_back(1 / (1 + static_cast<double>(entrance)));
    }
    m_drawEntrance = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
    for (std::size_t service = 0; service < serviceCount; ++service) {
        admission_settings settings;
        settings.policy = gatePolicy(strategy);
        settings.randomBelow = [this](std::uint64_t bound) { return m_random() % bound; };
        m_servers[service] = std::make_unique<server>(settings);
        m_servers[service]->gate.setSlots(plans[service].slots, m_events.now());
    }
}

chain_model::~chain_model() = default;

std::chrono::microseconds chain_model::drawDuration(std::chrono::microseconds mean)
{
    std::exponential_distribution<double> random(1);
    return std::chrono::microseconds(static_cast<std::int64_t>(static_cast<double>(mean.count()) * (0.5 + 0.5 * random(m_random))));
}

void chain_model::arrivals(double perSecond, model_time until)
{
    std::exponential_distribution<double> gap(perSecond);
    std::uniform_real_distribution<double> uniform;
    auto when = m_events.now();
    while (true) {
        when += std::chrono::duration_cast<model_time::duration>(std::chrono::duration<double>(gap(m_random)));
        if (when >= until) {
            return;
        }
        auto drawn = uniform(m_random);
        auto level = drawn < 0.2 ? importance::Confirmed : drawn < 0.5 ? importance::Interactive
                                                                       : importance::Deferrable;
        auto clientRequest = std::make_shared<request>();
        clientRequest->position = static_cast<shedding_position>(level) * positionsPerImportance + static_cast<shedding_position>(m_random() % positionsPerImportance);
        clientRequest->arrived = when;
        clientRequest->entrance = m_drawEntrance(m_random);
        m_requests.push_back(clientRequest);
        m_events.at(when, [this, clientRequest] { attempt(clientRequest); });
    }
}

void chain_model::attempt(const std::shared_ptr<request>& clientRequest)
{
    ++clientRequest->attempts;
    clientRequest->work = 0;
    clientRequest->deadline = m_events.now() + deadline;
    reply refused;
    if (refusedAtEntrance(*clientRequest, refused)) {
        attemptEnded(clientRequest, refused);
        return;
    }
    callService(0, clientRequest, [this, clientRequest](const reply& result) {
        entrance_request request { "hotel", classes[static_cast<std::size_t>(clientRequest->level())], clientRequest->position, clientRequest->deadline };
        m_entrances[clientRequest->entrance].recordCut(request, { result.cut, result.retryAfter }, m_events.now());
        attemptEnded(clientRequest, result);
    });
}

bool chain_model::lacksCredit(const request& clientRequest) const
{
    auto part = m_strategy == shedding_strategy::RankedCredits ? creditFractions[static_cast<std::size_t>(clientRequest.level())] : 1;
    return m_creditsUsed[clientRequest.entrance] >= std::max(1.0, m_credits * part / entranceCount);
}

bool chain_model::refusedAtEntrance(const request& clientRequest, reply& refused)
{
    if (usesCredits()) {
        return lacksCredit(clientRequest);
    }
    auto entranceRefusal = m_entrances[clientRequest.entrance].refusal({ "hotel", classes[static_cast<std::size_t>(clientRequest.level())], clientRequest.position, clientRequest.deadline }, m_events.now());
    if (entranceRefusal) {
        refused.retryAfter = entranceRefusal->retryAfter;
    }
    return entranceRefusal.has_value();
}

void chain_model::attemptEnded(const std::shared_ptr<request>& clientRequest, const reply& result)
{
    if (clientRequest->holdsCredit) {
        clientRequest->holdsCredit = false;
        --m_creditsUsed[clientRequest->entrance];
    }
    m_work += clientRequest->work;
    if (result.answered) {
        clientRequest->answered = true;
        return;
    }
    m_wastedWork += clientRequest->work;
    if (clientRequest->attempts < maxAttempts) {
        m_events.after(std::max(minRetryDelay, result.retryAfter), [this, clientRequest] { attempt(clientRequest); });
    }
}

void chain_model::callService(std::size_t service, const std::shared_ptr<request>& clientRequest, reply_handler handler)
{
    if (service == 0 && usesCredits()) {
        clientRequest->holdsCredit = true;
        ++m_creditsUsed[clientRequest->entrance];
    }
    auto callId = ++m_nextCall;
    m_calls.emplace(callId, call { service, clientRequest, std::move(handler), {}, 0 });
    auto& gate = m_servers[service]->gate;
    auto decision = gate.arrive({ callId, clientRequest->position, "hotel", clientRequest->deadline, classes[static_cast<std::size_t>(clientRequest->level())] }, m_events.now());
    if (decision.outcome == admission_outcome::Refuse) {
        finishCall(callId, { false, gate.cut(), decision.refusal.retryAfter });
    } else if (decision.outcome == admission_outcome::Run) {
        startAtServer(callId);
    }
    release(service);
}

void chain_model::release(std::size_t service)
{
    auto& gate = m_servers[service]->gate;
    for (const auto& released : gate.release(m_events.now())) {
        if (released.decision.outcome == admission_outcome::Run) {
            startAtServer(released.callId);
        } else {
            finishCall(released.callId, { false, gate.cut(), released.decision.refusal.retryAfter });
        }
    }
}

void chain_model::startAtServer(std::uint64_t callId)
{
    auto& started = m_calls.at(callId);
    started.started = m_events.now();
    auto& target = *m_servers[started.service];
    if (target.working >= plans[started.service].slots) {
        target.internalQueue.push_back(callId);
        return;
    }
    startWork(callId);
}

void chain_model::startWork(std::uint64_t callId)
{
    auto& working = m_calls.at(callId);
    ++m_servers[working.service]->working;
    auto time = drawDuration(plans[working.service].work);
    working.clientRequest->work += std::chrono::duration<double>(time).count();
    m_events.after(time, [this, callId] { callDownstream(callId, 0); });
}

void chain_model::callDownstream(std::uint64_t callId, std::size_t step)
{
    auto& working = m_calls.at(callId);
    const auto& plan = plans[working.service];
    auto endCall = [this, callId](reply result) {
        auto service = m_calls.at(callId).service;
        auto& target = *m_servers[service];
        auto duration = std::chrono::duration_cast<std::chrono::microseconds>(m_events.now() - m_calls.at(callId).started);
        target.gate.finish(callId, { duration, false }, m_events.now());
        --target.working;
        result.cut = std::max({ result.cut, m_calls.at(callId).cut, target.gate.cut() });
        finishCall(callId, result);
        while (!target.internalQueue.empty() && target.working < plans[service].slots) {
            auto next = target.internalQueue.front();
            target.internalQueue.pop_front();
            // A call whose deadline has passed was cancelled while it was queued.
            if (m_calls.at(next).clientRequest->deadline <= m_events.now()) {
                target.gate.finish(next, { std::chrono::milliseconds(1), false }, m_events.now());
                finishCall(next, {});
                continue;
            }
            startWork(next);
        }
        release(service);
    };
    if (working.clientRequest->deadline <= m_events.now()) {
        endCall({});
        return;
    }
    if (step == plan.downstream.size()) {
        endCall({ true, 0, {} });
        return;
    }
    callService(plan.downstream[step], working.clientRequest, [this, callId, step, endCall](const reply& result) {
        auto& waiting = m_calls.at(callId);
        waiting.cut = std::max(waiting.cut, result.cut);
        if (!result.answered) {
            endCall(result);
            return;
        }
        callDownstream(callId, step + 1);
    });
}

void chain_model::finishCall(std::uint64_t callId, reply result)
{
    auto node = m_calls.extract(callId);
    node.mapped().handler(result);
}

void chain_model::adjustCredits()
{
    // The longest estimated queueing delay of all services decides.
    std::chrono::duration<double> wait { 0 };
    for (std::size_t service = 0; service < serviceCount; ++service) {
        auto waiting = static_cast<double>(m_servers[service]->gate.waiting());
        wait = std::max(wait, std::chrono::duration<double>(plans[service].work) * waiting / plans[service].slots);
    }
    if (wait > maxQueueDelay) {
        m_credits = std::max(1.0, m_credits * 0.95);
        return;
    }
    m_credits += 1;
}

void chain_model::tick()
{
    for (std::size_t service = 0; service < serviceCount; ++service) {
        release(service);
    }
    adjustCredits();
    m_events.after(tickPeriod, [this] { tick(); });
}

model_result chain_model::run(const model_load& load)
{
    auto begin = m_events.now();
    tick();
    auto surgeEnd = begin + load.surgeTime;
    arrivals(load.surge * chainCapacity, surgeEnd);
    m_events.runUntil(surgeEnd);
    model_result result;
    result.wasted = m_wastedWork / m_work;
    for (const auto& clientRequest : m_requests) {
        if (clientRequest->answered) {
            result.goodput[static_cast<std::size_t>(clientRequest->level())] += 1.0 / static_cast<double>(load.surgeTime.count());
            result.total += 1.0 / static_cast<double>(load.surgeTime.count());
        }
    }
    m_requests.clear();
    arrivals(load.calm * chainCapacity, surgeEnd + load.calmTime);
    m_events.runUntil(surgeEnd + load.calmTime + std::chrono::seconds(5));
    result.recovery = std::chrono::milliseconds(static_cast<std::int64_t>(1000 * measureRecovery(surgeEnd)));
    return result;
}

// Seconds from the end of the surge to the end of the last tenth of a second in which fewer
// than 99% of the arriving requests were answered at their first attempt.
double chain_model::measureRecovery(model_time surgeEnd) const
{
    std::vector<std::array<int, 2>> buckets(100);
    for (const auto& clientRequest : m_requests) {
        auto index = static_cast<std::size_t>((clientRequest->arrived - surgeEnd) / recoveryBucket);
        ++buckets[index][0];
        buckets[index][1] += clientRequest->answered && clientRequest->attempts == 1 ? 1 : 0;
    }
    double recovered = 0;
    for (std::size_t index = 0; index < buckets.size(); ++index) {
        if (buckets[index][1] < 0.99 * buckets[index][0]) {
            recovered = std::chrono::duration<double>(recoveryBucket).count() * static_cast<double>(index + 1);
        }
    }
    return recovered;
}

}
