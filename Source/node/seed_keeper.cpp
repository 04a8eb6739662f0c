#include "node/seed_keeper.h"

#include "store/seed_directory.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds callTimeout { 2000 };
    constexpr milliseconds refreshPeriod { 60000 };
    constexpr milliseconds initialAloneReadDelay { 250 };
    // Nodes that a cut has separated for long find each other soon after its end.
    constexpr milliseconds maxAloneReadDelay { 4000 };
    // Delay of a read that other news of the store is the reason for; jitter changes it by up to half.
    constexpr milliseconds soonDelay { 600 };
    constexpr milliseconds initialBackoff { 1000 };
    constexpr milliseconds maxBackoff { 60000 };
    // Seeds that were read have the time of this many reads to respond before a node that is
    // still alone replaces one.
    constexpr std::uint32_t readsBeforeReplacing = 4;

    milliseconds exponentialDelay(milliseconds initial, std::uint32_t doublings, milliseconds max)
    {
        constexpr std::uint32_t maxDoublings = 16;
        return std::min(max, initial * (1 << std::min(doublings, maxDoublings)));
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
    bool isFirstRead = m_counts.reads == 0;
    if (m_calling || now < m_nextRead || !(isFirstRead || duty.alone || duty.number)) {
        return;
    }
    read();
}

void seed_keeper::readSoon(time_point now)
{
    m_consecutiveFailures = 0;
    scheduleRead(soonDelay, now);
}

void seed_keeper::read()
{
    m_calling = true;
    ++m_counts.reads;
    m_store.rangePrefix(seedPrefix, callTimeout, [this](const store_result<store_range>& result) {
        m_calling = false;
        auto now = m_hooks.now();
        if (const auto* range = std::get_if<store_range>(&result)) {
            handleSeeds(*range, now);
        } else {
            callFailed(now);
        }
    });
}

void seed_keeper::handleSeeds(const store_range& range, time_point now)
{
    m_consecutiveFailures = 0;
    m_readsWhileAlone = m_duty.alone ? m_readsWhileAlone + 1 : 0;
    auto delay = m_duty.alone ? exponentialDelay(initialAloneReadDelay, m_readsWhileAlone, maxAloneReadDelay) : refreshPeriod;
    scheduleRead(delay, now);
    std::vector<std::string> addresses;
    for (const auto& entry : range.entries) {
        addresses.push_back(entry.value);
    }
    m_hooks.seedsRead(std::move(addresses));
    writeOwnSeed(range);
}

void seed_keeper::writeOwnSeed(const store_range& range)
{
    bool hasOtherSeeds = std::any_of(range.entries.begin(), range.entries.end(), [this](const store_entry& entry) { return entry.value != m_address; });
    bool mayReplace = !m_duty.alone || !hasOtherSeeds || m_readsWhileAlone > readsBeforeReplacing;
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

// A write that fails, or that loses a race with another node, is repeated after the next read.
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
    scheduleRead(exponentialDelay(initialBackoff, m_consecutiveFailures, maxBackoff), now);
    ++m_consecutiveFailures;
}

// Adds jitter of up to half the delay either way, so that nodes do not call the store at the same time.
void seed_keeper::scheduleRead(milliseconds delay, time_point now)
{
    auto jitter = m_hooks.random(static_cast<std::uint64_t>(delay.count()));
    m_nextRead = now + delay / 2 + milliseconds(jitter);
}

}
