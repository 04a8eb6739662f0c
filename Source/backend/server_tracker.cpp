#include "backend/server_tracker.h"

#include <algorithm>
#include <utility>

namespace vanillashunt {

namespace {

    // Maximum number of ended starts that are kept. Reports are delayed by seconds, and a server
    // starts at most about once a second.
    constexpr std::size_t maxRetired = 64;

    // Maximum number of starts that may still be running besides the current one. If none of them is, each
    // costs a request that is answered with status 421.
    constexpr std::size_t maxOthers = 8;

    // Reports are delayed by seconds. A deregistration that is further from the current time, in
    // either direction, is dropped, so that setting the clock back does not block new starts.
    constexpr std::chrono::seconds deregistrationRetention { 60 };

    // Applies a further report of the same start. A start that is draining or has deregistered does not become
    // ready again, in whatever order its reports arrive.
    report_effect update(server_report& known, const server_report& newReport)
    {
        auto condition = std::max(known.condition, newReport.condition);
        bool isLeaving = condition != known.condition;
        bool isNewer = newReport.sequence > known.sequence;
        if (isNewer) {
            known = newReport;
        }
        known.condition = condition;
        if (isLeaving) {
            return report_effect::Leaving;
        }
        return isNewer ? report_effect::Updated : report_effect::Nothing;
    }

}

std::string toString(report_effect effect)
{
    switch (effect) {
    case report_effect::Nothing:
        return "nothing";
    case report_effect::Updated:
        return "updated";
    case report_effect::Replaced:
        return "replaced";
    case report_effect::Leaving:
        return "leaving";
    case report_effect::Unclear:
        return "unclear";
    case report_effect::LeavingUnknown:
        return "leaving_unknown";
    case report_effect::HeldBack:
        return "held_back";
    }
    return "";
}

report_effect server_tracker::report(const server_report& newReport, std::optional<wall_time> received, unknown_start policy)
{
    dropExpiredDeregistrations(received);
    if (newReport.condition == server_condition::Left) {
        return leave(newReport, received);
    }
    if (lacksExpectedBorn(newReport.start)) {
        return report_effect::Unclear;
    }
    if (hasEnded(newReport.start)) {
        return report_effect::Nothing;
    }
    if (findOther(newReport.start) != m_others.end()) {
        return reportOfOther(newReport, policy);
    }
    if (!m_current || m_current->start != newReport.start) {
        return replace(newReport, policy);
    }
    // A report newer than the end that was observed shows that the start is still running.
    m_ended = m_ended && newReport.sequence <= m_current->sequence;
    return update(*m_current, newReport);
}

// The report may be delayed. If it is not, the current start has ended, and its requests are answered with
// status 421.
report_effect server_tracker::replace(const server_report& newReport, unknown_start policy)
{
    bool isLeaving = newReport.condition == server_condition::Draining;
    bool isLater = m_current && isLaterStart(newReport.start, m_current->start);
    bool mayStillRun = m_current && !m_ended && !isLater;
    if (mayStillRun && (policy == unknown_start::HeldBack || (isLeaving && takesWork()))) {
        addOther({ newReport });
        return isLeaving ? report_effect::LeavingUnknown : report_effect::HeldBack;
    }
    if (isLater) {
        retire(m_current->start);
    } else if (m_current) {
        addOther({ *m_current, m_ended });
    }
    m_current = newReport;
    m_ended = false;
    return isLeaving ? report_effect::Leaving : report_effect::Replaced;
}

// The report may be delayed, so the start does not become current again before the current one is known to have
// ended.
report_effect server_tracker::reportOfOther(const server_report& newReport, unknown_start policy)
{
    auto found = findOther(newReport.start);
    bool isNewer = newReport.sequence > found->last.sequence;
    found->hasEnded = found->hasEnded && !isNewer;
    auto effect = update(found->last, newReport);
    bool isReady = found->last.condition == server_condition::Ready;
    if (isNewer) {
        std::rotate(found, std::next(found), m_others.end());
    }
    if (effect == report_effect::Leaving) {
        return report_effect::LeavingUnknown;
    }
    return isNewer && isReady && policy == unknown_start::HeldBack ? report_effect::HeldBack : report_effect::Nothing;
}

void server_tracker::promote(const server_start& start, bool hasProof)
{
    auto found = findOther(start);
    if (found == m_others.end() || !mayTakeWork(*found)) {
        return;
    }
    auto replaced = m_current ? std::optional<other_start>({ *m_current, m_ended }) : std::nullopt;
    setCurrent(found);
    if (replaced) {
        addOther(*replaced);
    }
    // The proof may be older than their last report, so a newer report is enough to use them again.
    for (auto& other : m_others) {
        other.hasEnded = other.hasEnded || hasProof;
    }
}

// A deregistration without a start time may be from the running server: sending it no more requests
// is safe, while continuing to send is not.
report_effect server_tracker::leave(const server_report& newReport, std::optional<wall_time> received)
{
    bool sameServer = m_current && m_current->start.instanceId == newReport.start.instanceId;
    bool isFromEarlierStart = sameServer && newReport.start.born && isLaterStart(m_current->start, newReport.start);
    if (isFromEarlierStart) {
        retire(newReport.start);
        return report_effect::Nothing;
    }
    // The deregistered start may be later than any reported one.
    bool mayBeUnreportedStart = !sameServer || received;
    if (!newReport.start.born && mayBeUnreportedStart) {
        recordDeregistration({ newReport.start.instanceId, received });
    }
    leaveOthers(newReport.start, { newReport.start.instanceId, received });
    if (!sameServer) {
        // The server may have registered with an earlier process of this node.
        retire(newReport.start);
        return report_effect::LeavingUnknown;
    }
    if (newReport.start.born && m_current->start != newReport.start) {
        m_current->start = newReport.start;
        m_current->sequence = newReport.sequence;
    }
    m_current->condition = server_condition::Left;
    return report_effect::Leaving;
}

void server_tracker::leaveOthers(const server_start& start, const deregistration& entry)
{
    for (auto& other : m_others) {
        bool isSame = start.born ? other.last.start == start : entry.appliesTo(other.last.start);
        if (isSame) {
            other.last.condition = server_condition::Left;
        }
    }
}

void server_tracker::misdirected(const server_start& start)
{
    bool isCurrent = m_current && m_current->start == start;
    if (!isCurrent && findOther(start) == m_others.end()) {
        return;
    }
    retire(start);
    if (isCurrent) {
        restoreOther();
    }
}

// Makes that other start current that reported last, of those that have not ended; one that takes work is
// preferred.
void server_tracker::restoreOther()
{
    m_current.reset();
    m_ended = false;
    auto isGone = [this](const other_start& other) { return hasEnded(other.last.start); };
    m_others.erase(std::remove_if(m_others.begin(), m_others.end(), isGone), m_others.end());
    if (m_others.empty()) {
        return;
    }
    auto last = std::find_if(m_others.rbegin(), m_others.rend(), [this](const other_start& other) { return mayTakeWork(other); });
    setCurrent(last == m_others.rend() ? std::prev(m_others.end()) : std::prev(last.base()));
}

void server_tracker::setCurrent(const std::deque<other_start>::iterator& found)
{
    auto other = std::move(*found);
    m_others.erase(found);
    m_current = std::move(other.last);
    m_ended = other.hasEnded;
}

void server_tracker::ended(const server_start& start)
{
    auto other = findOther(start);
    if (other != m_others.end()) {
        other->hasEnded = true;
    }
    if (!m_current || m_current->start != start) {
        return;
    }
    m_ended = true;
    auto last = std::find_if(m_others.rbegin(), m_others.rend(), [this](const other_start& each) { return mayTakeWork(each); });
    if (last != m_others.rend()) {
        promote(server_start(last->last.start), false);
    }
}

bool server_tracker::mayRun(const server_start& start) const
{
    bool isOther = std::any_of(m_others.begin(), m_others.end(), [&start](const other_start& other) { return other.last.start == start; });
    return isOther || (m_current && m_current->start == start);
}

bool server_tracker::takesWork() const
{
    return m_current && !m_ended && m_current->condition == server_condition::Ready;
}

bool server_tracker::lacksExpectedBorn(const server_start& start) const
{
    if (start.born) {
        return false;
    }
    auto hasBorn = [&start](const server_start& known) { return known.instanceId == start.instanceId && known.born; };
    return (m_current && hasBorn(m_current->start)) || std::any_of(m_retired.begin(), m_retired.end(), hasBorn)
        || std::any_of(m_others.begin(), m_others.end(), [&](const other_start& other) { return hasBorn(other.last.start); });
}

// A start has ended once a later start of the same server is known.
bool server_tracker::hasEnded(const server_start& start) const
{
    if (m_current && isLaterStart(m_current->start, start)) {
        return true;
    }
    bool isReplaced = std::any_of(m_others.begin(), m_others.end(), [&start](const other_start& other) { return isLaterStart(other.last.start, start); });
    bool isRetired = std::any_of(m_retired.begin(), m_retired.end(), [&start](const server_start& retired) { return retired == start || isLaterStart(retired, start); });
    return isReplaced || isRetired || isDeregistered(start);
}

bool server_tracker::deregistration::appliesTo(const server_start& start) const
{
    bool startedBefore = !start.born || !received || *start.born <= *received;
    return instanceId == start.instanceId && startedBefore;
}

bool server_tracker::isDeregistered(const server_start& start) const
{
    return std::any_of(m_deregistrations.begin(), m_deregistrations.end(), [&start](const deregistration& entry) { return entry.appliesTo(start); });
}

std::deque<server_tracker::other_start>::iterator server_tracker::findOther(const server_start& start)
{
    return std::find_if(m_others.begin(), m_others.end(), [&start](const other_start& other) { return other.last.start == start; });
}

bool server_tracker::mayTakeWork(const other_start& other) const
{
    return other.last.condition == server_condition::Ready && !other.hasEnded && !hasEnded(other.last.start);
}

void server_tracker::addOther(other_start other)
{
    m_others.push_back(std::move(other));
    if (m_others.size() > maxOthers) {
        m_others.pop_front();
    }
}

void server_tracker::recordDeregistration(deregistration entry)
{
    m_deregistrations.push_back(std::move(entry));
    if (m_deregistrations.size() > maxRetired) {
        m_deregistrations.pop_front();
    }
}

void server_tracker::dropExpiredDeregistrations(std::optional<wall_time> now)
{
    auto isExpired = [now](const deregistration& entry) { return now && entry.received && std::chrono::abs(*now - *entry.received) > deregistrationRetention; };
    m_deregistrations.erase(std::remove_if(m_deregistrations.begin(), m_deregistrations.end(), isExpired), m_deregistrations.end());
}

void server_tracker::retire(const server_start& start)
{
    m_retired.push_back(start);
    if (m_retired.size() > maxRetired) {
        m_retired.pop_front();
    }
}

}
