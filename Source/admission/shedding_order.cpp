#include "admission/shedding_order.h"

namespace vanillashunt {

namespace {

    constexpr std::chrono::milliseconds guardTime { 100 };
    constexpr auto confirmedBase = static_cast<shedding_position>(importance::Confirmed) * positionsPerImportance;

    bool isConfirmed(shedding_position position)
    {
        return position >= confirmedBase;
    }

}

void shedding_order::admitted(shedding_position position, std::chrono::steady_clock::time_point now)
{
    if (!isConfirmed(position)) {
        m_confirmedProtectedUntil = now + guardTime;
    }
}

void shedding_order::refused(shedding_position position, std::chrono::steady_clock::time_point now)
{
    if (isConfirmed(position)) {
        m_unconfirmedBlockedUntil = now + guardTime;
    }
}

bool shedding_order::mayRefuse(shedding_position position, std::chrono::steady_clock::time_point now) const
{
    return !isConfirmed(position) || now > m_confirmedProtectedUntil;
}

bool shedding_order::mayAdmit(shedding_position position, std::chrono::steady_clock::time_point now) const
{
    return isConfirmed(position) || now > m_unconfirmedBlockedUntil;
}

}
