#include "peer/peer_server.h"

#include "http/connection_acceptor.h"
#include "http/socket_address.h"
#include "peer/call_codec.h"

#include <boost/asio.hpp>

#include <array>

namespace vanillashunt {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

struct peer_server::state {
    state(std::uint64_t bodyBytes, peer_call_handler callHandler)
        : maxBodyBytes(bodyBytes)
        , handler(std::move(callHandler))
    {
    }

    std::unique_ptr<connection_acceptor> acceptor;
    std::uint64_t maxBodyBytes;
    peer_call_handler handler;
    std::uint64_t damagedFrames = 0;
    std::size_t inProgress = 0;
};

namespace {

    // One connection from a peer, which carries one call at a time.
    class peer_session : public std::enable_shared_from_this<peer_session> {
    public:
        peer_session(tcp::socket socket, std::shared_ptr<peer_server::state> server)
            : m_socket(std::move(socket))
            , m_server(std::move(server))
        {
        }

        void readHead()
        {
            asio::async_read(m_socket, asio::buffer(m_head), [self = shared_from_this()](error_code error, std::size_t) {
                if (error) {
                    self->close();
                    return;
                }
                self->readPayload();
            });
        }

    private:
        class exchange;

        void readPayload();
        void requestArrived(const frame_head&);
        void watchPeer();
        void peerReadable(const error_code&, std::uint64_t exchangeNumber);
        void send(const call_answer&);
        void closeDamaged();
        void close();

        tcp::socket m_socket;
        std::shared_ptr<peer_server::state> m_server;
        frame_history m_receivedFrames;
        frame_history m_sentFrames;
        // Of the request in progress.
        std::string m_requestId;
        std::array<char, frameHeadBytes> m_head {};
        byte_vector m_payload;
        byte_vector m_outgoing;
        std::shared_ptr<exchange> m_exchange;
        std::uint64_t m_exchangeNumber = 0;
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
            m_whenCancelled = nullptr;
            if (session) {
                session->send(value);
            }
        }

        void whenCancelled(std::function<void()> callback) override
        {
            m_whenCancelled = std::move(callback);
        }

        void cancelled()
        {
            m_session.reset();
            auto callback = std::exchange(m_whenCancelled, nullptr);
            if (callback) {
                callback();
            }
        }

    private:
        std::shared_ptr<peer_session> m_session;
        std::function<void()> m_whenCancelled;
    };

    void peer_session::readPayload()
    {
        auto head = decodeHead(m_head.data());
        if (!head || head->kind != frame_kind::Request || head->length > m_server->maxBodyBytes + frameOverheadBytes) {
            closeDamaged();
            return;
        }
        m_payload.resize(head->length);
        asio::async_read(m_socket, asio::buffer(m_payload), [self = shared_from_this(), head = *head](error_code error, std::size_t) {
            if (error) {
                self->close();
                return;
            }
            self->requestArrived(head);
        });
    }

    void peer_session::requestArrived(const frame_head& head)
    {
        if (!checksumMatches(head, m_payload)) {
            closeDamaged();
            return;
        }
        auto request = decodeRequest(m_payload, std::chrono::steady_clock::now(), m_receivedFrames);
        if (!request) {
            closeDamaged();
            return;
        }
        m_requestId = request->context.requestId;
        m_exchange = std::make_shared<exchange>(shared_from_this());
        ++m_server->inProgress;
        ++m_exchangeNumber;
        watchPeer();
        m_server->handler(std::move(*request), m_exchange);
    }

    // A peer sends nothing while it waits, so a readable socket means that it gave up.
    void peer_session::watchPeer()
    {
        m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this(), number = m_exchangeNumber](error_code error) {
            self->peerReadable(error, number);
        });
    }

    void peer_session::peerReadable(const error_code& error, std::uint64_t exchangeNumber)
    {
        if (error || exchangeNumber != m_exchangeNumber || !m_exchange) {
            return;
        }
        auto gone = std::exchange(m_exchange, nullptr);
        --m_server->inProgress;
        close();
        gone->cancelled();
    }

    void peer_session::send(const call_answer& answer)
    {
        m_exchange.reset();
        ++m_exchangeNumber;
        m_outgoing = encodeFrame(answer, m_requestId, m_sentFrames);
        asio::async_write(m_socket, asio::buffer(m_outgoing), [self = shared_from_this()](error_code error, std::size_t) {
            --self->m_server->inProgress;
            if (error) {
                self->close();
                return;
            }
            self->readHead();
        });
    }

    void peer_session::closeDamaged()
    {
        ++m_server->damagedFrames;
        close();
    }

    void peer_session::close()
    {
        error_code ignored;
        m_socket.close(ignored);
    }

}

peer_server::peer_server(asio::io_context& context, const std::string& listenAddress, std::uint64_t maxBodyBytes, peer_call_handler handler)
    : m_state(std::make_shared<state>(maxBodyBytes, std::move(handler)))
{
    std::weak_ptr<state> server = m_state;
    m_state->acceptor = std::make_unique<connection_acceptor>(context, listenAddress, [server](tcp::socket socket) {
        if (auto known = server.lock()) {
            watchLiveness(socket);
            std::make_shared<peer_session>(std::move(socket), known)->readHead();
        }
    });
}

peer_server::~peer_server()
{
    stopAccepting();
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

void peer_server::stopAccepting()
{
    m_state->acceptor->stop();
}

}
