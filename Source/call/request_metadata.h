#pragma once

#include "call/http_field.h"
#include "call/server_load.h"

#include <chrono>
#include <optional>
#include <string>

namespace vanillashunt {

// What the headers of a platform say of requests and answers, whatever it calls them.

// What a client says of a request beside its target and body.
struct request_metadata {
    // Names one attempt of the client.
    std::string requestId;
    // The id of the request that this one seems to be made for; whoever uses it has
    // to know that request. Empty if there is none.
    std::string parentId;
    // How long the client goes on waiting; nothing if it does not say.
    std::optional<std::chrono::milliseconds> remaining;
    // Tells which organisation asks; nothing if the client names none.
    std::optional<std::string> key;
    // Whether there are several of the fields that hold it, so that nobody can say which counts.
    bool hasSeveralKeys = false;
};

// What the node tells its server of a request.
struct server_request_metadata {
    std::chrono::milliseconds remaining { 0 };
    // The only start of the server that may run it.
    std::string instanceId;
    // The service beside which the request began.
    std::string callerService;
    // Who asks; empty where nobody was told apart.
    std::string organisation;
};

// What a server says of its answer.
struct answer_metadata {
    // Empty if the answer names none.
    std::string requestId;
    // Whether the server signed the answer.
    bool isSealed = false;
    // Whether it says that it did not run the request.
    bool isNotExecuted = false;
    // Whether the body is another than the server's own bytes.
    bool isEncoded = false;
    // What it tells of its load; nothing where it does not tell, or nobody can read it.
    std::optional<server_load> load;
    bool isLoadUnreadable = false;
};

}
