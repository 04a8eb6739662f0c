#include "budget/byte_reservation.h"

#include <algorithm>
#include <utility>

namespace vanillashunt {

namespace {

    constexpr std::uint64_t minStep = 4ULL * 1024;
    constexpr std::uint64_t smallStep = 64ULL * 1024;
    constexpr std::uint64_t largeStep = 1024ULL * 1024;

}

byte_reservation::byte_reservation(std::shared_ptr<byte_budget> budget, byte_place place)
    : m_budget(std::move(budget))
    , m_place(place)
{
}

byte_reservation::byte_reservation(byte_reservation&& other) noexcept
    : m_budget(std::move(other.m_budget))
    , m_place(other.m_place)
    , m_held(std::exchange(other.m_held, 0))
    , m_turn(std::exchange(other.m_turn, 0))
    , m_isArriving(other.m_isArriving)
{
}

byte_reservation& byte_reservation::operator=(byte_reservation&& other) noexcept
{
    if (this != &other) {
        release();
        m_budget = std::move(other.m_budget);
        m_place = other.m_place;
        m_held = std::exchange(other.m_held, 0);
        m_turn = std::exchange(other.m_turn, 0);
        m_isArriving = other.m_isArriving;
    }
    return *this;
}

byte_reservation::~byte_reservation()
{
    release();
}

std::uint64_t byte_reservation::heldBytes() const
{
    return m_turn == 0 ? m_held : m_budget->m_growing.at(m_turn).heldBytes;
}

byte_grant byte_reservation::reserve(std::uint64_t wantedBytes, std::uint64_t mostBytes, time_point now, byte_grant_handler handler)
{
    if (!m_budget || wantedBytes <= heldBytes()) {
        return byte_grant::Granted;
    }
    auto& budget = *m_budget;
    if (wantedBytes > budget.maxMessageBytes()) {
        return byte_grant::Refused;
    }
    bool isSmall = wantedBytes <= budget.m_settings.freeShareBytes;
    bool hasExceededShare = heldBytes() > budget.m_settings.freeShareBytes;
    if (m_turn != 0 && !isSmall && !hasExceededShare) {
        // It waited for a part of its share. Its turn to grow beyond begins here.
        m_held = heldBytes();
        budget.m_growing.erase(std::exchange(m_turn, 0));
    }
    if (m_turn == 0 && isSmall && budget.hasRoomToArrive(m_held, wantedBytes, 0)) {
        budget.accountArriving(m_place, m_held, wantedBytes);
        m_held = wantedBytes;
        return byte_grant::Granted;
    }
    if (m_turn == 0) {
        m_turn = ++budget.m_lastTurn;
        budget.m_growing[m_turn] = { m_place, m_held, std::min(mostBytes, budget.maxMessageBytes()), 0, now, now, {} };
    }
    auto& message = *budget.m_growing.find(m_turn);
    message.second.handler = std::move(handler);
    message.second.mostBytes = std::max(message.second.mostBytes, std::min(mostBytes, budget.maxMessageBytes()));
    if (budget.grow(message, wantedBytes, budget.blockedBefore(m_turn))) {
        return byte_grant::Granted;
    }
    message.second.wantedBytes = wantedBytes;
    message.second.waitingSince = now;
    ++budget.m_counts.waits;
    return byte_grant::Waiting;
}

void byte_reservation::complete(std::uint64_t bytes)
{
    if (!m_budget) {
        return;
    }
    auto held = heldBytes();
    m_budget->m_growing.erase(std::exchange(m_turn, 0));
    m_budget->accountComplete(m_place, held, bytes, std::exchange(m_isArriving, false));
    m_held = bytes;
}

bool byte_reservation::completeIfRoom(std::uint64_t bytes)
{
    bool hasRoom = !m_budget || bytes <= heldBytes() || m_budget->hasRoomToComplete(heldBytes(), bytes, m_isArriving);
    if (hasRoom) {
        complete(bytes);
    } else {
        m_budget->reportRefusal({ m_place, byte_refusal_cause::NoSmallRoom, heldBytes() });
    }
    return hasRoom;
}

void byte_reservation::release()
{
    complete(0);
    m_isArriving = true;
}

std::uint64_t nextReservation(std::uint64_t receivedBytes, std::uint64_t mostBytes)
{
    auto step = receivedBytes < largeStep ? minStep : largeStep;
    // Doubled, so that messages which have just begun hold little.
    while (step < smallStep && step <= receivedBytes) {
        step *= 2;
    }
    return std::min(mostBytes, (receivedBytes / step + 1) * step);
}

}
