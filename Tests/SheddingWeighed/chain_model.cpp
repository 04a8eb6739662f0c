#include "SheddingWeighed/chain_model.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    struct service_plan {
        std::uint32_t slots;
        std::chrono::microseconds work;
        // Services called after the own work, one after the other.
        std::vector<std::size_t> onward;
    };

    const std::array<service_plan, 3> plans { {
        { 120, std::chrono::milliseconds(5), { 1, 2 } },
        { 60, std::chrono::milliseconds(10), { 2 } },
        { 25, std::chrono::milliseconds(20), {} },
    } };

    // The third service is called twice for each whole request.
    constexpr double chainCapacity = 25 / 0.020 / 2;

    constexpr std::chrono::milliseconds deadline { 500 };
    constexpr std::chrono::milliseconds tickPeriod { 5 };
    constexpr std::chrono::milliseconds leastWait { 50 };
    constexpr std::chrono::milliseconds bucket { 100 };
    // The nodes of the hotel mesh.
    constexpr std::size_t entranceCount = 12;
    constexpr int triesOfClient = 3;
    constexpr std::chrono::milliseconds tolerableQueue { 10 };

    // Part of the credits that each importance may use.
    constexpr std::array<double, importanceCount> creditParts { 0.6, 0.8, 1 };

    const std::array<const char*, importanceCount> classes { "history", "stay", "reply" };

    admission_policy gatePolicy(shedding_way way)
    {
        switch (way) {
        case shedding_way::None:
            return admission_policy::None;
        case shedding_way::Hop:
        case shedding_way::Credits:
        case shedding_way::RankedCredits:
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
    int tries = 0;
    bool answered = false;
    bool holdsCredit = false;
    // Server time spent on the try in progress.
    double work = 0;

    importance level() const { return static_cast<importance>(position / positionsPerImportance); }
};

struct chain_model::server {
    explicit server(admission_settings settings)
        : gate(std::move(settings))
    {
    }

    admission_gate gate;
    // What the server itself works on, and what queues inside it.
    std::uint32_t working = 0;
    std::deque<std::uint64_t> inside;
};

chain_model::chain_model(shedding_way way, std::uint32_t seed)
    : m_way(way)
    , m_random(seed)
    , m_creditsUsed(entranceCount, 0)
{
    std::vector<double> weights;
    for (std::size_t entrance = 0; entrance < entranceCount; ++entrance) {
        auto policy = way == shedding_way::Full ? admission_policy::Full : admission_policy::None;
        m_entrances.emplace_back(entrance_settings { policy, [this](std::uint64_t bound) { return m_random() % bound; } });
        weights.push_back(1 / (1 + static_cast<double>(entrance)));
    }
    m_drawEntrance = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
    for (std::size_t service = 0; service < serviceCount; ++service) {
        admission_settings settings;
        settings.policy = gatePolicy(way);
        settings.randomBelow = [this](std::uint64_t bound) { return m_random() % bound; };
        m_servers[service] = std::make_unique<server>(settings);
        m_servers[service]->gate.setSlots(plans[service].slots, m_events.now());
    }
}

chain_model::~chain_model() = default;

std::chrono::microseconds chain_model::draw(std::chrono::microseconds mean)
{
    std::exponential_distribution<double> random(1);
    return std::chrono::microseconds(static_cast<std::int64_t>(static_cast<double>(mean.count()) * (0.5 + 0.5 * random(m_random))));
}

void chain_model::arrivals(double perSecond, model_time until)
{
    std::exponential_distribution<double> gap(perSecond);
    std::uniform_real_distribution<double> kind;
    auto when = m_events.now();
    while (true) {
        when += std::chrono::duration_cast<model_time::duration>(std::chrono::duration<double>(gap(m_random)));
        if (when >= until) {
            return;
        }
        auto drawn = kind(m_random);
        auto level = drawn < 0.2 ? importance::Confirmed : drawn < 0.5 ? importance::Interactive
                                                                       : importance::Deferrable;
        auto whole = std::make_shared<request>();
        whole->position = static_cast<shedding_position>(level) * positionsPerImportance + static_cast<shedding_position>(m_random() % positionsPerImportance);
        whole->arrived = when;
        whole->entrance = m_drawEntrance(m_random);
        m_requests.push_back(whole);
        m_events.at(when, [this, whole] { attempt(whole); });
    }
}

void chain_model::attempt(const std::shared_ptr<request>& whole)
{
    ++whole->tries;
    whole->work = 0;
    whole->deadline = m_events.now() + deadline;
    reply refused;
    if (refusedAtEntrance(*whole, refused)) {
        attemptEnded(whole, refused);
        return;
    }
    callService(0, whole, [this, whole](const reply& result) {
        entrance_request request { "hotel", classes[static_cast<std::size_t>(whole->level())], whole->position, whole->deadline };
        m_entrances[whole->entrance].recordCut(request, { result.cut, result.retryAfter }, m_events.now());
        attemptEnded(whole, result);
    });
}

bool chain_model::lacksCredit(const request& whole) const
{
    auto part = m_way == shedding_way::RankedCredits ? creditParts[static_cast<std::size_t>(whole.level())] : 1;
    return m_creditsUsed[whole.entrance] >= std::max(1.0, m_credits * part / entranceCount);
}

bool chain_model::refusedAtEntrance(const request& whole, reply& refused)
{
    if (usesCredits()) {
        return lacksCredit(whole);
    }
    auto why = m_entrances[whole.entrance].refusal({ "hotel", classes[static_cast<std::size_t>(whole.level())], whole.position, whole.deadline }, m_events.now());
    if (why) {
        refused.retryAfter = why->retryAfter;
    }
    return why.has_value();
}

void chain_model::attemptEnded(const std::shared_ptr<request>& whole, const reply& result)
{
    if (whole->holdsCredit) {
        whole->holdsCredit = false;
        --m_creditsUsed[whole->entrance];
    }
    m_work += whole->work;
    if (result.answered) {
        whole->answered = true;
        return;
    }
    m_wastedWork += whole->work;
    if (whole->tries < triesOfClient) {
        m_events.after(std::max(leastWait, result.retryAfter), [this, whole] { attempt(whole); });
    }
}

void chain_model::callService(std::size_t service, const std::shared_ptr<request>& whole, reply_handler handler)
{
    if (service == 0 && usesCredits()) {
        whole->holdsCredit = true;
        ++m_creditsUsed[whole->entrance];
    }
    auto callId = ++m_nextCall;
    m_calls.emplace(callId, call { service, whole, std::move(handler), {}, 0 });
    auto& gate = m_servers[service]->gate;
    auto decision = gate.arrive({ callId, whole->position, "hotel", whole->deadline, classes[static_cast<std::size_t>(whole->level())] }, m_events.now());
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
        target.inside.push_back(callId);
        return;
    }
    work(callId);
}

