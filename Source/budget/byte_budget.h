#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace vanillashunt {

// Where the bytes of a message come from.
enum class byte_place : std::uint8_t {
    Caller, // Requests of clients and of the local backend server.
    PeerRequest, // Requests of other nodes.
    PeerAnswer, // Answers of other nodes.
    Server, // Answers of the local backend server.
    Control, // Messages of the store, of operators and of servers that report.
};

constexpr std::size_t bytePlaceCount = static_cast<std::size_t>(byte_place::Control) + 1;

// The name in logs, dumps and metrics, for example "peer_request".
const char* toString(byte_place);

// What a node holds for a request in progress beside the bytes of the request: its state, and the connection
// to the node that it was sent to.
constexpr std::uint64_t requestStateBytes = 8192;

// The answer to a message that asks for room.
enum class byte_grant : std::uint8_t {
    Granted,
    Waiting, // Granted or refused later.
    Refused, // The message has to be given up.
};

using byte_grant_handler = std::function<void(byte_grant)>;

enum class byte_refusal_cause : std::uint8_t {
    WaitedTooLong, // No room became free in time.
    GrewTooLong, // Others waited for the room that it occupied while it was received.
    NoSmallRoom, // The room for small messages is used up.
};

constexpr std::size_t byteRefusalCauseCount = static_cast<std::size_t>(byte_refusal_cause::NoSmallRoom) + 1;

const char* toString(byte_refusal_cause);

struct byte_refusal {
    byte_place place = byte_place::Caller;
    byte_refusal_cause cause = byte_refusal_cause::WaitedTooLong;
    // Bytes that the message held already.
    std::uint64_t heldBytes = 0;
};

struct byte_budget_settings {
    // Bytes that all messages together may hold.
    std::uint64_t totalBytes = 128ULL * 1024 * 1024;
    // A message holds no more than this without a turn to grow.
    std::uint64_t freeShareBytes = 64ULL * 1024;
    // How long a message waits for room.
    std::chrono::milliseconds maxWait { 5000 };
    // How long a message may take to arrive while others wait for the room that it occupies.
    std::chrono::milliseconds maxGrowth { 5000 };
};

struct byte_budget_counts {
    // Times that a message had to wait for room.
    std::uint64_t waits = 0;
    std::array<std::uint64_t, byteRefusalCauseCount> refusals {};
};

// Bounds the bytes that one node holds for messages. Each message has a free share, from a part of the
// budget that is kept for small messages; if that part is used up, from the room that no large message
// needs. What a message holds beyond its share comes from the rest, in the order in which messages exceeded
// their shares: the first one may always grow to its full size, and the others only into what that one
// leaves. So one message at least completes or is cut off, and the others follow it. A message that is
// complete keeps its room until it is released. A fraction of the part for small messages is kept for
// complete ones, so that requests which arrive at once are not refused for others that arrive slowly.
class byte_budget : public std::enable_shared_from_this<byte_budget> {
public:
    using time_point = std::chrono::steady_clock::time_point;
    using refusal_handler = std::function<void(const byte_refusal&)>;

    explicit byte_budget(const byte_budget_settings&);

    // Called for each refused message. Optional.
    void setRefusalHandler(refusal_handler handler) { m_refused = std::move(handler); }

    // Grants room that became free in the order of the turns, and refuses those that waited too long. Room
    // is given to waiting messages here only, so this must be called several times a second while
    // messages wait.
    void tick(time_point now);

    // The most that one message may ever hold.
    std::uint64_t maxMessageBytes() const { return m_largeBytes; }
    std::uint64_t totalBytes() const { return m_settings.totalBytes; }
    std::uint64_t heldBytes() const { return m_arrivingSmall + m_completeSmall + m_largeHeld; }
    std::uint64_t heldBytes(byte_place place) const { return m_heldByPlace[static_cast<std::size_t>(place)]; }
    // Messages that hold more than their share and are not complete.
    std::size_t growing() const { return m_growing.size(); }
    std::size_t waiting() const;
    const byte_budget_counts& counts() const { return m_counts; }

private:
    friend class byte_reservation;

    // A message that holds or needs more than its share and is not complete.
    struct growing_message {
        byte_place place = byte_place::Caller;
        std::uint64_t heldBytes = 0;
        // The size up to which it may grow.
        std::uint64_t mostBytes = 0;
        // The size that it waits for; 0 unless it waits.
        std::uint64_t wantedBytes = 0;
        time_point since;
        time_point waitingSince;
        byte_grant_handler handler;
    };

    using turn_map = std::map<std::uint64_t, growing_message>;

    // Which kinds of room earlier messages wait for.
    struct blocked_room {
        bool small = false;
        bool large = false;
    };

    std::uint64_t smallPart(std::uint64_t bytes) const;
    std::uint64_t largePart(std::uint64_t bytes) const;
    void accountArriving(byte_place, std::uint64_t heldBefore, std::uint64_t heldAfter);
    void accountComplete(byte_place, std::uint64_t heldBefore, std::uint64_t heldAfter, bool wasArriving);
    std::uint64_t excessOfShares(std::uint64_t smallHeld, std::uint64_t completeSmall) const;
    bool hasRoomToArrive(std::uint64_t heldBytes, std::uint64_t wantedBytes, std::uint64_t turn) const;
    bool hasRoomToComplete(std::uint64_t heldBytes, std::uint64_t bytes, bool isArriving) const;
    std::uint64_t reservedForFirst(std::uint64_t turn) const;
    bool grow(turn_map::value_type&, std::uint64_t wantedBytes, const blocked_room&);
    void noteBlocked(const growing_message&, blocked_room&) const;
    blocked_room blockedBefore(std::uint64_t turn) const;
    std::vector<std::uint64_t> grantWaiting();
    std::optional<std::uint64_t> overdueFirst(time_point now) const;
    void refuse(std::uint64_t turn, byte_refusal_cause);
    void reportRefusal(const byte_refusal&);

    byte_budget_settings m_settings;
    std::uint64_t m_smallBytes;
    std::uint64_t m_largeBytes;
    // The shares of messages that are received, and of complete ones.
    std::uint64_t m_arrivingSmall = 0;
    std::uint64_t m_completeSmall = 0;
    std::uint64_t m_largeHeld = 0;
    std::array<std::uint64_t, bytePlaceCount> m_heldByPlace {};
    // By turn, in the order in which messages exceeded their shares.
    turn_map m_growing;
    std::uint64_t m_lastTurn = 0;
    byte_budget_counts m_counts;
    refusal_handler m_refused;
};

// The budget of a node with this limit on the memory of its process: what is left beside the process
// itself, with a margin for the allocator and for bytes in buffers of sockets.
std::uint64_t messageBudget(std::uint64_t memoryBytes);

}
