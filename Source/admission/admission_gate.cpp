#include "admission/admission_gate.h"

#include "admission/queue_bounds.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace vanillashunt {

namespace {

    // Maximum number of waiting calls per slot under the policy Hop, the baseline with
    // fixed limits at each hop.
    constexpr std::size_t hopQueueFactor = 2;
    // A standing queue indicates overload: during a whole window the queue never held
    // less than the work of this time, and it is longer than random arrivals explain.
    constexpr std::chrono::duration<double> standingQueueTime { 0.005 };

    // Calls in a queue that random arrivals explain.
    constexpr double minStandingQueue = 2;

    constexpr auto confirmedBase = static_cast<shedding_position>(importance::Confirmed) * positionsPerImportance;

    constexpr std::chrono::milliseconds windowLength { 50 };
    constexpr double durationDecay = 0.85;
    constexpr double serviceQuantile = 0.5;
    constexpr double drainRateWeight = 0.4;
    // Fraction of a window during which all slots must be in use for the drain rate to be
    // measured.
    constexpr double minFullFraction = 0.25;

    // The queue position of a nested call: all positions are mapped, in their order, to the
    // range of confirmed requests.
    constexpr shedding_position positionAmongNested(shedding_position position)
    {
        return position / importanceCount + confirmedBase;
    }

    constexpr bool isTopLevelAmongNested(const waiting_call& call)
    {
        return !call.nested && call.position != call.shedPosition;
    }

    // A service that received a nested call within this time counts as one that other
    // services call: it receives nested calls many times a second or not at all.
    constexpr std::chrono::milliseconds nestedCallExpiry { 1000 };

    constexpr std::chrono::milliseconds minRetryAfter { 100 };
    constexpr std::chrono::milliseconds maxRetryAfter { 1000 };
    // With a rate limit the delay follows from the rate, and may be long.
    constexpr std::chrono::milliseconds maxRateLimitedRetryAfter { 30000 };
    // How long a nested call may wait for a server with a rate limit.
    constexpr std::chrono::duration<double> maxRateLimitedWait { 0.5 };
    // The service time that is assumed while it is unknown.
    constexpr std::chrono::duration<double> assumedServiceTime { 0.5 };
    // Time constant of the exponential decay of the count of refusals.
    constexpr std::chrono::duration<double> refusalDecayTime { 1 };

}

admission_gate::admission_gate(admission_settings settings)
    : m_settings(std::move(settings))
{
    m_limit.setBoundBySlots(m_settings.rules.boundBySlots);
    m_cut.setMayFall(m_settings.rules.cutMayFall);
}

void admission_gate::setSlots(std::uint32_t slots, std::chrono::steady_clock::time_point now)
{
    setSlots(slots, {}, now);
}

void admission_gate::setSlots(std::uint32_t slots, std::chrono::milliseconds coldStart, std::chrono::steady_clock::time_point now)
{
    m_limit.setSlots(slots, coldStart, now);
    advance(now);
}

void admission_gate::setRateLimit(std::optional<double> callsPerSecond, std::chrono::steady_clock::time_point now)
{
    m_rateLimiter.setRate(callsPerSecond, now);
    advance(now);
}

std::uint32_t admission_gate::limit() const
{
    if (!m_rateLimiter.isLimited() || m_limitNow == 0) {
        return m_limitNow;
    }
    auto serviceTime = m_serviceTime.count() > 0 ? std::chrono::duration<double>(m_serviceTime) : assumedServiceTime;
    auto running = std::ceil(m_rateLimiter.cap(m_limitNow / serviceTime.count()) * serviceTime.count());
    return std::clamp(static_cast<std::uint32_t>(running), 1U, m_limitNow);
}

double admission_gate::drainRate() const
{
    bool isUnknown = m_drainRate <= 0 && m_rateLimiter.isLimited();
    return m_rateLimiter.cap(isUnknown ? std::numeric_limits<double>::infinity() : m_drainRate);
}

std::size_t admission_gate::nestedBound() const
{
    auto bound = nestedQueueBound(limit(), drainRate());
    if (!m_rateLimiter.isLimited()) {
        return bound;
    }
    return std::clamp<std::size_t>(static_cast<std::size_t>(drainRate() * maxRateLimitedWait.count()), 1, std::max<std::size_t>(1, bound));
}

