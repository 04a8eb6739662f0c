#include "peer/peer_server.h"

#include "budget/grant_handler.h"
#include "http/connection_acceptor.h"
#include "http/socket_address.h"
#include "http/socket_stream.h"
#include "peer/call_codec.h"
#include "peer/frame_buffers.h"
#include "peer/incoming_frame.h"

#include <boost/asio.hpp>

namespace vanillashunt {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

struct peer_server::state {
    state(std::uint64_t bodyBytes, peer_call_handler callHandler, std::shared_ptr<byte_budget> byteBudget)
        : maxBodyBytes(bodyBytes)
        , handler(std::move(callHandler))
        , budget(std::move(byteBudget))
    {
    }

    std::unique_ptr<connection_acceptor> acceptor;
    std::uint64_t maxBodyBytes;
    peer_call_handler handler;
    std::shared_ptr<byte_budget> budget;
    std::uint64_t damagedFrames = 0;
    std::size_t inProgress = 0;
};

namespace {

    constexpr std::chrono::milliseconds memoryRetryAfter { 500 };

    // One connection from a peer, with at most one call in progress.
    class peer_session : public std::enable_shared_from_this<peer_session> {
    public:
        peer_session(tcp::socket socket, std::shared_ptr<peer_server::state> server)
            : m_stream(std::move(socket))
            , m_server(std::move(server))
            , m_incoming(frame_kind::Request, m_server->maxBodyBytes, m_server->budget, byte_place::PeerRequest)
        {
        }

        // A peer sends nothing while it waits for an answer. Bytes or the end of the connection
        // during a call therefore mean that the peer has cancelled the call.
        void read()
        {
            m_stream.read([self = shared_from_this()](const error_code& error) { self->bytesReceived(error); });
        }

    private:
        class exchange;

        void bytesReceived(const error_code&);
        void findRequest();
        bool canRead();
        void roomDecided(byte_grant);
        void requestReceived();
        void refuseWithoutRoom(const call_request&);
        void send(const call_answer&);
        void answerSent();
        void closeDamaged();
        void close();

        socket_stream m_stream;
        std::shared_ptr<peer_server::state> m_server;
        frame_history m_receivedFrames;
        frame_history m_sentFrames;
        // Request id of the call in progress.
        std::string m_requestId;
        outgoing_frame m_outgoing;
        byte_reservation m_outgoingRoom;
        incoming_frame m_incoming;
        std::shared_ptr<exchange> m_exchange;
        // Keeps the session while it waits for room, when no read is outstanding.
        std::shared_ptr<peer_session> m_waiting;
        bool m_sendingAnswer = false;
        bool m_closed = false;
    };

    class peer_session::exchange : public peer_exchange {
    public:
        explicit exchange(std::shared_ptr<peer_session> session)
            : m_session(std::move(session))
        {
        }

        void answer(const call_answer& value) override
        {
            auto session = std::exchange(m_session, nullptr);
            m_cancelHandler = nullptr;
            if (session) {
                session->send(value);
            }
        }

        void setCancelHandler(std::function<void()> callback) override
        {
            if (m_isCancelled) {
                callback();
                return;
            }
            m_cancelHandler = std::move(callback);
        }

        void cancelled()
        {
            m_session.reset();
            m_isCancelled = true;
            auto callback = std::exchange(m_cancelHandler, nullptr);
            if (callback) {
                callback();
            }
        }

    private:
        std::shared_ptr<peer_session> m_session;
        std::function<void()> m_cancelHandler;
        bool m_isCancelled = false;
    };

    void peer_session::bytesReceived(const error_code& error)
    {
        if (m_closed) {
            return;
        }
        if (error || m_exchange) {
            close();
            return;
        }
        findRequest();
        if (!m_closed && canRead()) {
            read();
        }
    }

    // A call that finds no room ends with its connection. Its sender knows that it has not run, since the
    // frame was not received completely.
    bool peer_session::canRead()
    {
        auto grant = m_incoming.reserve(std::chrono::steady_clock::now(), grantHandler(weak_from_this(), &peer_session::roomDecided));
        if (grant == byte_grant::Refused) {
            close();
        }
        m_waiting = grant == byte_grant::Waiting ? shared_from_this() : nullptr;
        return grant == byte_grant::Granted;
    }

