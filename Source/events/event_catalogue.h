#pragma once

#include "events/event.h"

#include <array>

// Every event that a node logs; docs/EVENTS.md tells of each. A number is never
// given to another event.
namespace vanillashunt::events {

inline constexpr event nodeStarted { 100, severity::Info, "node started" };
inline constexpr event drainStarted { 101, severity::Info, "planned stop started" };
inline constexpr event nodeStopped { 102, severity::Info, "node stopped" };
inline constexpr event portNotBound { 104, severity::Error, "a port cannot be opened" };
inline constexpr event stopWithdrawn { 103, severity::Info, "planned stop withdrawn" };
inline constexpr event logLinesLeftOut { 106, severity::Warning, "log lines left out, since nobody read them" };
inline constexpr event stopWaits { 107, severity::Info, "planned stop waits for what is in progress" };
inline constexpr event stopTimedOut { 108, severity::Warning, "planned stop ends with work in progress" };
inline constexpr event runCutByStop { 109, severity::Warning, "run cut off by the end of a planned stop" };
inline constexpr event backendServerAnnounced { 110, severity::Info, "backend server announced" };
inline constexpr event backendServerLeaves { 111, severity::Info, "backend server leaves" };
inline constexpr event serverReportRefused { 112, severity::Warning, "a report that no server wrote was refused" };
inline constexpr event backendServerEnded { 113, severity::Warning, "backend server ended with requests running" };
inline constexpr event serverLoadUnreadable { 114, severity::Warning, "the load that a server tells cannot be read" };
inline constexpr event serverReportTaken { 115, severity::Debug, "report of the backend server taken" };
inline constexpr event backendServerNotServing { 116, severity::Info, "backend server reported ready but failed its health probe" };
inline constexpr event serverRateLimitChanged { 117, severity::Info, "rate limit of the backend server changed" };
inline constexpr event serverAnnouncesLeaving { 118, severity::Info, "backend server announced in an answer that it leaves" };
inline constexpr event serverNoticeUnreadable { 119, severity::Warning, "an announcement of the backend server cannot be read" };
inline constexpr event nameTakenOver { 120, severity::Error, "another node took over this node's name or address" };
inline constexpr event gossipDropped { 121, severity::Warning, "gossip datagram dropped: invalid or from another mesh" };
inline constexpr event contractsChanged { 130, severity::Info, "contracts changed" };
inline constexpr event routesChanged { 131, severity::Info, "routes changed" };
inline constexpr event routesUnreadable { 132, severity::Error, "a version of the routes cannot be read" };
inline constexpr event storeLost { 133, severity::Warning, "the platform's store does not answer" };
inline constexpr event storeBack { 134, severity::Info, "the platform's store answers again" };
inline constexpr event poisonChanged { 135, severity::Info, "more is known of requests that end servers" };
inline constexpr event poisonUnreadable { 136, severity::Error, "the document on requests that end servers cannot be read" };
inline constexpr event storeReturned { 137, severity::Warning, "the platform's store came back from an earlier copy" };
inline constexpr event storeEraUnreadable { 138, severity::Warning, "the era of the platform's store cannot be read" };
inline constexpr event routesOutdated { 139, severity::Warning, "the routes may be out of date" };
inline constexpr event routesUpToDate { 140, severity::Info, "the routes are known to be up to date again" };
inline constexpr event settingsReread { 105, severity::Info, "settings file read again" };
inline constexpr event callShed { 200, severity::Warning, "call shed at the own backend server" };
inline constexpr event attemptFailed { 203, severity::Info, "attempt brought no answer of a backend server" };
inline constexpr event callRejected { 204, severity::Info, "call not admitted to the own backend server" };
inline constexpr event serverLoad { 205, severity::Info, "load of the own backend server" };
inline constexpr event attemptRepeated { 206, severity::Info, "request sent to another target" };
inline constexpr event ticketHandedOver { 207, severity::Info, "a request's ticket was handed over to another home" };
inline constexpr event clientConnectionFull { 208, severity::Info, "client connection is full" };
inline constexpr event clientConnectionLost { 209, severity::Warning, "client connection ended with requests unanswered" };
inline constexpr event messageRefused { 210, severity::Warning, "no memory for a message" };
inline constexpr event answerCutOff { 211, severity::Warning, "answer of the backend server cut off because of its size" };
inline constexpr event requestRefused { 201, severity::Warning, "request refused at its entry" };
inline constexpr event requestUnknown { 202, severity::Warning, "request may have run without an answer" };

inline constexpr std::array all { nodeStarted, drainStarted, nodeStopped, stopWithdrawn, stopWaits, stopTimedOut, runCutByStop, portNotBound, backendServerAnnounced, backendServerLeaves, serverReportRefused, backendServerEnded, serverLoadUnreadable, serverReportTaken, backendServerNotServing, serverRateLimitChanged, serverAnnouncesLeaving, serverNoticeUnreadable, nameTakenOver, gossipDropped, contractsChanged, routesChanged, routesUnreadable, storeLost, storeBack, poisonChanged, poisonUnreadable, storeReturned, storeEraUnreadable, routesOutdated, routesUpToDate, settingsReread, callShed, requestRefused, requestUnknown, attemptFailed, callRejected, serverLoad, attemptRepeated, ticketHandedOver, clientConnectionFull, clientConnectionLost, messageRefused, answerCutOff, logLinesLeftOut };

}
