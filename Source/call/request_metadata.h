#pragma once

#include "call/http_field.h"
#include "call/server_load.h"
#include "decision/server_notice.h"

#include <chrono>
#include <optional>
#include <string>

namespace vanillashunt {

// Metadata of requests and answers, independent of the header names of a platform.

// What a client states about a request besides its target and body.
struct request_metadata {
    // Identifies one attempt of the client.
    std::string requestId;
    // The id of the request that this one appears to be made for, to be used only if that
    // request is known. Empty if there is none.
    std::string parentId;
    // How long the client still waits; nothing if it does not say.
    std::optional<std::chrono::milliseconds> remaining;
    // The key that identifies the organisation; nothing if the client sends none.
    std::optional<std::string> key;
    // Whether the request has several key fields, so that it is ambiguous which one applies.
    bool hasSeveralKeys = false;
};

// What a node states about a request that it sends to its backend server.
struct server_request_metadata {
    std::chrono::milliseconds remaining { 0 };
    // Identifies the only server process that may run the request.
    std::string instanceId;
    // Service of the backend server beside the node where the request began.
    std::string callerService;
    // Name of the organisation; empty if organisations are not told apart.
    std::string organisation;
};

// What a backend server states about its answer.
struct answer_metadata {
    // Empty if the answer names none.
    std::string requestId;
    // Whether the answer carries the server's signature.
    bool isSealed = false;
    // Whether the server states that it did not run the request.
    bool isNotExecuted = false;
    // Whether the body has a content encoding, so that it may differ from the server's own bytes.
    bool isEncoded = false;
    // The load that the server reports; nothing if it reports none, or an unreadable one.
    std::optional<server_load> load;
    bool isLoadUnreadable = false;
    // What the server announces; a part that is unreadable is left out.
    server_notice notice;
    bool isRateLimitUnreadable = false;
    bool isLeavingUnreadable = false;
};

}