    void peer_session::roomDecided(byte_grant grant)
    {
        m_waiting.reset();
        if (grant == byte_grant::Refused) {
            close();
            return;
        }
        read();
    }

    void peer_session::findRequest()
    {
        auto search = m_incoming.take(m_stream.received());
        if (search == frame_search::Incomplete) {
            return;
        }
        if (search == frame_search::Damaged || m_incoming.isFollowed(m_stream.received())) {
            closeDamaged();
            return;
        }
        // The next request may arrive before the write of the previous answer is reported as
        // complete; it is then decoded after that.
        if (!m_sendingAnswer) {
            requestReceived();
        }
    }

    void peer_session::requestReceived()
    {
        auto request = m_incoming.decodeRequest(m_stream.received(), std::chrono::steady_clock::now(), m_receivedFrames);
        if (!request) {
            closeDamaged();
            return;
        }
        m_requestId = request->context.requestId;
        if (!m_incoming.hasRoom()) {
            refuseWithoutRoom(*request);
            return;
        }
        m_exchange = std::make_shared<exchange>(shared_from_this());
        ++m_server->inProgress;
        m_server->handler(std::move(*request), m_exchange);
    }

    void peer_session::refuseWithoutRoom(const call_request& request)
    {
        ++m_server->inProgress;
        send(makeCallAnswer(request.callId, request.attempt, verdict::notRun(verdict_reason::NoMemory, memoryRetryAfter)));
    }

    void peer_session::send(const call_answer& answer)
    {
        m_exchange.reset();
        m_sendingAnswer = true;
        m_outgoing = encodeOutgoing(answer, m_requestId, m_sentFrames);
        bool sentCompletely = m_stream.send(buffersOf(m_outgoing), [self = shared_from_this()](const error_code& error, std::size_t) {
            self->answerSent();
            if (error) {
                self->close();
            } else if (!self->m_closed) {
                self->findRequest();
            }
        });
        if (sentCompletely) {
            answerSent();
        } else {
            // Copies, for which a paused node may not ask for long. The body has its own room.
            m_outgoingRoom = byte_reservation(m_server->budget, byte_place::PeerRequest);
            m_outgoingRoom.complete(m_outgoing.begin.size() + m_outgoing.end.size());
        }
    }

    void peer_session::answerSent()
    {
        m_sendingAnswer = false;
        m_outgoing = {};
        m_outgoingRoom = {};
        --m_server->inProgress;
    }

    void peer_session::closeDamaged()
    {
        ++m_server->damagedFrames;
        close();
    }

    void peer_session::close()
    {
        m_closed = true;
        m_incoming.reset();
        error_code ignored;
        m_stream.socket().close(ignored);
        if (auto cancelledExchange = std::exchange(m_exchange, nullptr)) {
            --m_server->inProgress;
            cancelledExchange->cancelled();
        }
    }

}

peer_server::peer_server(asio::io_context& context, const std::string& listenAddress, std::uint64_t maxBodyBytes, peer_call_handler handler, std::shared_ptr<byte_budget> budget)
    : m_state(std::make_shared<state>(maxBodyBytes, std::move(handler), std::move(budget)))
{
    std::weak_ptr<state> server = m_state;
    m_state->acceptor = std::make_unique<connection_acceptor>(context, listenAddress, [server](tcp::socket socket) {
        if (auto serverState = server.lock()) {
            enableDeadPeerDetection(socket);
            std::make_shared<peer_session>(std::move(socket), serverState)->read();
        }
    });
}

peer_server::~peer_server()
{
    m_state->acceptor.reset();
}

std::string peer_server::address() const
{
    return m_state->acceptor->address();
}

std::size_t peer_server::inProgress() const
{
    return m_state->inProgress;
}

std::uint64_t peer_server::damagedFrames() const
{
    return m_state->damagedFrames;
}

}
