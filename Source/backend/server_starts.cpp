#include "backend/server_starts.h"

namespace vanillashunt {

server_starts::server_starts(bool verifies, time_point processStarted)
    : m_verifies(verifies)
    , m_verification(processStarted)
{
}

report_outcome server_starts::report(const server_report& report, wall_time received, time_point now)
{
    bool wasKnown = current().has_value();
    bool wasPresent = m_tracker.mayRun(report.start);
    auto effect = m_tracker.report(report, received, m_verifies ? unknown_start::HeldBack : unknown_start::Replaces);
    bool isNew = effect == report_effect::Replaced || (effect == report_effect::HeldBack && !wasPresent);
    if (isNew) {
        bool isUnproven = effect == report_effect::HeldBack || !wasKnown || m_verification.mayPrecedeProcess(now);
        if (!isUnproven || !m_verifies) {
            return { effect, false };
        }
        m_verification.begin(report, now);
        return { effect, true };
    }
    bool isCurrent = effect == report_effect::Updated;
    if (!isCurrent && effect != report_effect::HeldBack) {
        return { effect, false };
    }
    bool isProven = !isUnverified(report.start) || m_verification.isProvenBy(report, now);
    if (isProven && (isCurrent || !takesWork())) {
        m_verification.end(report.start);
        m_tracker.promote(report.start, false);
        return { effect, false };
    }
    return { effect, m_verification.takeProbe(report.start, now) };
}

void server_starts::probed(const server_start& start, server_health health)
{
    bool wasUnverified = isUnverified(start);
    m_verification.probed(start, health);
    if (wasUnverified && !isUnverified(start)) {
        m_tracker.promote(start, health == server_health::Serving);
    }
}

bool server_starts::takesWork() const
{
    return m_tracker.takesWork() && !isUnverified(current()->start);
}

}