admission_decision admission_gate::arrive(const admission_request& request, std::chrono::steady_clock::time_point now)
{
    advance(now);
    if (request.deadline <= now) {
        return refuse(verdict_reason::DeadlinePassed);
    }
    if (m_limit.slots() == 0) {
        return refuse(verdict_reason::NoBackendServer);
    }
    waiting_call call;
    call.callId = request.callId;
    call.position = std::min(request.position, sheddingPositionCount - 1);
    call.shedPosition = call.position;
    call.nested = request.nested;
    call.organisation = m_shares.indexOf(request.organisation);
    call.deadline = request.deadline;
    call.requestClass = m_minServiceTimes.indexOf(request.requestClass);
    switch (m_settings.policy) {
    case admission_policy::None:
        return run(call, now);
    case admission_policy::Hop:
        return arriveHop(call);
    case admission_policy::Full:
        break;
    }
    return arriveFull(call, now);
}

admission_decision admission_gate::arriveHop(const waiting_call& call)
{
    if (m_running.size() < m_limit.slots() && m_fifo.empty()) {
        return run(call, {});
    }
    if (m_fifo.size() >= hopQueueFactor * m_limit.slots()) {
        return refuse(verdict_reason::Overload);
    }
    m_fifo.push_back(call);
    return { admission_outcome::Wait, {} };
}

admission_decision admission_gate::arriveFull(const waiting_call& call, std::chrono::steady_clock::time_point now)
{
    if (cannotFinish(call, now)) {
        return refuse(verdict_reason::DeadlineTooShort);
    }
    m_cut.arrived(call.organisation, call.position);
    if (call.nested) {
        // Refusing it would waste the work already done. The cut refuses later top-level
        // requests instead.
        m_lastNestedArrival = now;
        return arriveAmongNested(call, now);
    }
    if (call.position < m_cut.get(call.organisation) && mayRefuse(call, now)) {
        return refuseForOverload(call, overloadReason(call), now);
    }
    if (now - m_lastNestedArrival < nestedCallExpiry && mayStart(call, now)) {
        return arriveAmongNested(call, now);
    }
    const auto* first = m_waiting.next();
    bool goesFirst = !first || first->position / positionsPerImportance < call.position / positionsPerImportance;
    if (slotFree() && goesFirst && mayStart(call, now)) {
        return run(call, now);
    }
    if (waitsTooLong(call, now) && mayRefuse(call, now)) {
        recordNoCapacity();
        return refuseForOverload(call, verdict_reason::Overload, now);
    }
    return enqueue(call, now);
}

// Starts, queues or refuses a nested call, or a top-level request that the cut admits at a
// service that receives nested calls. Both kinds are ordered by position among themselves
// and go ahead of top-level requests that the cut does not admit. If top-level requests
// ranked behind all nested calls, they would start only when no nested call waits, which
// hardly ever happens under overload, although the cut admitted them. When nested calls of
// 22 ms alone fill 0.95 of 30 slots, 0.94 of the top-level requests of 72 ms are answered
// within 250 ms, as opposed to 0.31 behind all nested calls; 0.99 of the nested calls are
// answered in both cases (test WholeRequestsBesideCalls).
admission_decision admission_gate::arriveAmongNested(waiting_call call, std::chrono::steady_clock::time_point now)
{
    call.position = positionAmongNested(call.position);
    const auto* first = m_waiting.next();
    if (slotFree() && (!first || first->position < confirmedBase)) {
        return run(call, now);
    }
    if (waitsTooLong(call, now) && mayShed(call, now)) {
        recordNoCapacity();
        return refuseForOverload(call, verdict_reason::Overload, now);
    }
    m_waiting.add(call);
    if (m_waiting.sizeOf(importance::Confirmed) <= nestedBound()) {
        return { admission_outcome::Wait, {} };
    }
    recordNoCapacity();
    auto candidate = *m_waiting.evictionCandidate(importance::Confirmed, call.organisation);
    if (!mayShed(candidate, now)) {
        return { admission_outcome::Wait, {} };
    }
    if (candidate.callId == call.callId) {
        m_waiting.remove(call.callId);
        return refuseForOverload(call, verdict_reason::Overload, now);
    }
    evict(candidate, now);
    return { admission_outcome::Wait, {} };
}

admission_decision admission_gate::enqueue(const waiting_call& call, std::chrono::steady_clock::time_point now)
{
    if (m_waiting.size() >= queueBound(limit(), drainRate())) {
        recordNoCapacity();
        const auto* victim = victimFor(call);
        const auto& toRefuse = victim ? *victim : call;
        if (mayRefuse(toRefuse, now)) {
            if (!victim) {
                return refuseForOverload(call, overloadReason(call), now);
            }
            evict(*victim, now);
        }
    }
    m_waiting.add(call);
    return { admission_outcome::Wait, {} };
}

