#include "store/store_era.h"

namespace vanillashunt {

namespace {

    // No call lasts for so long: who goes on telling an earlier era is another store.
    constexpr std::chrono::seconds longestCall { 10 };

}

era_standing store_era::observe(std::int64_t era, time_point now)
{
    bool isLate = m_latest && era < *m_latest && now - m_lastSeen < longestCall;
    if (isLate) {
        return era_standing::Earlier;
    }
    bool isReturn = m_latest && era != *m_latest;
    m_latest = era;
    m_lastSeen = now;
    return isReturn ? era_standing::Returned : era_standing::Current;
}

}
