#pragma once

#include "http/http_message.h"

#include <memory>
#include <string>

namespace vanillashunt {

// What became of a request.
struct read_answer {
    // Whether the reader took an answer for whole.
    bool isWhole = false;
    // Without a whole answer: whether the reader says that the request may have run.
    bool mayHaveRun = false;
    unsigned status = 0;
    http_fields fields;
    std::string body;
};

// One of the clients by which nodes send requests and read HTTP answers.
class answer_reader {
public:
    virtual ~answer_reader() = default;

    // Sends to "IP:port", and waits for the result.
    virtual read_answer send(const std::string& address, const http_request&) = 0;

    // Sends two requests, the second one as soon as there is a result of the first; waits for that of the second.
    virtual read_answer sendInTurn(const std::string& address, const http_request& first, const http_request& second) = 0;
};

// The client of a routed node for its server.
std::unique_ptr<answer_reader> makeInstanceReader();

// The client of the command "node" for its server, and of every node for the store, health checks and operators' calls.
std::unique_ptr<answer_reader> makeHttpReader();

}
