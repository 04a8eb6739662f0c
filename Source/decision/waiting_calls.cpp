#include "decision/waiting_calls.h"

#include <algorithm>
#include <tuple>

namespace vanillashunt {

bool waiting_calls::better_placed::operator()(const waiting_call& a, const waiting_call& b) const
{
    return std::tie(b.position, a.deadline, a.order) < std::tie(a.position, b.deadline, b.order);
}

bool waiting_calls::ranked_customer::operator<(const ranked_customer& other) const
{
    return std::tie(rank, customer) < std::tie(other.rank, other.customer);
}

bool waiting_calls::by_deadline::operator<(const by_deadline& other) const
{
    return std::tie(deadline, callId) < std::tie(other.deadline, other.callId);
}

waiting_calls::waiting_calls(const customer_shares& shares)
    : m_shares(shares)
{
}

waiting_calls::level_queue& waiting_calls::levelOf(shedding_position position)
{
    return m_levels[position / positionsPerImportance];
}

void waiting_calls::rank(level_queue& level, customer_index customer)
{
    auto& queue = level.customers.at(customer);
    if (queue.calls.empty()) {
        return;
    }
    queue.share = m_shares.share(customer);
    queue.load = static_cast<double>(queue.calls.size()) / queue.share;
    level.byTurn.insert({ queue.turn, customer });
    level.byLoad.insert({ queue.load, customer });
    level.waitingShares += queue.share;
}

void waiting_calls::unrank(level_queue& level, customer_index customer)
{
    const auto& queue = level.customers.at(customer);
    if (queue.calls.empty()) {
        return;
    }
    level.byTurn.erase({ queue.turn, customer });
    level.byLoad.erase({ queue.load, customer });
    level.waitingShares -= queue.share;
}

void waiting_calls::add(waiting_call call)
{
    call.order = ++m_arrivals;
    auto& level = levelOf(call.position);
    auto& queue = level.customers[call.customer];
    unrank(level, call.customer);
    if (queue.calls.empty()) {
        // Time in which a customer asked for nothing is not saved up.
        queue.turn = std::max(queue.turn, level.virtualTime);
    }
    queue.calls.insert(call);
    rank(level, call.customer);
    ++level.size;
    m_byDeadline.insert({ call.deadline, call.callId });
    m_byId.emplace(call.callId, call);
}

std::optional<waiting_call> waiting_calls::remove(std::uint64_t callId)
{
    return remove(callId, 0);
}

// Charges the customer for so many turns.
std::optional<waiting_call> waiting_calls::remove(std::uint64_t callId, double turns)
{
    auto node = m_byId.extract(callId);
    if (!node) {
        return std::nullopt;
    }
    const auto& call = node.mapped();
    auto& level = levelOf(call.position);
    auto& queue = level.customers.at(call.customer);
    unrank(level, call.customer);
    queue.calls.erase(call);
    queue.turn += turns / m_shares.share(call.customer);
    rank(level, call.customer);
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
        return &*level->customers.at(level->byTurn.begin()->customer).calls.begin();
    }
    return nullptr;
}

waiting_call waiting_calls::takeNext()
{
    auto call = *next();
    auto& level = levelOf(call.position);
    level.virtualTime = level.customers.at(call.customer).turn;
    remove(call.callId, 1);
    return call;
}

const waiting_call* waiting_calls::worst() const
{
    for (const auto& level : m_levels) {
        if (level.size == 0) {
            continue;
        }
        return &*level.customers.at(level.byLoad.rbegin()->customer).calls.rbegin();
    }
    return nullptr;
}

const waiting_call* waiting_calls::worst(importance level, customer_index customer) const
{
    const auto& customers = m_levels[static_cast<std::size_t>(level)].customers;
    auto found = customers.find(customer);
    if (found == customers.end() || found->second.calls.empty()) {
        return nullptr;
    }
    return &*found->second.calls.rbegin();
}

double waiting_calls::load(importance level, customer_index customer, std::size_t more) const
{
    const auto& customers = m_levels[static_cast<std::size_t>(level)].customers;
    auto found = customers.find(customer);
    auto count = more + (found == customers.end() ? 0 : found->second.calls.size());
    return static_cast<double>(count) / m_shares.share(customer);
}

double waiting_calls::meanLoad(importance level) const
{
    const auto& queue = m_levels[static_cast<std::size_t>(level)];
    return queue.size == 0 ? 0 : static_cast<double>(queue.size) / queue.waitingShares;
}

bool waiting_calls::othersWait(importance level, customer_index customer) const
{
    const auto& waiting = m_levels[static_cast<std::size_t>(level)].byLoad;
    return waiting.size() > 1 || (waiting.size() == 1 && waiting.begin()->customer != customer);
}

std::size_t waiting_calls::ahead(const waiting_call& call) const
{
    auto levelIndex = call.position / positionsPerImportance;
    std::size_t higher = 0;
    for (auto index = levelIndex + 1; index < m_levels.size(); ++index) {
        higher += m_levels[index].size;
    }
    const auto& level = m_levels[levelIndex];
    auto found = level.customers.find(call.customer);
    auto share = m_shares.share(call.customer);
    auto shares = level.waitingShares;
    double own = 0;
    if (found == level.customers.end() || found->second.calls.empty()) {
        shares += share;
    } else {
        own = static_cast<double>(found->second.calls.order_of_key(call));
    }
    // While the customer's own calls take their turns, the others take theirs.
    auto withOthers = static_cast<std::size_t>(own * shares / share);
    return higher + std::min(withOthers, level.size);
}

std::optional<waiting_call> waiting_calls::takeExpired(std::chrono::steady_clock::time_point now)
{
    if (m_byDeadline.empty() || m_byDeadline.begin()->deadline > now) {
        return std::nullopt;
    }
    return remove(m_byDeadline.begin()->callId);
}

}
