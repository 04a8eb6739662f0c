#include "admission/shedding_cut.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    // Weight of the latest window in the smoothed rates.
    constexpr float windowWeight = 0.4F;
    // Rates below this many calls per second count as 0.
    constexpr float minRate = 0.05F;

    // Growth factor of the budget in a window without overload.
    constexpr double budgetGrowth = 1.1;
    // More calls per second than any node completes.
    constexpr double maxBudget = 1e9;

    // Relative rounding error of sums of rates; an organisation whose whole demand is
    // allocated must not get a cut because of it.
    constexpr double roundingError = 1e-4;

    // The first and the longest step by which the cut falls.
    constexpr shedding_position firstStep = positionsPerImportance / 64;
    constexpr shedding_position maxStep = positionsPerImportance / 2;

    constexpr shedding_position firstConfirmed = positionsPerImportance * static_cast<shedding_position>(importance::Confirmed);
    constexpr int confirmedWindowsBeforeCut = 16;
    // Caps m_confirmedWindows, and so how long after an overload by confirmed requests the
    // cut may rise among them again at once.
    constexpr int maxConfirmedWindows = 40;

    // The highest positions are always admitted; otherwise no call would show that a backend
    // server has recovered.
    constexpr shedding_position maxCut = sheddingPositionCount - positionsPerImportance / 32;

    // The lowest position at or above which no more than this rate of calls arrives, within
    // the buckets from first to before last.
    template <typename Rates>
    shedding_position positionFor(const Rates& rates, double amount, std::size_t first, std::size_t last, shedding_position width)
    {
        for (auto bucket = last; bucket-- > first;) {
            if (rates[bucket] > amount) {
                // Arrivals are assumed to be spread evenly within a bucket.
                auto offset = static_cast<shedding_position>(width * (1 - amount / rates[bucket]));
                return static_cast<shedding_position>(bucket) * width + offset;
            }
            amount -= rates[bucket];
        }
        return static_cast<shedding_position>(first) * width;
    }

    // Arrivals per second at or above the position, in the buckets before last.
    template <typename Rates>
    double rateFrom(const Rates& rates, shedding_position from, std::size_t last, shedding_position width)
    {
        double sum = 0;
        auto bucket = static_cast<std::size_t>(from / width);
        if (bucket < last) {
            sum = rates[bucket] * (1 - static_cast<double>(from % width) / width);
        }
        for (++bucket; bucket < last; ++bucket) {
            sum += rates[bucket];
        }
        return sum;
    }

}

shedding_cut::shedding_cut(const organisation_shares& shares)
    : m_shares(shares)
{
}

void shedding_cut::arrived(organisation_index organisation, shedding_position position)
{
    if (organisation >= m_tallies.size()) {
        m_tallies.resize(organisation + 1);
    }
    auto& tally = m_tallies[organisation];
    tally.active = true;
    ++tally.counts[std::min<std::size_t>(position / positionsPerBucket, bucketCount - 1)];
}

shedding_position shedding_cut::get(organisation_index organisation) const
{
    return organisation < m_tallies.size() ? m_tallies[organisation].cut : m_cut;
}

void shedding_cut::closeWindow(const gate_window& window)
{
    updateRates(window.length);
    updateCut(window);
    updateOrganisationCuts();
}

void shedding_cut::updateRates(std::chrono::duration<double> length)
{
    m_total.fill(0);
    auto scale = windowWeight / static_cast<float>(length.count());
    for (auto& tally : m_tallies) {
        if (!tally.active) {
            continue;
        }
        tally.active = false;
        for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
            auto& rate = tally.smoothed[bucket];
            rate = rate * (1 - windowWeight) + static_cast<float>(tally.counts[bucket]) * scale;
            if (rate < minRate) {
                rate = 0;
            }
            tally.active = tally.active || rate > 0;
            tally.counts[bucket] = 0;
            m_total[bucket] += rate;
        }
    }
}

void shedding_cut::updateCut(const gate_window& window)
{
    if (window.overloaded) {
        m_budget = window.drainRate;
        m_step = firstStep;
        auto target = positionFor(m_total, m_budget, 0, bucketCount, positionsPerBucket);
        m_cut = std::min(maxCut, std::max(m_cut, protectConfirmed(target)));
        return;
    }
    m_confirmedWindows = std::max(0, m_confirmedWindows - 1);
    if (!m_mayFall) {
        return;
    }
    m_budget = std::min(maxBudget, std::max(window.drainRate, m_budget * budgetGrowth));
    lower(m_cut, positionFor(m_total, m_budget, 0, bucketCount, positionsPerBucket));
    m_step = std::clamp(2 * m_step, firstStep, maxStep);
}

// Few calls arrive or end in one window, so that a rate may be far off. The queue absorbs
// such errors, and the cut rises among the confirmed requests only if they exceed the
// capacity for several windows.
shedding_position shedding_cut::protectConfirmed(shedding_position target)
{
    if (target <= firstConfirmed) {
        m_confirmedWindows = std::max(0, m_confirmedWindows - 1);
        return target;
    }
    m_confirmedWindows = std::min(m_confirmedWindows + 1, maxConfirmedWindows);
    return m_confirmedWindows < confirmedWindowsBeforeCut ? firstConfirmed : target;
}

// Calls below the cut may be missing only because upstream nodes refuse them, so the cut
// falls by no more than one step.
void shedding_cut::lower(shedding_position& cut, shedding_position target) const
{
    auto lowest = cut - std::min(cut, m_step);
    cut = std::min(cut, std::max(target, lowest));
}

void shedding_cut::updateOrganisationCuts()
{
    auto level = std::min<std::size_t>(m_cut / positionsPerImportance, importanceCount - 1);
    auto first = level * bucketsPerImportance;
    auto last = first + bucketsPerImportance;
    auto base = static_cast<shedding_position>(level) * positionsPerImportance;
    auto amount = rateFrom(m_total, m_cut, last, positionsPerBucket);
    std::vector<double> demands(m_tallies.size(), 0);
    for (organisation_index organisation = 0; organisation < m_tallies.size(); ++organisation) {
        if (m_tallies[organisation].active) {
            demands[organisation] = rateFrom(m_tallies[organisation].smoothed, base, last, positionsPerBucket);
        }
    }
    auto allocation = m_shares.divide(amount, demands);
    for (organisation_index organisation = 0; organisation < m_tallies.size(); ++organisation) {
        auto& tally = m_tallies[organisation];
        auto allocated = allocation[organisation] * (1 + roundingError);
        auto target = demands[organisation] > 0 ? positionFor(tally.smoothed, allocated, first, last, positionsPerBucket) : m_cut;
        if (target < tally.cut) {
            lower(tally.cut, target);
            continue;
        }
        tally.cut = std::min(maxCut, target);
    }
}

}
