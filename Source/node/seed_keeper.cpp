#include "node/seed_keeper.h"

#include "store/seed_directory.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds callTimeout { 2000 };
    constexpr milliseconds refreshPeriod { 60000 };
    constexpr milliseconds firstAloneRead { 250 };
    constexpr milliseconds lastAloneRead { 30000 };
    // From the store's return from a copy until seeds are looked after; spread by half.
    constexpr milliseconds returnPause { 600 };
    constexpr milliseconds firstBackoff { 1000 };
    constexpr milliseconds lastBackoff { 60000 };
    // Seeds that were read get this many reads' time to answer before a node that
    // is still alone takes the place of one.
    constexpr std::uint32_t readsBeforeReplacing = 4;

    milliseconds doubled(milliseconds first, std::uint32_t times, milliseconds last)
    {
        constexpr std::uint32_t mostTimes = 16;
        return std::min(last, first * (1 << std::min(times, mostTimes)));
    }

}

seed_keeper::seed_keeper(metadata_store& store, std::string availabilityZone, std::string address, seed_keeper_hooks hooks)
    : m_store(store)
    , m_zone(std::move(availabilityZone))
    , m_address(std::move(address))
    , m_hooks(std::move(hooks))
{
}

void seed_keeper::tick(const seed_duty& duty, time_point now)
{
    bool hasBecomeAlone = duty.alone && !m_duty.alone;
    m_duty = duty;
    if (hasBecomeAlone) {
        m_nextRead = now;
    }
    bool first = m_counts.reads == 0;
    if (m_calling || now < m_nextRead || !(first || duty.alone || duty.number)) {
        return;
    }
    read();
}

void seed_keeper::storeReturned(time_point now)
{
    readAgainAfter(returnPause, now);
}

void seed_keeper::read()
{
    m_calling = true;
    ++m_counts.reads;
    m_store.rangePrefix(seedPrefix, callTimeout, [this](const store_result<store_range>& result) {
        m_calling = false;
        auto now = m_hooks.now();
        if (const auto* range = std::get_if<store_range>(&result)) {
            seedsArrived(*range, now);
        } else {
            callFailed(now);
        }
    });
}

void seed_keeper::seedsArrived(const store_range& range, time_point now)
{
    m_failuresInARow = 0;
    m_readsWhileAlone = m_duty.alone ? m_readsWhileAlone + 1 : 0;
    auto pause = m_duty.alone ? doubled(firstAloneRead, m_readsWhileAlone, lastAloneRead) : refreshPeriod;
    readAgainAfter(pause, now);
    std::vector<std::string> addresses;
    for (const auto& entry : range.entries) {
        addresses.push_back(entry.value);
    }
    m_hooks.seedsRead(std::move(addresses));
    keepOwn(range);
}

void seed_keeper::keepOwn(const store_range& range)
{
    bool others = std::any_of(range.entries.begin(), range.entries.end(), [this](const store_entry& entry) { return entry.value != m_address; });
    bool mayReplace = !m_duty.alone || !others || m_readsWhileAlone > readsBeforeReplacing;
    if (!m_duty.number || !mayReplace) {
        return;
    }
    auto key = seedKey(m_zone, *m_duty.number);
    std::int64_t expectedRevision = 0;
    for (const auto& entry : range.entries) {
        if (entry.key == key && entry.value == m_address) {
            return;
        }
        expectedRevision = entry.key == key ? entry.modRevision : expectedRevision;
    }
    write(key, expectedRevision);
}

// A write that was lost, or lost a race, is looked after by the next read.
void seed_keeper::write(const std::string& key, std::int64_t expectedRevision)
{
    m_calling = true;
    ++m_counts.writes;
    m_store.swap(key, expectedRevision, m_address, callTimeout, [this](const store_result<store_swap>& result) {
        m_calling = false;
        const auto* swap = std::get_if<store_swap>(&result);
        if (!swap) {
            callFailed(m_hooks.now());
            return;
        }
        if (!swap->succeeded && !swap->standing.empty()) {
            m_hooks.seedsRead({ swap->standing.front().value });
        }
    });
}

void seed_keeper::callFailed(time_point now)
{
    ++m_counts.failures;
    readAgainAfter(doubled(firstBackoff, m_failuresInARow, lastBackoff), now);
    ++m_failuresInARow;
}

// Spread by half the time either way, so that nodes do not call in step.
void seed_keeper::readAgainAfter(milliseconds pause, time_point now)
{
    auto jitter = m_hooks.random(static_cast<std::uint64_t>(pause.count()));
    m_nextRead = now + pause / 2 + milliseconds(jitter);
}

}
