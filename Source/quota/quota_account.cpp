#include "quota/quota_account.h"

#include <algorithm>
#include <utility>

namespace vanillashunt {

namespace {

    using std::chrono::milliseconds;

    // A pool in the same zone answers within one or two milliseconds, on a slow machine within ten.
    constexpr milliseconds askTimeout { 60 };

    // Longest pause between two asks while the pool is empty. Meanwhile other zones may have lent
    // it some quota.
    constexpr milliseconds longestAskPause { 40 };

    // Advised wait if the pool did not answer; by then another node's pool is used.
    constexpr milliseconds retryWithoutPool { 400 };

}

quota_account::quota_account(quota_account_hooks hooks)
    : m_hooks(std::move(hooks))
{
}

std::uint64_t quota_account::take(const quota_request& request, quota_handler handler, time_point now)
{
    auto& known = m_entries[request.organisation];
    if (known.unused > 0 && known.waiting.empty()) {
        --known.unused;
        m_admitted.add(request.organisation, now);
        handler(std::nullopt, now);
        return 0;
    }
    auto id = ++m_lastId;
    waiting_place place { request.position, id };
    m_requests[id] = { request.organisation, place };
    known.waiting[place] = { request.waitUntil, std::move(handler) };
    ++known.fresh;
    ++m_waiting;
    if (known.sequence == 0 && now >= known.nextAsk) {
        ask(request.organisation, known, now);
    }
    return m_requests.count(id) == 0 ? 0 : id;
}

void quota_account::ask(const std::string& organisation, entry& known, time_point now)
{
    known.sequence = m_hooks.nextSequence();
    known.asked = now;
    quota_ask asked { organisation, static_cast<std::uint32_t>(known.waiting.size()), std::exchange(known.fresh, 0) };
    m_hooks.ask(known.sequence, asked, now);
}

void quota_account::cancel(std::uint64_t requestId)
{
    auto node = m_requests.extract(requestId);
    if (!node) {
        return;
    }
    m_waiting -= m_entries[node.mapped().organisation].waiting.erase(node.mapped().place);
}

void quota_account::giveBack(const std::string& organisation, time_point now)
{
    auto& known = m_entries[organisation];
    ++known.unused;
    admitWaiting(organisation, known, now);
}

void quota_account::granted(std::uint32_t sequence, const quota_grant& grant, time_point now)
{
    auto& known = m_entries[grant.organisation];
    known.unused += grant.count;
    if (known.sequence == sequence) {
        known.sequence = 0;
        known.wait = grant.wait;
        known.nextAsk = now + std::clamp(grant.wait, milliseconds(0), longestAskPause);
    }
    admitWaiting(grant.organisation, known, now);
    refuseLate(known, now);
    if (known.sequence == 0 && known.fresh > 0 && !known.waiting.empty() && grant.wait.count() == 0) {
        ask(grant.organisation, known, now);
    }
}

// An admitted request that ends at once gives its quota back, and the next one is admitted by this loop and not
// by a nested call, so that the stack does not grow with the number of waiting requests.
void quota_account::admitWaiting(const std::string& organisation, entry& known, time_point now)
{
    if (std::exchange(known.admitting, true)) {
        return;
    }
    while (known.unused > 0 && !known.waiting.empty()) {
        auto next = known.waiting.extract(known.waiting.begin());
        --known.unused;
        --m_waiting;
        m_requests.erase(next.key().id);
        m_admitted.add(organisation, now);
        next.mapped().handler(std::nullopt, now);
    }
    known.admitting = false;
}

// Refuses waiting requests that cannot be admitted in time.
void quota_account::refuseLate(entry& known, time_point now)
{
    auto earliestAdmission = now + known.wait;
    std::vector<quota_handler> refused;
    for (auto waiter = known.waiting.begin(); waiter != known.waiting.end();) {
        if (waiter->second.waitUntil > earliestAdmission) {
            ++waiter;
            continue;
        }
        --m_waiting;
        m_requests.erase(waiter->first.id);
        refused.push_back(std::move(waiter->second.handler));
        waiter = known.waiting.erase(waiter);
    }
    for (auto& handler : refused) {
        handler(spread(known.wait), now);
    }
}

// Randomises the advised wait, so that requests refused together are not retried together.
milliseconds quota_account::spread(milliseconds wait) const
{
    auto shortest = wait.count() > 0 ? wait : retryWithoutPool;
    return shortest + milliseconds(m_hooks.chance(static_cast<std::uint64_t>(shortest.count()) + 1));
}

void quota_account::tick(time_point now)
{
    // Iterates over a copy, because handlers may add requests of new organisations.
    std::vector<std::string> organisations;
    for (const auto& [organisation, known] : m_entries) {
        organisations.push_back(organisation);
    }
    for (const auto& organisation : organisations) {
        auto& known = m_entries[organisation];
        if (known.sequence != 0 && now - known.asked >= askTimeout) {
            m_hooks.unanswered(std::exchange(known.sequence, 0), now);
            known.wait = milliseconds(0);
            known.nextAsk = now;
        }
        refuseLate(known, now);
        if (known.sequence == 0 && !known.waiting.empty() && now >= known.nextAsk) {
            ask(organisation, known, now);
        }
        if (known.sequence == 0 && known.waiting.empty() && known.unused == 0 && now >= known.nextAsk) {
            m_entries.erase(organisation);
        }
    }
}

std::size_t quota_account::waiting(const std::string& organisation) const
{
    auto found = m_entries.find(organisation);
    return found == m_entries.end() ? 0 : found->second.waiting.size();
}

std::vector<quota_grant> quota_account::takeUnused()
{
    std::vector<quota_grant> result;
    for (auto& [organisation, known] : m_entries) {
        if (known.unused > 0) {
            result.push_back({ organisation, std::exchange(known.unused, 0) });
        }
    }
    return result;
}

void quota_account::configurationChanged(time_point now)
{
    m_admitted.forgetIdle(now);
    for (auto& [organisation, known] : m_entries) {
        known.unused = 0;
    }
}

}
