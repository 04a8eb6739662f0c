#include "admission/waiting_calls.h"

#include <algorithm>
#include <tuple>

namespace vanillashunt {

bool waiting_calls::starts_before::operator()(const waiting_call& a, const waiting_call& b) const
{
    return std::tie(b.position, a.deadline, a.order) < std::tie(a.position, b.deadline, b.order);
}

bool waiting_calls::ranked_organisation::operator<(const ranked_organisation& other) const
{
    return std::tie(rank, organisation) < std::tie(other.rank, other.organisation);
}

bool waiting_calls::deadline_entry::operator<(const deadline_entry& other) const
{
    return std::tie(deadline, callId) < std::tie(other.deadline, other.callId);
}

waiting_calls::waiting_calls(const organisation_shares& shares)
    : m_shares(shares)
{
}

waiting_calls::level_queue& waiting_calls::levelOf(shedding_position position)
{
    return m_levels[position / positionsPerImportance];
}

void waiting_calls::rank(level_queue& level, organisation_index organisation)
{
    auto& queue = level.organisations.at(organisation);
    if (queue.calls.empty()) {
        return;
    }
    queue.share = m_shares.share(organisation);
    queue.load = static_cast<double>(queue.calls.size()) / queue.share;
    level.byStartTag.insert({ queue.startTag, organisation });
    level.byLoad.insert({ queue.load, organisation });
    level.waitingShares += queue.share;
}

void waiting_calls::unrank(level_queue& level, organisation_index organisation)
{
    const auto& queue = level.organisations.at(organisation);
    if (queue.calls.empty()) {
        return;
    }
    level.byStartTag.erase({ queue.startTag, organisation });
    level.byLoad.erase({ queue.load, organisation });
    level.waitingShares -= queue.share;
}

void waiting_calls::add(waiting_call call)
{
    call.order = ++m_arrivals;
    auto& level = levelOf(call.position);
    auto& queue = level.organisations[call.organisation];
    unrank(level, call.organisation);
    if (queue.calls.empty()) {
        // An organisation gains no credit for the time in which it had no calls waiting.
        queue.startTag = std::max(queue.startTag, level.virtualTime);
    }
    queue.calls.insert(call);
    rank(level, call.organisation);
    ++level.size;
    m_byDeadline.insert({ call.deadline, call.callId });
    m_byId.emplace(call.callId, call);
}

std::optional<waiting_call> waiting_calls::remove(std::uint64_t callId)
{
    return remove(callId, 0);
}

// Charges the organisation for this number of calls.
std::optional<waiting_call> waiting_calls::remove(std::uint64_t callId, double charge)
{
    auto handle = m_byId.extract(callId);
    if (!handle) {
        return std::nullopt;
    }
    const auto& call = handle.mapped();
    auto& level = levelOf(call.position);
    auto& queue = level.organisations.at(call.organisation);
    unrank(level, call.organisation);
    queue.calls.erase(call);
    queue.startTag += charge / m_shares.share(call.organisation);
    rank(level, call.organisation);
    --level.size;
    m_byDeadline.erase({ call.deadline, callId });
    return call;
}

const waiting_call* waiting_calls::next() const
{
    for (auto level = m_levels.rbegin(); level != m_levels.rend(); ++level) {
        if (level->size == 0) {
            continue;
        }
        return &*level->organisations.at(level->byStartTag.begin()->organisation).calls.begin();
    }
    return nullptr;
}

waiting_call waiting_calls::takeNext()
{
    auto call = *next();
    auto& level = levelOf(call.position);
    level.virtualTime = level.organisations.at(call.organisation).startTag;
    remove(call.callId, 1);
    return call;
}

const waiting_call* waiting_calls::evictionCandidate() const
{
    for (const auto& level : m_levels) {
        if (level.size == 0) {
            continue;
        }
        return &*level.organisations.at(level.byLoad.rbegin()->organisation).calls.rbegin();
    }
    return nullptr;
}

const waiting_call* waiting_calls::evictionCandidate(importance level, organisation_index organisation) const
{
    const auto& organisations = m_levels[static_cast<std::size_t>(level)].organisations;
    auto found = organisations.find(organisation);
    if (found == organisations.end() || found->second.calls.empty()) {
        return nullptr;
    }
    return &*found->second.calls.rbegin();
}

double waiting_calls::load(importance level, organisation_index organisation, std::size_t additional) const
{
    const auto& organisations = m_levels[static_cast<std::size_t>(level)].organisations;
    auto found = organisations.find(organisation);
    auto count = additional + (found == organisations.end() ? 0 : found->second.calls.size());
    return static_cast<double>(count) / m_shares.share(organisation);
}

double waiting_calls::meanLoad(importance level) const
{
    const auto& queue = m_levels[static_cast<std::size_t>(level)];
    return queue.size == 0 ? 0 : static_cast<double>(queue.size) / queue.waitingShares;
}

bool waiting_calls::othersWait(importance level, organisation_index organisation) const
{
    const auto& waiting = m_levels[static_cast<std::size_t>(level)].byLoad;
    return waiting.size() > 1 || (waiting.size() == 1 && waiting.begin()->organisation != organisation);
}

std::size_t waiting_calls::ahead(const waiting_call& call) const
{
    auto levelIndex = call.position / positionsPerImportance;
    std::size_t higher = 0;
    for (auto index = levelIndex + 1; index < m_levels.size(); ++index) {
        higher += m_levels[index].size;
    }
    const auto& level = m_levels[levelIndex];
    auto found = level.organisations.find(call.organisation);
    auto share = m_shares.share(call.organisation);
    auto shares = level.waitingShares;
    double own = 0;
    if (found == level.organisations.end() || found->second.calls.empty()) {
        shares += share;
    } else {
        own = static_cast<double>(found->second.calls.order_of_key(call));
    }
    // While the organisation's own calls start, those of the others start in proportion to
    // their shares.
    auto aheadAtLevel = static_cast<std::size_t>(own * shares / share);
    return higher + std::min(aheadAtLevel, level.size);
}

std::optional<waiting_call> waiting_calls::takeExpired(std::chrono::steady_clock::time_point now)
{
    if (m_byDeadline.empty() || m_byDeadline.begin()->deadline > now) {
        return std::nullopt;
    }
    return remove(m_byDeadline.begin()->callId);
}

}
