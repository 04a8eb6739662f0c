#include "admission/shedding_cut.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    // Weight of a window among the smoothed ones before it.
    constexpr float windowWeight = 0.4F;
    // Rates below this many calls in a second are taken for none.
    constexpr float leastRate = 0.05F;

    // The budget's growth in a window without overload.
    constexpr double budgetGrowth = 1.1;
    // What no node ends in a second.
    constexpr double highestBudget = 1e9;

    // Sums of rates differ by no more than this when nothing was cut off them.
    constexpr double roundingError = 1e-4;

    // The first step by which the cut opens, and the longest.
    constexpr shedding_position firstStep = positionsPerImportance / 64;
    constexpr shedding_position longestStep = positionsPerImportance / 2;

    constexpr shedding_position firstConfirmed = positionsPerImportance * static_cast<shedding_position>(importance::Confirmed);
    constexpr int windowsBeforeConfirmed = 16;
    // How long the cut may come back into them after they were too many.
    constexpr int mostConfirmedWindows = 40;

    // The highest positions are admitted whatever happens, or nobody would learn
    // that a backend server is well again.
    constexpr shedding_position highestCut = sheddingPositionCount - positionsPerImportance / 32;

    // The lowest position with no more than this rate of arrivals at it or above,
    // among the buckets from first up to last.
    template <typename Rates>
    shedding_position positionFor(const Rates& rates, double amount, std::size_t first, std::size_t last, shedding_position width)
    {
        for (auto bucket = last; bucket-- > first;) {
            if (rates[bucket] > amount) {
                // The arrivals of one bucket are taken to be spread evenly.
                auto part = static_cast<shedding_position>(width * (1 - amount / rates[bucket]));
                return static_cast<shedding_position>(bucket) * width + part;
            }
            amount -= rates[bucket];
        }
        return static_cast<shedding_position>(first) * width;
    }

    // Arrivals in a second at the position or above, below the bucket last.
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
    ++tally.present[std::min<std::size_t>(position / positionsPerBucket, bucketCount - 1)];
}

shedding_position shedding_cut::get(organisation_index organisation) const
{
    return organisation < m_tallies.size() ? m_tallies[organisation].cut : m_cut;
}

void shedding_cut::closeWindow(const gate_window& seen)
{
    smooth(seen.length);
    moveCut(seen);
    moveOrganisationCuts();
}

void shedding_cut::smooth(std::chrono::duration<double> length)
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
            rate = rate * (1 - windowWeight) + static_cast<float>(tally.present[bucket]) * scale;
            if (rate < leastRate) {
                rate = 0;
            }
            tally.active = tally.active || rate > 0;
            tally.present[bucket] = 0;
            m_total[bucket] += rate;
        }
    }
}

void shedding_cut::moveCut(const gate_window& seen)
{
    if (seen.overloaded) {
        m_budget = seen.drainRate;
        m_step = firstStep;
        auto target = positionFor(m_total, m_budget, 0, bucketCount, positionsPerBucket);
        m_cut = std::min(highestCut, std::max(m_cut, sparingConfirmed(target)));
        return;
    }
    m_confirmedWindows = std::max(0, m_confirmedWindows - 1);
    if (!m_opens) {
        return;
    }
    m_budget = std::min(highestBudget, std::max(seen.drainRate, m_budget * budgetGrowth));
    fall(m_cut, positionFor(m_total, m_budget, 0, bucketCount, positionsPerBucket));
    m_step = std::clamp(2 * m_step, firstStep, longestStep);
}

// Few calls end or arrive in one window, so that a rate may be far off; the
// queue bears that, and the cut goes into the confirmed requests only if they
// are too many for a while.
shedding_position shedding_cut::sparingConfirmed(shedding_position target)
{
    if (target <= firstConfirmed) {
        m_confirmedWindows = std::max(0, m_confirmedWindows - 1);
        return target;
    }
    m_confirmedWindows = std::min(m_confirmedWindows + 1, mostConfirmedWindows);
    return m_confirmedWindows < windowsBeforeConfirmed ? firstConfirmed : target;
}

// What is not seen below the cut may have been held back by the nodes above,
// so the cut falls by no more than a step.
void shedding_cut::fall(shedding_position& cut, shedding_position target) const
{
    auto lowest = cut - std::min(cut, m_step);
    cut = std::min(cut, std::max(target, lowest));
}

void shedding_cut::moveOrganisationCuts()
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
    auto parts = m_shares.divide(amount, demands);
    for (organisation_index organisation = 0; organisation < m_tallies.size(); ++organisation) {
        auto& tally = m_tallies[organisation];
        auto part = parts[organisation] * (1 + roundingError);
        auto target = demands[organisation] > 0 ? positionFor(tally.smoothed, part, first, last, positionsPerBucket) : m_cut;
        if (target < tally.cut) {
            fall(tally.cut, target);
            continue;
        }
        tally.cut = std::min(highestCut, target);
    }
}

}
