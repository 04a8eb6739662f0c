#pragma once

#include <cstddef>

namespace vanillashunt {

enum class connection_loss_cause {
    ClientClosed, // The client closed or reset the connection.
    WriteFailed, // An answer could not be sent.
    AnswerNotRead, // The client did not read an answer within the time limit.
    NodeEnded, // The node's process ends.
};

// The end of a client connection that had unanswered requests.
struct connection_loss {
    connection_loss_cause cause = connection_loss_cause::ClientClosed;
    std::size_t unanswered = 0;
    // Bytes received from the client and not parsed.
    std::size_t unparsedBytes = 0;
};

// The cause in log lines, for example "client_closed".
const char* toString(connection_loss_cause);

}
