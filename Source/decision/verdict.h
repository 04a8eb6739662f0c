#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace vanillashunt {

// Whether a backend server may have run a request.
enum class execution : std::uint8_t {
    NotRun, // No backend server has run it, and none will.
    MayHaveRun, // It is unknown whether one has run it or will.
    Ran, // A backend server ran it.
};

// Why a request has its verdict.
enum class verdict_reason : std::uint8_t {
    Answered, // The backend server answered.
    UnknownService, // No contract or member names the service.
    UnknownOrganisation, // The organisation has no contract in force.
    UnknownClass, // The organisation's contract has no class for the request.
    Malformed, // A header or frame could not be read.
    TooLarge, // The body exceeds the size limit of the settings.
    Overload, // Shed because of its position or a full queue.
    OverShare, // The organisation exceeds its share while others wait.
    DeadlineTooShort, // It cannot finish before its deadline.
    DeadlinePassed, // Its deadline has passed.
    CallerGone, // The caller closed its connection.
    NoBackendServer, // No member can take it at present.
    Draining, // The node or its backend server is leaving.
    PeerUnreachable, // No connection to the target's node.
    AnswerLost, // The connection broke before the answer was complete.
    BackendUnreachable, // No connection to the backend server.
    BackendRefused, // The backend server refused it and reported that it did not run it.
    TicketUnknown, // The ticket names another incarnation, or has expired.
    TicketNeeded, // The caller has to repeat the request with the enclosed ticket.
    AnswerNotKept, // It ran, but its answer is no longer kept for repeats.
    NoFreeSlot, // All slots are in use, and the call does not wait while other servers may have a free one.
    Poison, // Servers have ended while running requests with the same content.
    UnknownKey, // The request needs the API key of an organisation and has none that is known.
    UnknownParent, // The parent request that it names is not running here.
    OverQuota, // The organisation has used up its request quota.
    AnswerTooLarge, // The backend server's answer exceeds the size limit, or has no end.
    NoMemory, // The node has no room for the message.
};

constexpr int verdictReasonCount = static_cast<int>(verdict_reason::NoMemory) + 1;

// The name on the wire, for example "not_run".
std::string toString(execution);
std::string toString(verdict_reason);
std::optional<execution> parseExecution(const std::string& name);

// Whether a request was run, why it was answered that way, and when a refused caller
// may retry.
struct verdict {
    execution run = execution::NotRun;
    verdict_reason reason = verdict_reason::Answered;
    // How long the caller should wait before it retries; zero if no wait is advised.
    std::chrono::milliseconds retryAfter { 0 };

    static verdict notRun(verdict_reason, std::chrono::milliseconds retryAfter = {});
    static verdict mayHaveRun(verdict_reason);
    static verdict answered();
    static verdict ran(verdict_reason);
};

}