// The waiting call to evict in favour of this one; null if this one is to be refused.
const waiting_call* admission_gate::victimFor(const waiting_call& call) const
{
    const auto* candidate = m_waiting.evictionCandidate();
    if (!candidate) {
        return nullptr;
    }
    auto level = call.position / positionsPerImportance;
    auto candidateLevel = candidate->position / positionsPerImportance;
    if (level != candidateLevel) {
        return level > candidateLevel ? candidate : nullptr;
    }
    auto commonLevel = static_cast<importance>(level);
    if (m_waiting.load(commonLevel, candidate->organisation, 0) >= m_waiting.load(commonLevel, call.organisation, 1)) {
        return candidate->organisation != call.organisation || call.position > candidate->position ? candidate : nullptr;
    }
    // This call's organisation is the one furthest over its share.
    const auto* own = m_waiting.evictionCandidate(commonLevel, call.organisation);
    return own && own->position < call.position ? own : nullptr;
}

admission_decision admission_gate::run(const waiting_call& call, std::chrono::steady_clock::time_point now)
{
    m_rateLimiter.take();
    m_running.emplace(call.callId, running_call { call.organisation, call.requestClass });
    if (call.organisation >= m_runningByOrganisation.size()) {
        m_runningByOrganisation.resize(call.organisation + 1);
    }
    ++m_runningByOrganisation[call.organisation];
    if (!call.nested) {
        m_order.admitted(call.shedPosition, now);
    }
    ++m_counters.admitted;
    return { admission_outcome::Run, {} };
}

admission_decision admission_gate::refuse(verdict_reason reason)
{
    ++m_counters.refused[static_cast<std::size_t>(reason)];
    bool adviseRetry = reason == verdict_reason::Overload || reason == verdict_reason::OverShare;
    if (adviseRetry) {
        m_recentRefusals += 1;
    }
    return { admission_outcome::Refuse, verdict::notRun(reason, adviseRetry ? retryAfter() : std::chrono::milliseconds(0)) };
}

admission_decision admission_gate::refuseForOverload(const waiting_call& call, verdict_reason reason, std::chrono::steady_clock::time_point now)
{
    m_order.refused(call.shedPosition, now);
    ++m_counters.shed[call.shedPosition / positionsPerImportance];
    return refuse(reason);
}

verdict_reason admission_gate::overloadReason(const waiting_call& call) const
{
    auto level = static_cast<importance>(call.position / positionsPerImportance);
    if (!m_waiting.othersWait(level, call.organisation)) {
        return verdict_reason::Overload;
    }
    bool queuedOverShare = m_waiting.load(level, call.organisation, 0) > m_waiting.meanLoad(level);
    bool cutHigher = m_cut.get(call.organisation) > m_cut.get();
    return queuedOverShare || cutHigher ? verdict_reason::OverShare : verdict_reason::Overload;
}

bool admission_gate::mayRefuse(const waiting_call& call, std::chrono::steady_clock::time_point now) const
{
    return !m_settings.rules.shedConfirmedLast || m_order.mayRefuse(call.shedPosition, now);
}

// The guarantee on the order of shedding covers top-level requests only.
bool admission_gate::mayShed(const waiting_call& call, std::chrono::steady_clock::time_point now) const
{
    return call.nested || mayRefuse(call, now);
}

bool admission_gate::mayStart(const waiting_call& call, std::chrono::steady_clock::time_point now) const
{
    if (m_settings.rules.shedConfirmedLast && !call.nested && !m_order.mayAdmit(call.shedPosition, now)) {
        return false;
    }
    if (m_settings.rules.lendUnusedShares || call.organisation >= m_runningByOrganisation.size()) {
        return true;
    }
    double shares = 0;
    for (organisation_index organisation = 0; organisation < m_shares.size(); ++organisation) {
        shares += m_shares.share(organisation);
    }
    return m_runningByOrganisation[call.organisation] < std::max(1.0, m_limitNow * m_shares.share(call.organisation) / shares);
}

// An idle backend server is always tried, since it may have become faster.
bool admission_gate::cannotFinish(const waiting_call& call, std::chrono::steady_clock::time_point now) const
{
    return !m_running.empty() && m_minServiceTimes.cannotFinish(call.requestClass, call.deadline, now);
}

