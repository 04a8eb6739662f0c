#include "caller/connection_loss.h"

namespace vanillashunt {

const char* toString(connection_loss_cause cause)
{
    switch (cause) {
    case connection_loss_cause::ClientClosed:
        return "client_closed";
    case connection_loss_cause::WriteFailed:
        return "write_failed";
    case connection_loss_cause::AnswerNotRead:
        return "answer_not_read";
    case connection_loss_cause::NodeEnded:
        break;
    }
    return "node_ended";
}

}
