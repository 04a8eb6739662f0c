#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace vanillashunt {

// Whether a backend server may have run a request.
enum class execution : std::uint8_t {
    NotRun, // No backend server has run it, and none will.
    MayHaveRun, // Nobody can know.
    Ran, // A backend server ran it, and its answer is at hand.
};

// Why a request got the verdict that it has.
enum class verdict_reason : std::uint8_t {
    Answered, // The backend server answered.
    UnknownService, // No contract or member names the service.
    UnknownOrganisation, // No contract in force is for the organisation.
    UnknownClass, // The organisation's contract has no class for the request.
    Malformed, // A header or frame could not be read.
    TooLarge, // The body is over the bound of the settings.
    Overload, // Shed by position or by a full queue.
    OverShare, // The organisation is over its share while others wait.
    DeadlineTooShort, // It cannot finish in the time that it has left.
    DeadlinePassed, // Its time ran out.
    CallerGone, // The caller closed its connection.
    NoBackendServer, // No member can take it now.
    Draining, // The node or its backend server is leaving.
    PeerUnreachable, // No connection to the target's node.
    AnswerLost, // The connection broke before a whole answer came.
    BackendUnreachable, // No connection to the backend server.
    BackendRefused, // The backend server refused and said that it did not run it.
    TicketUnknown, // The ticket names another incarnation, or is out of date.
    TicketNeeded, // A first attempt is to be repeated with the enclosed ticket.
    AnswerNotKept, // It ran, and its answer is no longer kept for repeats.
    NoFreeSlot, // All slots are in use, and the call was not to wait while others may have one.
    Poison, // Servers have ended under requests of the same content.
    UnknownKey, // The request has no key of an organisation, and needs one.
    UnknownParent, // The request that it says it is made for is not running here.
    OverQuota, // The organisation has had all the requests that it may have now.
};

constexpr int verdictReasonCount = static_cast<int>(verdict_reason::OverQuota) + 1;

// The word that callers see, for example "not_run".
std::string toString(execution);
std::string toString(verdict_reason);
std::optional<execution> parseExecution(const std::string& word);

// What is known of a request's execution, why, and when a refused caller is to
// come back.
struct verdict {
    execution run = execution::NotRun;
    verdict_reason reason = verdict_reason::Answered;
    // How long the caller is to wait before it repeats; zero where none is advised.
    std::chrono::milliseconds retryAfter { 0 };

    static verdict notRun(verdict_reason, std::chrono::milliseconds retryAfter = {});
    static verdict mayHaveRun(verdict_reason);
    static verdict answered();
    static verdict ran(verdict_reason);
};

}