bool admission_gate::waitsTooLong(const waiting_call& call, std::chrono::steady_clock::time_point now) const
{
    bool isRateLimited = m_rateLimiter.isLimited();
    if (!isRateLimited && (m_running.empty() || m_drainRate <= 0)) {
        return false;
    }
    auto ahead = m_waiting.ahead(call);
    auto wait = isRateLimited ? m_rateLimiter.timeUntil(ahead + 1) : std::chrono::duration<double>(static_cast<double>(ahead) / m_drainRate);
    return wait + m_serviceTime > std::chrono::duration<double>(call.deadline - now);
}

void admission_gate::evict(const waiting_call& victim, std::chrono::steady_clock::time_point now)
{
    auto call = victim;
    auto decision = refuseForOverload(call, overloadReason(call), now);
    m_waiting.remove(call.callId);
    ++m_counters.evicted;
    if (m_settings.rules.answerEvicted) {
        m_released.push_back({ call.callId, decision });
    }
}

bool admission_gate::hasFreeSlot(std::chrono::steady_clock::time_point now)
{
    advance(now);
    return slotFree() && waiting() == 0;
}

verdict admission_gate::refuseWithoutFreeSlot()
{
    if (!m_rateLimiter.isLimited()) {
        return verdict::notRun(verdict_reason::NoFreeSlot);
    }
    m_recentRefusals += 1;
    return verdict::notRun(verdict_reason::NoFreeSlot, retryAfter());
}

void admission_gate::finish(std::uint64_t callId, const service_outcome& outcome, std::chrono::steady_clock::time_point now)
{
    advance(now);
    auto handle = m_running.extract(callId);
    if (!handle) {
        return;
    }
    const auto& ended = handle.mapped();
    --m_runningByOrganisation[ended.organisation];
    m_limit.finished(outcome.duration, outcome.refused, inFlight() + 1, now);
    if (outcome.refused) {
        // The backend server itself lacked capacity.
        m_window.refusedForCapacity = true;
    } else {
        ++m_window.finished;
        m_window.finishedWhileFull += inFlight() + 1 >= m_limitNow ? 1 : 0;
        m_durations.add(outcome.duration);
        m_minServiceTimes.add(ended.requestClass, outcome.duration, now);
    }
}

void admission_gate::cancel(std::uint64_t callId, std::chrono::steady_clock::time_point now)
{
    advance(now);
    if (auto handle = m_running.extract(callId)) {
        --m_runningByOrganisation[handle.mapped().organisation];
        return;
    }
    m_waiting.remove(callId);
    auto found = std::find_if(m_fifo.begin(), m_fifo.end(), [callId](const auto& call) { return call.callId == callId; });
    if (found != m_fifo.end()) {
        m_fifo.erase(found);
    }
}

std::vector<gate_release> admission_gate::release(std::chrono::steady_clock::time_point now)
{
    advance(now);
    if (m_limit.slots() == 0) {
        refuseWaiting(verdict_reason::NoBackendServer);
    }
    expireWaiting(now);
    startFifo(now);
    startWaiting(now);
    trimQueue(now);
    m_window.minWaiting = slotFree() ? 0 : std::min(m_window.minWaiting, m_waiting.size());
    return std::exchange(m_released, {});
}

void admission_gate::refuseWaiting(verdict_reason reason)
{
    while (const auto* call = m_waiting.next()) {
        auto callId = call->callId;
        m_waiting.remove(callId);
        m_released.push_back({ callId, refuse(reason) });
    }
    for (const auto& call : m_fifo) {
        m_released.push_back({ call.callId, refuse(reason) });
    }
    m_fifo.clear();
}

void admission_gate::expireWaiting(std::chrono::steady_clock::time_point now)
{
    while (auto expired = m_waiting.takeExpired(now)) {
        recordNoCapacity();
        m_released.push_back({ expired->callId, refuse(verdict_reason::DeadlinePassed) });
    }
}

void admission_gate::startFifo(std::chrono::steady_clock::time_point now)
{
    while (!m_fifo.empty() && m_running.size() < m_limit.slots()) {
        auto call = m_fifo.front();
        m_fifo.pop_front();
        if (call.deadline <= now) {
            m_released.push_back({ call.callId, refuse(verdict_reason::DeadlinePassed) });
            continue;
        }
        m_released.push_back({ call.callId, run(call, now) });
    }
}

