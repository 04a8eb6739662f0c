#include "admission/chain_chance.h"

#include <algorithm>
#include <cmath>

namespace vanillashunt {

namespace {

    // Weight of one run or call: some tens of them, which a busy node sees in a tenth of a second.
    constexpr double sampleWeight = 0.05;
    constexpr double countWeight = 0.1;

    // Without news a trouble is taken to be over soon: callers come back within a second or two.
    constexpr std::chrono::duration<double> halfLife { 0.5 };

    // No chance is taken to be smaller.
    constexpr double leastChance = 0.001;

    // Classes of runs, and of calls of one of them, that are told apart.
    constexpr std::size_t mostClasses = 256;

}

chain_chance::chain_chance()
    : m_failed(halfLife)
{
}

void chain_chance::ended(bool failed, time_point now)
{
    m_failed.add(failed ? 1 : 0, sampleWeight, now);
}

void chain_chance::called(const std::string& calledClass, double chance, time_point now)
{
    if (m_called.size() >= mostClasses && m_called.count(calledClass) == 0) {
        return;
    }
    m_called.try_emplace(calledClass, halfLife).first->second.add(-std::log(std::clamp(chance, leastChance, 1.0)), sampleWeight, now);
}

void chain_chance::succeeded(const std::string& runClass, const call_counts& calls)
{
    if (m_counts.size() >= mostClasses && m_counts.count(runClass) == 0) {
        return;
    }
    auto [found, isNew] = m_counts.try_emplace(runClass);
    auto& means = found->second;
    for (const auto& [calledClass, count] : calls) {
        if (means.size() < mostClasses) {
            means.try_emplace(calledClass, isNew ? count : 0);
        }
    }
    for (auto& [calledClass, mean] : means) {
        auto made = calls.find(calledClass);
        mean += countWeight * ((made == calls.end() ? 0 : made->second) - mean);
    }
}

double chain_chance::get(const std::string& runClass, time_point now) const
{
    auto chance = 1 - m_failed.get(now);
    auto found = m_counts.find(runClass);
    if (found == m_counts.end()) {
        return chance;
    }
    double exponent = 0;
    for (const auto& [calledClass, count] : found->second) {
        auto called = m_called.find(calledClass);
        exponent += called == m_called.end() ? 0 : count * called->second.get(now);
    }
    return chance * std::exp(-exponent);
}

}
