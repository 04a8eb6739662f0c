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
    m_organisationOf[id] = request.organisation;
    known.waiting.push_back({ id, request.position, request.waitUntil, std::move(handler) });
    ++known.fresh;
    ++m_waiting;
    if (known.sequence == 0 && now >= known.nextAsk) {
        ask(request.organisation, known, now);
    }
    return m_organisationOf.count(id) == 0 ? 0 : id;
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
    auto node = m_organisationOf.extract(requestId);
    if (!node) {
        return;
    }
    auto& waiting = m_entries[node.mapped()].waiting;
    auto found = std::find_if(waiting.begin(), waiting.end(), [requestId](const waiting_request& request) { return request.id == requestId; });
    if (found != waiting.end()) {
        waiting.erase(found);
        --m_waiting;
    }
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

void quota_account::admitWaiting(const std::string& organisation, entry& known, time_point now)
{
    while (known.unused > 0 && !known.waiting.empty()) {
        auto highest = std::max_element(known.waiting.begin(), known.waiting.end(), [](const auto& a, const auto& b) { return a.position < b.position; });
        auto next = std::move(*highest);
        known.waiting.erase(highest);
        --known.unused;
        --m_waiting;
        m_organisationOf.erase(next.id);
        m_admitted.add(organisation, now);
        next.handler(std::nullopt, now);
    }
}

// Refuses waiting requests that cannot be admitted in time.
void quota_account::refuseLate(entry& known, time_point now)
{
    auto earliestAdmission = now + known.wait;
    std::vector<waiting_request> refused;
    for (auto waiter = known.waiting.begin(); waiter != known.waiting.end();) {
        if (waiter->waitUntil > earliestAdmission) {
            ++waiter;
            continue;
        }
        refused.push_back(std::move(*waiter));
        waiter = known.waiting.erase(waiter);
    }
    for (auto& request : refused) {
        --m_waiting;
        m_organisationOf.erase(request.id);
        request.handler(spread(known.wait), now);
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
