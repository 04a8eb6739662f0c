#include "quota/quota_account.h"

#include <algorithm>
#include <utility>

namespace vanillashunt {

namespace {

    using std::chrono::milliseconds;

    // A pool in the own zone answers within a millisecond or two, on a slow machine within ten.
    constexpr milliseconds askTimeout { 60 };

    // Between two asks while the pool has nothing: other zones may have lent it some.
    constexpr milliseconds longestAskPause { 40 };

    // Advice where the pool said nothing: another node's pool is found by then.
    constexpr milliseconds returnWithoutPool { 400 };

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
    auto found = std::find_if(waiting.begin(), waiting.end(), [requestId](const waiting_request& each) { return each.id == requestId; });
    if (found != waiting.end()) {
        waiting.erase(found);
        --m_waiting;
    }
}

void quota_account::giveBack(const std::string& organisation, time_point now)
{
    auto& known = m_entries[organisation];
    ++known.unused;
    letThrough(organisation, known, now);
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
    letThrough(grant.organisation, known, now);
    refuseLate(known, now);
    if (known.sequence == 0 && known.fresh > 0 && !known.waiting.empty() && grant.wait.count() == 0) {
        ask(grant.organisation, known, now);
    }
}

void quota_account::letThrough(const std::string& organisation, entry& known, time_point now)
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

// Ends the waits of requests whose turn would not come in time.
void quota_account::refuseLate(entry& known, time_point now)
{
    auto soonest = now + known.wait;
    std::vector<waiting_request> refused;
    for (auto each = known.waiting.begin(); each != known.waiting.end();) {
        if (each->waitUntil > soonest) {
            ++each;
            continue;
        }
        refused.push_back(std::move(*each));
        each = known.waiting.erase(each);
    }
    for (auto& each : refused) {
        --m_waiting;
        m_organisationOf.erase(each.id);
        each.handler(spread(known.wait), now);
    }
}

// Who is refused together does not come back together.
milliseconds quota_account::spread(milliseconds wait) const
{
    auto least = wait.count() > 0 ? wait : returnWithoutPool;
    return least + milliseconds(m_hooks.chance(static_cast<std::uint64_t>(least.count()) + 1));
}

void quota_account::tick(time_point now)
{
    // Whoever is told may send the next request at once.
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
