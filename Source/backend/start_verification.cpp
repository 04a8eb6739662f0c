#include "backend/start_verification.h"

namespace vanillashunt {

bool start_verification::reported(const server_report& report, bool isFirst)
{
    if (isFirst) {
        m_pending = report;
        return true;
    }
    if (isPending(report.start) && report.sequence > m_pending->sequence) {
        m_pending.reset();
    }
    return false;
}

void start_verification::probed(const server_start& start, server_health health)
{
    if (isPending(start) && health != server_health::NotServing) {
        m_pending.reset();
    }
}

}
