#include "FreeSlots/choice_model.h"

#include "routes/route_configuration.h"

#include <algorithm>
#include <numeric>

namespace vanillashunt {

namespace {

    using std::chrono::microseconds;

    constexpr microseconds wayOfAMessage { 100 };
    constexpr std::chrono::milliseconds timeOfACall { 5000 };
    constexpr std::chrono::milliseconds tickPeriod { 10 };
    constexpr std::chrono::milliseconds longWait { 10 };

    route_snapshot oneRoute()
    {
        auto configuration = std::make_shared<route_configuration>();
        configuration->version = 1;
        route each;
        each.name = "read";
        each.host = "a.example";
        each.prefix = "/x/";
        each.destinations = { { "notices", 1 } };
        each.idempotent = true;
        each.timeout = timeOfACall;
        each.maxAttempts = 2;
        each.priority = 2;
        configuration->routes = { each };
        return configuration;
    }

    member_list membersOf(const choice_model_plan& plan)
    {
        auto members = std::make_shared<std::vector<member>>();
        for (std::size_t which = 0; which < plan.targets; ++which) {
            member each;
            each.id = which + 1;
            each.availabilityZone = "a";
            each.service = "notices";
            each.slots = plan.slots;
            members->push_back(each);
        }
        return members;
    }

}

choice_model::choice_model(const choice_model_plan& plan)
    : m_plan(plan)
    , m_random(plan.seed)
{
    auto members = membersOf(plan);
    auto routes = oneRoute();
    for (std::size_t which = 0; which < plan.targets; ++which) {
        addTarget(which);
    }
    for (std::size_t which = 0; which < plan.entries; ++which) {
        addEntry(members, routes);
    }
}

void choice_model::later(microseconds wait, std::function<void()> happens)
{
    m_events.push({ m_now + wait, ++m_eventNumber, std::move(happens) });
}

microseconds choice_model::exponential(std::chrono::duration<double> mean)
{
    return std::chrono::duration_cast<microseconds>(std::chrono::duration<double>(std::exponential_distribution<double>(1 / mean.count())(m_random)));
}

void choice_model::addEntry(const member_list& members, const route_snapshot& routes)
{
    auto entry = m_entries.size();
    entry_settings settings;
    settings.place = { "a", "" };
    settings.ownService = "threads";
    settings.retries = { 0.2, 48, std::chrono::milliseconds(10000) };
    entry_hooks hooks;
    hooks.send = [this, entry](std::uint64_t attemptId, const member& target, const call_request& request) {
        later(wayOfAMessage, [this, entry, attemptId, target = target.id - 1, request] { send(entry, attemptId, target, request); });
    };
    hooks.cancelAttempt = [](std::uint64_t) {};
    hooks.attemptEnded = [](std::uint64_t, bool) {};
    hooks.findParent = [](const entry_request&) { return std::nullopt; };
    hooks.onwardEnded = [](std::uint64_t, const onward_report&) {};
    hooks.random = [this] { return m_random(); };
    m_entries.push_back(std::make_unique<routed_entry>(settings, hooks, m_now - std::chrono::seconds(60)));
    m_entries.back()->setConfiguration(routes);
    m_entries.back()->setMembers(members, m_now);
}

void choice_model::addTarget(std::size_t which)
{
    target_hooks hooks;
    hooks.run = [this, which](std::uint64_t runId, const server_report&, const call_request& request, time_point) { runAtServer(which, runId, request); };
    hooks.cancelRun = [](std::uint64_t) {};
    hooks.random = [this] { return m_random(); };
    m_targets.push_back(std::make_unique<routed_target>(hooks));
    server_report server;
    server.start.instanceId = "i-" + std::to_string(which);
    server.service = "notices";
    server.slots = m_plan.slots;
    m_targets.back()->setServer(server, true, m_now);
}

void choice_model::send(std::size_t entry, std::uint64_t attemptId, std::size_t target, call_request request)
{
    ++m_result.attempts;
    request.refuseIfFull = request.refuseIfFull && m_plan.asksForFreeSlots;
    m_targets[target]->arrive(
        std::move(request), [this, entry, attemptId](const call_answer& answer) {
            later(wayOfAMessage, [this, entry, attemptId, answer] { m_entries[entry]->attemptAnswered(attemptId, answer, m_now); });
        },
        m_now);
}

void choice_model::runAtServer(std::size_t target, std::uint64_t runId, const call_request& request)
{
    auto wait = m_now - m_arrived.at(std::stoull(request.context.requestId));
    ++m_started;
    m_waits += wait;
    m_waited += wait > longWait ? 1 : 0;
    auto speed = m_plan.speeds[target % m_plan.speeds.size()];
    later(exponential(std::chrono::duration<double>(m_plan.meanWork) / speed * slowdown(target)), [this, target, runId] {
        call_answer answer;
        answer.outcome = verdict::answered();
        answer.status = 200;
        if (m_plan.tellsPace) {
            auto running = m_targets[target]->gate().inFlight() - 1;
            m_targets[target]->serverTold({ "i-" + std::to_string(target) }, { running, 0, m_plan.slots, slowdown(target) }, m_now);
        }
        m_targets[target]->serverAnswered(runId, answer, m_now);
    });
}

double choice_model::slowdown(std::size_t target)
{
    if (m_plan.slowPart == 0) {
        return 1;
    }
    m_phases.resize(m_plan.targets);
    auto& phase = m_phases[target];
    if (m_now >= phase.until) {
        bool isSlow = std::bernoulli_distribution(m_plan.slowPart)(m_random);
        phase = { isSlow ? m_plan.slowFactor : 1, m_now + m_plan.slowFor };
    }
    return phase.factor;
}

void choice_model::noteAnswer(const entry_answer& answer, time_point arrived)
{
    if (answer.outcome.run != execution::Ran) {
        return;
    }
    ++m_result.answered;
    m_times.push_back(std::chrono::duration<double>(m_now - arrived).count());
}

void choice_model::nextCall()
{
    double speed = 0;
    for (std::size_t which = 0; which < m_plan.targets; ++which) {
        speed += m_plan.speeds[which % m_plan.speeds.size()];
    }
    auto callsInASecond = m_plan.load * m_plan.slots * speed / std::chrono::duration<double>(m_plan.meanWork).count();
    later(exponential(std::chrono::duration<double>(1 / callsInASecond)), [this] { arrive(); });
}

void choice_model::arrive()
{
    entry_request request;
    request.requestId = std::to_string(m_arrived.size());
    request.message = { "GET", "/x/1", { { "Host", "a.example" } }, "" };
    request.deadline = m_now + timeOfACall;
    m_arrived.push_back(m_now);
    ++m_result.calls;
    auto& entry = *m_entries[m_random() % m_entries.size()];
    entry.arrive(
        std::move(request), [this, arrived = m_now](const entry_answer& answer) { noteAnswer(answer, arrived); }, m_now);
    nextCall();
}

choice_model_result choice_model::run(std::chrono::seconds length)
{
    m_end = m_now + length;
    nextCall();
    auto nextTick = m_now;
    while (m_events.top().at < m_end) {
        auto event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.happens();
        if (m_now < nextTick) {
            continue;
        }
        nextTick = m_now + tickPeriod;
        for (auto& target : m_targets) {
            target->tick(m_now);
        }
    }
    m_result.meanWait = m_waits / static_cast<double>(m_started);
    if (!m_times.empty()) {
        m_result.meanTime = std::chrono::duration<double>(std::accumulate(m_times.begin(), m_times.end(), 0.0) / static_cast<double>(m_times.size()));
        auto place = m_times.begin() + static_cast<std::ptrdiff_t>(m_times.size() * 99 / 100);
        std::nth_element(m_times.begin(), place, m_times.end());
        m_result.time99 = std::chrono::duration<double>(*place);
    }
    m_result.waitedPart = static_cast<double>(m_waited) / static_cast<double>(m_started);
    return m_result;
}

}