void admission_gate::startWaiting(std::chrono::steady_clock::time_point now)
{
    while (slotFree()) {
        const auto* next = m_waiting.next();
        if (!next) {
            return;
        }
        if (!mayStart(*next, now)) {
            if (!isTopLevelAmongNested(*next)) {
                return;
            }
            // It would keep the nested calls behind it from free slots.
            evict(*next, now);
            continue;
        }
        auto call = m_waiting.takeNext();
        if (cannotFinish(call, now)) {
            m_released.push_back({ call.callId, refuse(verdict_reason::DeadlineTooShort) });
            continue;
        }
        m_released.push_back({ call.callId, run(call, now) });
    }
}

// Evicts calls that were queued beyond the bound because confirmed calls could not be
// refused at that time.
void admission_gate::trimQueue(std::chrono::steady_clock::time_point now)
{
    while (m_waiting.size() > queueBound(limit(), drainRate())) {
        const auto* candidate = m_waiting.evictionCandidate();
        if (!mayRefuse(*candidate, now)) {
            return;
        }
        evict(*candidate, now);
    }
}

shedding_position admission_gate::cutFor(const std::string& organisation) const
{
    auto known = m_shares.find(organisation);
    return known ? m_cut.get(*known) : m_cut.get();
}

// The time in which the backend server can work through the queue and the recent refusals,
// multiplied by a random factor from 0.5 to 1.5, so that callers do not retry together.
std::chrono::milliseconds admission_gate::retryAfter() const
{
    auto backlog = m_recentRefusals + static_cast<double>(waiting());
    bool isRateLimited = m_rateLimiter.isLimited();
    auto drain = isRateLimited ? drainRate() : std::max(1.0, m_drainRate);
    auto time = std::chrono::milliseconds(std::llround(std::min(1e6, 1000 * backlog / drain)));
    time = std::clamp(time, minRetryAfter, isRateLimited ? maxRateLimitedRetryAfter : maxRetryAfter);
    if (!m_settings.randomBelow) {
        return time;
    }
    auto spread = m_settings.randomBelow(static_cast<std::uint64_t>(time.count()) + 1);
    return time / 2 + std::chrono::milliseconds(spread);
}

// A refusal for lack of capacity indicates overload only if no slot is free.
void admission_gate::recordNoCapacity()
{
    m_window.refusedForCapacity = m_window.refusedForCapacity || !slotFree();
}

void admission_gate::advance(std::chrono::steady_clock::time_point now)
{
    if (!hasSlot() && m_lastAdvance >= m_window.start) {
        m_window.fullTime += now - m_lastAdvance;
    }
    m_lastAdvance = now;
    m_rateLimiter.refill(now);
    m_limitNow = m_settings.policy == admission_policy::Full ? m_limit.get(now) : m_limit.slots();
    if (now >= m_window.start + windowLength) {
        closeWindow(now);
    }
}

// The drain rate can be measured only while all slots are in use. Until it has been
// measured, it is estimated from the service time of one call.
void admission_gate::updateDrainRate(const window& closed, std::chrono::duration<double> length)
{
    if (closed.fullTime < minFullFraction * length || m_drainRate <= 0) {
        auto expected = m_serviceTime.count() > 0 ? m_limitNow / std::chrono::duration<double>(m_serviceTime).count() : 0;
        m_drainRate = std::max({ m_drainRate, closed.finished / length.count(), expected });
        return;
    }
    m_drainRate += drainRateWeight * (closed.finishedWhileFull / closed.fullTime.count() - m_drainRate);
}

void admission_gate::closeWindow(std::chrono::steady_clock::time_point now)
{
    auto closed = m_window;
    m_window = {};
    m_window.start = now;
    m_window.minWaiting = slotFree() ? 0 : m_waiting.size();
    if (closed.start == std::chrono::steady_clock::time_point {}) {
        return;
    }
    std::chrono::duration<double> length = now - closed.start;
    updateDrainRate(closed, length);
    m_durations.decay(durationDecay);
    m_serviceTime = m_durations.quantile(serviceQuantile);
    m_recentRefusals *= std::exp(-length / refusalDecayTime);
    if (m_settings.policy != admission_policy::Full) {
        return;
    }
    bool standingQueue = static_cast<double>(closed.minWaiting) > std::max(minStandingQueue, drainRate() * standingQueueTime.count());
    m_cut.closeWindow({ length, drainRate(), closed.refusedForCapacity || standingQueue });
}

}
