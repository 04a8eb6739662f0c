#pragma once

#include "caller/pipeline_server.h"
#include "http/connection_acceptor.h"
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
    std::unordered_set<pipeline_session*> sessions;
    pipeline_server_counts counts;
    bool closingAfterAnswers = false;
};

// One connection of a client.
class pipeline_session : public std::enable_shared_from_this<pipeline_session> {
public:
    using time_point = std::chrono::steady_clock::time_point;

    pipeline_session(boost::asio::ip::tcp::socket, std::shared_ptr<pipeline_server::state>);
    ~pipeline_session();

    void start();
    void enforceTimeouts(time_point now);
    void closeIfIdle();
    // Sends the answers whose turn has come.
    void flush();
    std::size_t inProgress() const { return m_exchanges.size() + (m_writing ? 1 : 0); }

private:
    class exchange;
    using parser = message_parser<true>;

    // What the client is to do next, within a bound of time.
    enum class stage {
        Idle, // Send a request.
        Header, // Send the rest of a header.
        Body, // Send the rest of a body.
        Answering, // Wait for answers; it is not late.
        Reading, // Take an answer.
        Leaving, // Close, after the last answer.
    };

    void read();
    void bytesArrived(const boost::system::error_code&);
    bool mayTakeRequest() const;
    void parse();
    bool parseOne();
    void beginParser();
    void requestArrived();
    void refuse(unsigned status, const std::string& reason);
    void refuseUnreadable(const boost::system::error_code&);
    void answerWith(http_response, bool closes);
    std::string answerText(const exchange&, bool closes) const;
    void written(const boost::system::error_code&);
    void leave();
    void clientGone();
    void close();
    void enter(stage);
    void enterNextStage();
    std::chrono::milliseconds longest(stage) const;

    socket_stream m_stream;
    std::shared_ptr<pipeline_server::state> m_server;
    std::optional<parser> m_parser;
    std::deque<std::shared_ptr<exchange>> m_exchanges;
    std::string m_outgoing;
    stage m_stage = stage::Idle;
    time_point m_stageEntered;
    bool m_reading = false;
    bool m_writing = false;
    // No further request is taken from this connection.
    bool m_closing = false;
    bool m_closed = false;
};

}
