#pragma once

#include "caller/pipeline_server.h"
#include "http/connection_acceptor.h"
#include "http/first_request.h"
#include "http/message_parser.h"
#include "http/socket_stream.h"

#include <boost/asio.hpp>
#include <boost/beast.hpp>

#include <deque>
#include <optional>
#include <unordered_set>

namespace vanillashunt {

class pipeline_session;

struct pipeline_server::state {
    explicit state(pipeline_server_hooks serverHooks)
        : hooks(std::move(serverHooks))
    {
    }

    std::unique_ptr<connection_acceptor> acceptor;
    pipeline_server_hooks hooks;
    // The open connections. They are owned here, since a connection may have neither a read nor a write
    // outstanding while its requests are processed.
    std::unordered_set<std::shared_ptr<pipeline_session>> sessions;
    pipeline_server_counts counts;
    bool closingAfterAnswers = false;
    bool isStopped = false;
};

// One client connection.
class pipeline_session : public std::enable_shared_from_this<pipeline_session> {
public:
    using time_point = std::chrono::steady_clock::time_point;

    pipeline_session(boost::asio::ip::tcp::socket, std::shared_ptr<pipeline_server::state>);

    void start();
    void enforceTimeouts(time_point now);
    void closeIfIdle(time_point now);
    // Closes the connection without a further answer. The handlers of its requests are not called.
    void abandon();
    // Continues after an answer has become available.
    void advance();
    // Whether nothing is read before an answer has been sent.
    bool isPaused() const;
    std::size_t readAheadBytes() const { return m_stream.bytes().size(); }
    std::size_t inProgress() const;

private:
    class exchange;
    using parser = message_parser<true>;

    // What the session waits for; each stage but Answering has a time limit. A write has its own.
    enum class stage {
        Idle, // The first byte of a request.
        Header, // The rest of a header.
        Body, // The rest of a body.
        Answering, // Answers from the server, and the client to read them.
        Lingering, // The client to close the connection after the last answer.
    };

    void read();
    bool hasRoom();
    void roomDecided(byte_grant);
    void rejectWithoutRoom();
    void bytesArrived(const boost::system::error_code&);
    bool isFull() const;
    bool isIdle() const;
    bool canAcceptRequest() const;
    bool acceptRequest();
    bool parse();
    void beginParser();
    void requestComplete();
    void reject(unsigned status, const std::string& reason, http_fields furtherFields = {});
    void rejectUnparsable(const boost::system::error_code&);
    bool sendAnswers();
    std::string formatHeader(const exchange&, bool closes) const;
    void appendAnswer(const exchange&, bool closes);
    void written(const boost::system::error_code&);
    void discardReceived();
    void closeGracefully();
    void clientGone(connection_loss_cause);
    void reportLoss(connection_loss_cause);
    void close();
    void enter(stage);
    void enterNextStage();
    std::chrono::milliseconds timeLimit(stage) const;

    socket_stream m_stream;
    std::shared_ptr<pipeline_server::state> m_server;
    std::optional<parser> m_parser;
    std::deque<std::shared_ptr<exchange>> m_exchanges;
    // The room of the request that is being received.
    byte_reservation m_room;
    std::string m_outgoingBytes;
    byte_reservation m_outgoingRoom;
    // A long body that follows these bytes.
    message_body m_outgoingBody;
    stage m_stage = stage::Idle;
    first_request m_firstRequest;
    time_point m_stageEntered;
    time_point m_writeStarted;
    bool m_reading = false;
    bool m_waitsForRoom = false;
    bool m_writing = false;
    bool m_advancing = false;
    // Whether no further request is accepted on this connection.
    bool m_closing = false;
    bool m_closed = false;
};

}
