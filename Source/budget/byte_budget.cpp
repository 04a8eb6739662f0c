#include "budget/byte_budget.h"

#include <algorithm>
#include <utility>

namespace vanillashunt {

namespace {

    // The part of the budget that is kept for the shares of messages.
    constexpr std::uint64_t smallDivisor = 8;
    // The fraction of that part that only complete messages use.
    constexpr std::uint64_t completeDivisor = 4;

    // What a node needs beside messages: its program, the members, routes and journals.
    constexpr std::uint64_t processBytes = 48ULL * 1024 * 1024;
    constexpr std::uint64_t minBudget = 8ULL * 1024 * 1024;
    // The quarter that is left out of the budget is for the allocator and for buffers of sockets.
    constexpr std::uint64_t usedQuarters = 3;

    constexpr std::array<const char*, bytePlaceCount> placeNames { "caller", "peer_request", "peer_answer", "server", "control" };
    constexpr std::array<const char*, byteRefusalCauseCount> causeNames { "waited_too_long", "grew_too_long", "no_small_room" };

}

const char* toString(byte_place place)
{
    return placeNames.at(static_cast<std::size_t>(place));
}

const char* toString(byte_refusal_cause cause)
{
    return causeNames.at(static_cast<std::size_t>(cause));
}

std::uint64_t messageBudget(std::uint64_t memoryBytes)
{
    auto available = memoryBytes > processBytes ? memoryBytes - processBytes : 0;
    return std::max(minBudget, available / 4 * usedQuarters);
}

byte_budget::byte_budget(const byte_budget_settings& settings)
    : m_settings(settings)
    , m_smallBytes(settings.totalBytes / smallDivisor)
    , m_largeBytes(settings.totalBytes - m_smallBytes)
{
}

std::uint64_t byte_budget::smallPart(std::uint64_t bytes) const
{
    return std::min(bytes, m_settings.freeShareBytes);
}

std::uint64_t byte_budget::largePart(std::uint64_t bytes) const
{
    return bytes - smallPart(bytes);
}

// The message is still received.
void byte_budget::accountArriving(byte_place place, std::uint64_t heldBefore, std::uint64_t heldAfter)
{
    m_arrivingSmall += smallPart(heldAfter) - smallPart(heldBefore);
    m_largeHeld += largePart(heldAfter) - largePart(heldBefore);
    m_heldByPlace[static_cast<std::size_t>(place)] += heldAfter - heldBefore;
}

void byte_budget::accountComplete(byte_place place, std::uint64_t heldBefore, std::uint64_t heldAfter, bool wasArriving)
{
    (wasArriving ? m_arrivingSmall : m_completeSmall) -= smallPart(heldBefore);
    m_completeSmall += smallPart(heldAfter);
    m_largeHeld += largePart(heldAfter) - largePart(heldBefore);
    m_heldByPlace[static_cast<std::size_t>(place)] += heldAfter - heldBefore;
}

// The bytes of shares, with what is kept for complete messages, that do not fit into the part for small
// messages. They are taken from the room that no large message needs.
std::uint64_t byte_budget::excessOfShares(std::uint64_t smallHeld, std::uint64_t completeSmall) const
{
    auto keptForComplete = m_smallBytes / completeDivisor;
    auto small = smallHeld + (keptForComplete > completeSmall ? keptForComplete - completeSmall : 0);
    return small > m_smallBytes ? small - m_smallBytes : 0;
}

bool byte_budget::hasRoomToArrive(std::uint64_t heldBytes, std::uint64_t wantedBytes, std::uint64_t turn) const
{
    auto smallHeld = m_arrivingSmall + m_completeSmall + smallPart(wantedBytes) - smallPart(heldBytes);
    auto excess = excessOfShares(smallHeld, m_completeSmall);
    auto neededLarge = largePart(wantedBytes) - largePart(heldBytes);
    return excess + neededLarge == 0 || m_largeHeld + neededLarge + excess + reservedForFirst(turn) <= m_largeBytes;
}

// Only the share needs room: what a complete message holds beyond it is held already.
bool byte_budget::hasRoomToComplete(std::uint64_t heldBytes, std::uint64_t bytes, bool isArriving) const
{
    auto smallHeld = m_arrivingSmall + m_completeSmall + smallPart(bytes) - smallPart(heldBytes);
    auto completeSmall = m_completeSmall + smallPart(bytes) - (isArriving ? 0 : smallPart(heldBytes));
    return smallHeld <= m_smallBytes || m_largeHeld + excessOfShares(smallHeld, completeSmall) + reservedForFirst(0) <= m_largeBytes;
}

// What the first message may still need. It is kept from all others, and not from the first itself.
std::uint64_t byte_budget::reservedForFirst(std::uint64_t turn) const
{
    if (m_growing.empty() || m_growing.begin()->first == turn) {
        return 0;
    }
    const auto& first = m_growing.begin()->second;
    auto most = largePart(first.mostBytes);
    auto held = largePart(first.heldBytes);
    return most <= held ? 0 : most - held;
}

void byte_budget::noteBlocked(const growing_message& message, blocked_room& blocked) const
{
    if (message.wantedBytes == 0) {
        return;
    }
    bool needsLarge = largePart(message.wantedBytes) > largePart(message.heldBytes);
    blocked.large = blocked.large || needsLarge;
    blocked.small = blocked.small || !needsLarge;
}

byte_budget::blocked_room byte_budget::blockedBefore(std::uint64_t turn) const
{
    blocked_room blocked;
    for (const auto& [earlierTurn, message] : m_growing) {
        if (earlierTurn >= turn) {
            break;
        }
        noteBlocked(message, blocked);
    }
    return blocked;
}

bool byte_budget::grow(turn_map::value_type& message, std::uint64_t wantedBytes, const blocked_room& blocked)
{
    auto& state = message.second;
    bool needsLarge = largePart(wantedBytes) > largePart(state.heldBytes);
    if ((needsLarge ? blocked.large : blocked.small) || !hasRoomToArrive(state.heldBytes, wantedBytes, message.first)) {
        return false;
    }
    accountArriving(state.place, state.heldBytes, wantedBytes);
    state.heldBytes = wantedBytes;
    state.wantedBytes = 0;
    return true;
}

std::size_t byte_budget::waiting() const
{
    return static_cast<std::size_t>(std::count_if(m_growing.begin(), m_growing.end(), [](const auto& message) { return message.second.wantedBytes != 0; }));
}

void byte_budget::tick(time_point now)
{
    std::vector<std::uint64_t> expired;
    for (const auto& [turn, message] : m_growing) {
        if (message.wantedBytes != 0 && now - message.waitingSince >= m_settings.maxWait) {
            expired.push_back(turn);
        }
    }
    auto overdue = overdueFirst(now);
    for (auto turn : expired) {
        refuse(turn, byte_refusal_cause::WaitedTooLong);
    }
    if (overdue) {
        refuse(*overdue, byte_refusal_cause::GrewTooLong);
    }
    for (auto turn : grantWaiting()) {
        auto found = m_growing.find(turn);
        // An earlier handler may have released the message.
        if (found != m_growing.end()) {
            auto handler = found->second.handler;
            handler(byte_grant::Granted);
        }
    }
}

// The first message, if others have waited for it for too long.
std::optional<std::uint64_t> byte_budget::overdueFirst(time_point now) const
{
    if (m_growing.empty() || waiting() == 0) {
        return std::nullopt;
    }
    const auto& [turn, first] = *m_growing.begin();
    bool isOverdue = first.wantedBytes == 0 && now - first.since >= m_settings.maxGrowth;
    return isOverdue ? std::optional(turn) : std::nullopt;
}

std::vector<std::uint64_t> byte_budget::grantWaiting()
{
    std::vector<std::uint64_t> granted;
    blocked_room blocked;
    for (auto& message : m_growing) {
        if (message.second.wantedBytes == 0) {
            continue;
        }
        if (grow(message, message.second.wantedBytes, blocked)) {
            granted.push_back(message.first);
        } else {
            noteBlocked(message.second, blocked);
        }
    }
    return granted;
}

void byte_budget::refuse(std::uint64_t turn, byte_refusal_cause cause)
{
    auto found = m_growing.find(turn);
    if (found == m_growing.end()) {
        return;
    }
    auto& message = found->second;
    message.wantedBytes = 0;
    auto handler = message.handler;
    reportRefusal({ message.place, cause, message.heldBytes });
    // The owner of the message releases what it holds.
    handler(byte_grant::Refused);
}

void byte_budget::reportRefusal(const byte_refusal& refusal)
{
    ++m_counts.refusals[static_cast<std::size_t>(refusal.cause)];
    if (m_refused) {
        m_refused(refusal);
    }
}

}
