#pragma once

#include "budget/byte_budget.h"

#include <chrono>
#include <cstdint>
#include <memory>

namespace vanillashunt {

// The room that one message holds in a budget, from its first byte until the message is destroyed.
// Without a budget every room is granted.
class byte_reservation {
public:
    using time_point = std::chrono::steady_clock::time_point;

    byte_reservation() = default;
    byte_reservation(std::shared_ptr<byte_budget>, byte_place);
    byte_reservation(byte_reservation&&) noexcept;
    byte_reservation& operator=(byte_reservation&&) noexcept;
    byte_reservation(const byte_reservation&) = delete;
    byte_reservation& operator=(const byte_reservation&) = delete;
    ~byte_reservation();

    // Asks for room for `wantedBytes` in all, for a message that grows to `mostBytes` at most. If it has
    // to wait, the handler is called with Granted or Refused later, and not before it asks. A message that
    // was granted room beyond its share may still be refused later, by the latest handler.
    byte_grant reserve(std::uint64_t wantedBytes, std::uint64_t mostBytes, time_point now, byte_grant_handler);

    // The message is complete and holds this many bytes from now on, whether or not they were reserved.
    void complete(std::uint64_t bytes);

    // The same if there is room for the share of the message; otherwise returns false. For messages that can be
    // refused although they have arrived.
    bool completeIfRoom(std::uint64_t bytes);

    void release();

    std::uint64_t heldBytes() const;

private:
    std::shared_ptr<byte_budget> m_budget;
    byte_place m_place = byte_place::Caller;
    // Bytes held, unless the message grows beyond its share; then the budget knows them.
    std::uint64_t m_held = 0;
    // Nonzero while the message grows beyond its share, or waits for a part of it.
    std::uint64_t m_turn = 0;
    // Until the message is complete.
    bool m_isArriving = true;
};

// The room to ask for before a further part of a message is received: in steps, so that the parts that
// follow need not ask again.
std::uint64_t nextReservation(std::uint64_t receivedBytes, std::uint64_t mostBytes);

}
