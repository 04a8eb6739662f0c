#include "FreeSlots/balancing_simulation.h"

#include "routes/route_configuration.h"

#include <algorithm>
#include <numeric>

namespace vanillashunt {

namespace {

    using std::chrono::microseconds;

    constexpr microseconds messageDelay { 100 };
    constexpr std::chrono::milliseconds callTimeout { 5000 };
    constexpr std::chrono::milliseconds tickPeriod { 10 };
    constexpr std::chrono::milliseconds longWait { 10 };

    // How long after an answer with a rate limit the entry that passed it on is bound.
    constexpr std::chrono::milliseconds boundAfter { 500 };

    route_snapshot singleRoute()
    {
        auto configuration = std::make_shared<route_configuration>();
        configuration->version = 1;
        route onlyRoute;
        onlyRoute.name = "read";
        onlyRoute.host = "a.example";
        onlyRoute.prefix = "/x/";
        onlyRoute.destinations = { { "notices", 1 } };
        onlyRoute.idempotent = true;
        onlyRoute.timeout = callTimeout;
        onlyRoute.maxAttempts = 2;
        onlyRoute.priority = 2;
        configuration->routes = { onlyRoute };
        return configuration;
    }

    member_list membersOf(const balancing_simulation_plan& plan)
    {
        auto members = std::make_shared<std::vector<member>>();
        for (std::size_t index = 0; index < plan.targets; ++index) {
            member newMember;
            newMember.id = index + 1;
            newMember.name = "notices-" + std::to_string(index);
            newMember.availabilityZone = "a";
            newMember.service = "notices";
            newMember.slots = plan.slots;
            members->push_back(newMember);
        }
        return members;
    }

}

balancing_simulation::balancing_simulation(const balancing_simulation_plan& plan)
    : m_plan(plan)
    , m_random(plan.seed)
{
    m_told.assign(plan.entries, std::vector<time_point>(plan.targets, time_point::max()));
    m_processes.resize(plan.targets);
    m_unanswered.resize(plan.targets);
    m_result.boundStarts.resize(plan.targets);
    m_result.starts.resize(plan.targets);
    auto members = membersOf(plan);
    auto routes = singleRoute();
    for (std::size_t index = 0; index < plan.targets; ++index) {
        addTarget(index);
    }
    for (std::size_t index = 0; index < plan.entries; ++index) {
        addEntry(members, routes);
    }
}

void balancing_simulation::schedule(microseconds wait, std::function<void()> action)
{
    m_events.push({ m_now + wait, ++m_eventNumber, std::move(action) });
}

microseconds balancing_simulation::exponential(std::chrono::duration<double> mean)
{
    return std::chrono::duration_cast<microseconds>(std::chrono::duration<double>(std::exponential_distribution<double>(1 / mean.count())(m_random)));
}

void balancing_simulation::addEntry(const member_list& members, const route_snapshot& routes)
{
    auto entry = m_entries.size();
    entry_settings settings;
    settings.location = { "a", "" };
    settings.ownService = std::to_string(entry);
    settings.retries = { 0.2, 48, std::chrono::milliseconds(10000) };
    entry_hooks hooks;
    hooks.send = [this, entry](std::uint64_t attemptId, const member& target, const call_request& request) {
        schedule(messageDelay, [this, entry, attemptId, target = target.id - 1, request] { send(entry, attemptId, target, request); });
    };
    hooks.cancelAttempt = [](std::uint64_t) {};
    hooks.attemptEnded = [](std::uint64_t, bool) {};
    hooks.findParent = [](const entry_request&) { return std::nullopt; };
    hooks.onwardCallEnded = [](std::uint64_t, const onward_report&) {};
    hooks.random = [this] { return m_random(); };
    m_entries.push_back(std::make_unique<routed_entry>(settings, hooks, m_now - std::chrono::seconds(60)));
    m_entries.back()->setConfiguration(routes);
    m_entries.back()->setMembers(members, m_now);
}

void balancing_simulation::addTarget(std::size_t index)
{
    m_targets.push_back(makeTarget(index));
}

// A restarted node knows its server by a report, and nothing of what the server announced.
void balancing_simulation::restartNextTarget()
{
    auto index = m_nextRestart++ % m_targets.size();
    m_targets[index] = makeTarget(index);
    ++m_processes[index];
    for (const auto& [entry, attemptId] : std::exchange(m_unanswered[index], {})) {
        schedule(messageDelay, [this, entry = entry, attemptId = attemptId] { m_entries[entry]->attemptAnswered(attemptId, makeCallAnswer(0, 0, verdict::mayHaveRun(verdict_reason::AnswerLost)), m_now); });
    }
    schedule(m_plan.restartInterval, [this] { restartNextTarget(); });
}

std::unique_ptr<routed_target> balancing_simulation::makeTarget(std::size_t index)
{
    target_hooks hooks;
    hooks.run = [this, index](std::uint64_t runId, const server_report&, const call_request& request, time_point) { runAtServer(index, runId, request); };
    hooks.cancelRun = [](std::uint64_t) {};
    hooks.random = [this] { return m_random(); };
    auto target = std::make_unique<routed_target>(hooks);
    server_report server;
    server.start.instanceId = "i-" + std::to_string(index);
    server.service = "notices";
    server.slots = m_plan.slots;
    target->setServer(server, true, m_now);
    return target;
}

void balancing_simulation::send(std::size_t entry, std::uint64_t attemptId, std::size_t target, call_request request)
{
    ++m_result.attempts;
    request.refuseIfFull = request.refuseIfFull && m_plan.probesForFreeSlots;
    if (!m_plan.relaysNotices) {
        request.notice.reset();
    }
    m_unanswered[target].insert({ entry, attemptId });
    m_targets[target]->arrive(
        std::move(request), [this, entry, attemptId, target](const call_answer& answer) {
            m_unanswered[target].erase({ entry, attemptId });
            schedule(messageDelay, [this, entry, attemptId, target, answer] {
                bool namesLimit = answer.outcome.run == execution::Ran && answer.notice && answer.notice->notice.rateLimit;
                if (namesLimit && m_told[entry][target] == time_point::max()) {
                    m_told[entry][target] = m_now;
                }
                m_entries[entry]->attemptAnswered(attemptId, answer, m_now);
            });
        },
        m_now);
}

void balancing_simulation::runAtServer(std::size_t target, std::uint64_t runId, const call_request& request)
{
    auto wait = m_now - m_arrivals.at(std::stoull(request.context.requestId));
    ++m_startedCalls;
    m_totalWait += wait;
    m_longWaits += wait > longWait ? 1 : 0;
    ++m_result.starts[target];
    if (m_told[std::stoull(request.callerService)][target] < m_now - boundAfter) {
        m_result.boundStarts[target].push_back(m_now);
    }
    auto speed = m_plan.speeds[target % m_plan.speeds.size()];
    schedule(exponential(std::chrono::duration<double>(m_plan.meanWork) / speed * slowdown(target)), [this, target, runId, process = m_processes[target]] {
        if (process != m_processes[target]) {
            return;
        }
        call_answer answer;
        answer.outcome = verdict::answered();
        answer.status = 200;
        if (m_plan.reportsSpeed) {
            auto running = m_targets[target]->gate().inFlight() - 1;
            m_targets[target]->serverReportedLoad({ "i-" + std::to_string(target) }, { running, 0, m_plan.slots, slowdown(target) }, m_now);
        }
        auto rateLimit = m_plan.rateLimits[target % m_plan.rateLimits.size()];
        if (rateLimit > 0) {
            m_targets[target]->noticeReceived({ "i-" + std::to_string(target) }, { { rateLimit, false }, true, m_now, m_now }, m_now);
        }
        m_targets[target]->serverAnswered(runId, answer, m_now);
    });
}

double balancing_simulation::slowdown(std::size_t target)
{
    if (m_plan.slowFraction == 0) {
        return 1;
    }
    m_slowPhases.resize(m_plan.targets);
    auto& phase = m_slowPhases[target];
    if (m_now >= phase.until) {
        bool isSlow = std::bernoulli_distribution(m_plan.slowFraction)(m_random);
        phase = { isSlow ? m_plan.slowFactor : 1, m_now + m_plan.slowFor };
    }
    return phase.factor;
}

void balancing_simulation::recordAnswer(const entry_answer& answer, time_point arrived)
{
    if (answer.outcome.run != execution::Ran) {
        ++m_result.refused;
        m_result.meanRetryDelay += answer.outcome.retryAfter;
        return;
    }
    ++m_result.answered;
    m_latencies.push_back(std::chrono::duration<double>(m_now - arrived).count());
}

void balancing_simulation::nextCall()
{
    double speed = 0;
    for (std::size_t index = 0; index < m_plan.targets; ++index) {
        speed += m_plan.speeds[index % m_plan.speeds.size()];
    }
    auto callsPerSecond = m_plan.load * m_plan.slots * speed / std::chrono::duration<double>(m_plan.meanWork).count();
    schedule(exponential(std::chrono::duration<double>(1 / callsPerSecond)), [this] { arrive(); });
}

void balancing_simulation::arrive()
{
    entry_request request;
    request.requestId = std::to_string(m_arrivals.size());
    request.message = { "GET", "/x/1", { { "Host", "a.example" } }, "" };
    request.deadline = m_now + callTimeout;
    m_arrivals.push_back(m_now);
    ++m_result.calls;
    auto& entry = *m_entries[m_random() % m_entries.size()];
    entry.arrive(
        std::move(request), [this, arrived = m_now](const entry_answer& answer) { recordAnswer(answer, arrived); }, m_now);
    nextCall();
}

balancing_simulation_result balancing_simulation::run(std::chrono::seconds length)
{
    m_end = m_now + length;
    nextCall();
    if (m_plan.restartInterval.count() > 0) {
        schedule(m_plan.restartInterval, [this] { restartNextTarget(); });
    }
    auto nextTick = m_now;
    while (m_events.top().time < m_end) {
        auto event = m_events.top();
        m_events.pop();
        m_now = event.time;
        event.action();
        if (m_now < nextTick) {
            continue;
        }
        nextTick = m_now + tickPeriod;
        for (auto& target : m_targets) {
            target->tick(m_now);
        }
    }
    if (m_result.refused > 0) {
        m_result.meanRetryDelay /= static_cast<double>(m_result.refused);
    }
    m_result.meanWait = m_totalWait / static_cast<double>(m_startedCalls);
    if (!m_latencies.empty()) {
        m_result.meanLatency = std::chrono::duration<double>(std::accumulate(m_latencies.begin(), m_latencies.end(), 0.0) / static_cast<double>(m_latencies.size()));
        auto percentile = m_latencies.begin() + static_cast<std::ptrdiff_t>(m_latencies.size() * 99 / 100);
        std::nth_element(m_latencies.begin(), percentile, m_latencies.end());
        m_result.latency99 = std::chrono::duration<double>(*percentile);
    }
    m_result.longWaitFraction = static_cast<double>(m_longWaits) / static_cast<double>(m_startedCalls);
    return m_result;
}

}