void chain_model::work(std::uint64_t callId)
{
    auto& working = m_calls.at(callId);
    ++m_servers[working.service]->working;
    auto time = draw(plans[working.service].work);
    working.whole->work += std::chrono::duration<double>(time).count();
    m_events.after(time, [this, callId] { onward(callId, 0); });
}

void chain_model::onward(std::uint64_t callId, std::size_t step)
{
    auto& working = m_calls.at(callId);
    const auto& plan = plans[working.service];
    auto endHere = [this, callId](reply result) {
        auto service = m_calls.at(callId).service;
        auto& target = *m_servers[service];
        auto duration = std::chrono::duration_cast<std::chrono::microseconds>(m_events.now() - m_calls.at(callId).started);
        target.gate.finish(callId, { duration, false }, m_events.now());
        --target.working;
        result.cut = std::max({ result.cut, m_calls.at(callId).cut, target.gate.cut() });
        finishCall(callId, result);
        while (!target.inside.empty() && target.working < plans[service].slots) {
            auto next = target.inside.front();
            target.inside.pop_front();
            // A call whose time is over was cancelled while it queued.
            if (m_calls.at(next).whole->deadline <= m_events.now()) {
                target.gate.finish(next, { std::chrono::milliseconds(1), false }, m_events.now());
                finishCall(next, {});
                continue;
            }
            work(next);
        }
        release(service);
    };
    if (working.whole->deadline <= m_events.now()) {
        endHere({});
        return;
    }
    if (step == plan.onward.size()) {
        endHere({ true, 0, {} });
        return;
    }
    callService(plan.onward[step], working.whole, [this, callId, step, endHere](const reply& result) {
        auto& waiting = m_calls.at(callId);
        waiting.cut = std::max(waiting.cut, result.cut);
        if (!result.answered) {
            endHere(result);
            return;
        }
        onward(callId, step + 1);
    });
}

void chain_model::finishCall(std::uint64_t callId, reply result)
{
    auto node = m_calls.extract(callId);
    node.mapped().handler(result);
}

void chain_model::adjustCredits()
{
    // The longest queue decides: calls that wait, times the time that each slot needs.
    std::chrono::duration<double> wait { 0 };
    for (std::size_t service = 0; service < serviceCount; ++service) {
        auto waiting = static_cast<double>(m_servers[service]->gate.waiting());
        wait = std::max(wait, std::chrono::duration<double>(plans[service].work) * waiting / plans[service].slots);
    }
    if (wait > tolerableQueue) {
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
    for (const auto& whole : m_requests) {
        if (whole->answered) {
            result.goodput[static_cast<std::size_t>(whole->level())] += 1.0 / static_cast<double>(load.surgeTime.count());
            result.total += 1.0 / static_cast<double>(load.surgeTime.count());
        }
    }
    m_requests.clear();
    arrivals(load.calm * chainCapacity, surgeEnd + load.calmTime);
    m_events.runUntil(surgeEnd + load.calmTime + std::chrono::seconds(5));
    result.recovery = std::chrono::milliseconds(static_cast<std::int64_t>(1000 * measureRecovery(surgeEnd)));
    return result;
}

// Seconds from the end of the surge to the end of the last tenth of a second in
// which fewer than 99% of the arriving requests were answered at their first try.
double chain_model::measureRecovery(model_time surgeEnd) const
{
    std::vector<std::array<int, 2>> buckets(100);
    for (const auto& whole : m_requests) {
        auto index = static_cast<std::size_t>((whole->arrived - surgeEnd) / bucket);
        ++buckets[index][0];
        buckets[index][1] += whole->answered && whole->tries == 1 ? 1 : 0;
    }
    double recovered = 0;
    for (std::size_t index = 0; index < buckets.size(); ++index) {
        if (buckets[index][1] < 0.99 * buckets[index][0]) {
            recovered = std::chrono::duration<double>(bucket).count() * static_cast<double>(index + 1);
        }
    }
    return recovered;
}

}
