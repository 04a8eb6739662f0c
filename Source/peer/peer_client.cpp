#include "peer/peer_client.h"

#include "budget/grant_handler.h"
#include "http/connection_pool.h"
#include "http/pooled_connection.h"
#include "peer/call_codec.h"
#include "peer/frame_buffers.h"
#include "peer/incoming_frame.h"

#include <boost/asio.hpp>

#include <algorithm>
#include <map>
#include <unordered_map>
#include <vector>

namespace vanillashunt {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

    class peer_connection;

}

struct peer_client::state : std::enable_shared_from_this<peer_client::state> {
    state(asio::io_context& ioContext, const peer_client_settings& clientSettings)
        : context(ioContext)
        , settings(clientSettings)
    {
    }

    asio::io_context& context;
    peer_client_settings settings;
    peer_client_counts counts;
    connection_pool<peer_connection, call_answer> pool;
};

namespace {

    using time_point = std::chrono::steady_clock::time_point;

    // One connection to one peer, with at most one call in progress.
    class peer_connection : public pooled_connection<peer_connection> {
    public:
        peer_connection(const std::shared_ptr<peer_client::state>& client, const std::string& address)
            : pooled_connection(client->context, address)
            , m_client(client)
            , m_idleTimeout(client->settings.idleTimeout)
            , m_incoming(frame_kind::Answer, client->settings.maxBodyBytes, client->settings.budget, byte_place::PeerAnswer)
        {
        }

        void start(const call_request& request, time_point now)
        {
            m_callId = request.callId;
            m_attempt = request.attempt;
            m_requestId = request.context.requestId;
            m_outgoing = encodeOutgoing(request, now, m_sentFrames);
            m_written = false;
            m_connection.use();
            if (m_connection.isOpen()) {
                write();
                return;
            }
            connect();
        }

        void becomeIdle() { m_connection.becomeIdle(std::chrono::steady_clock::now(), m_idleTimeout); }

    private:
        friend class pooled_connection<peer_connection>;

        void connect()
        {
            auto client = m_client.lock();
            if (!client) {
                return;
            }
            m_connection.connect(client->settings.outgoingAddress, client->settings.connectTimeout, [self = shared_from_this()](const error_code& error) {
                if (error) {
                    self->connectFailed();
                    return;
                }
                self->read();
                self->write();
            });
        }

        void connectFailed()
        {
            if (auto client = m_client.lock()) {
                ++client->counts.connectsFailed;
            }
            fail(verdict::notRun(verdict_reason::PeerUnreachable));
        }

        void write()
        {
            bool sentCompletely = m_connection.stream().send(buffersOf(m_outgoing), [self = shared_from_this()](const error_code& error, std::size_t) {
                self->writeFinished(!error);
                // A peer that refuses a call early may have answered before it closed the
                // connection, so the answer is still read.
                if (error && error != asio::error::broken_pipe && error != asio::error::connection_reset) {
                    self->fail(self->verdictWithoutAnswer());
                }
            });
            if (sentCompletely) {
                writeFinished(true);
                return;
            }
            if (auto client = m_client.lock()) {
                // Copies, which a paused node may leave unread for long. The body has its own room.
                m_outgoingRoom = byte_reservation(client->settings.budget, byte_place::Caller);
                m_outgoingRoom.complete(m_outgoing.begin.size() + m_outgoing.end.size());
            }
        }

        // Releases the sent frame: a node has hundreds of connections, most of them idle.
        void writeFinished(bool succeeded)
        {
            m_written = succeeded;
            m_outgoing = {};
            m_outgoingRoom = {};
        }

        void connectionEnded(const error_code&) { fail(verdictWithoutAnswer()); }

        // A peer runs a call only if it has received the whole frame.
        verdict verdictWithoutAnswer() const
        {
            return m_written ? verdict::mayHaveRun(verdict_reason::AnswerLost) : verdict::notRun(verdict_reason::PeerUnreachable);
        }

        bool canRead()
        {
            auto grant = m_incoming.reserve(std::chrono::steady_clock::now(), grantHandler(weak_from_this(), &peer_connection::roomDecided));
            if (grant == byte_grant::Refused) {
                fail(verdict::mayHaveRun(verdict_reason::NoMemory));
            }
            return grant == byte_grant::Granted;
        }

        void roomDecided(byte_grant grant)
        {
            if (m_connection.isClosed()) {
                return;
            }
            if (grant == byte_grant::Refused) {
                fail(verdict::mayHaveRun(verdict_reason::NoMemory));
                return;
            }
            read();
        }

        void idleConnectionEnded()
        {
            if (auto client = m_client.lock()) {
                client->pool.dropIdle(shared_from_this());
            }
        }

        void bytesReceived()
        {
            auto client = m_client.lock();
            if (!client) {
                close();
                return;
            }
            auto& received = m_connection.stream().received();
            auto search = m_incoming.take(received);
            if (search == frame_search::Incomplete) {
                return;
            }
            std::optional<call_answer> answer;
            if (search == frame_search::Found) {
                answer = m_incoming.decodeAnswer(received, m_requestId, m_receivedFrames);
            }
            if (!answer) {
                failWithDamagedAnswer();
                return;
            }
            answerReceived(*client, std::move(*answer));
        }

        void answerReceived(peer_client::state& client, call_answer answer)
        {
            if (answer.callId != m_callId || answer.attempt != m_attempt) {
                ++client.counts.crossedAnswers;
                fail(verdict::mayHaveRun(verdict_reason::AnswerLost));
                return;
            }
            bool isBufferEmpty = m_connection.stream().received().size() == 0;
            end(client, std::move(answer), isBufferEmpty && m_written);
        }

        void end(peer_client::state& client, call_answer answer, bool reusable)
        {
            m_incoming.reset();
            client.pool.end(shared_from_this(), std::move(answer), reusable, client.settings.maxIdle);
        }

        void failWithDamagedAnswer()
        {
            if (auto client = m_client.lock()) {
                ++client->counts.damagedAnswers;
            }
            fail(verdict::mayHaveRun(verdict_reason::AnswerLost));
        }

        void fail(const verdict& outcome)
        {
            auto client = m_client.lock();
            if (!client || m_connection.isClosed()) {
                return;
            }
            end(*client, makeCallAnswer(m_callId, m_attempt, outcome), false);
        }

        std::weak_ptr<peer_client::state> m_client;
        std::chrono::milliseconds m_idleTimeout;
        std::uint64_t m_callId = 0;
        std::uint32_t m_attempt = 0;
        std::string m_requestId;
        frame_history m_sentFrames;
        frame_history m_receivedFrames;
        outgoing_frame m_outgoing;
        byte_reservation m_outgoingRoom;
        incoming_frame m_incoming;
        bool m_written = false;
    };

}

peer_client::peer_client(asio::io_context& context, const peer_client_settings& settings)
    : m_state(std::make_shared<state>(context, settings))
{
}

peer_client::~peer_client() = default;

std::uint64_t peer_client::start(const std::string& address, const call_request& request, answer_handler handler)
{
    auto now = std::chrono::steady_clock::now();
    auto connection = m_state->pool.takeIdle(address, now);
    if (!connection) {
        connection = std::make_shared<peer_connection>(m_state, address);
    }
    auto id = m_state->pool.begin(connection, std::move(handler));
    connection->start(request, now);
    return id;
}

void peer_client::cancel(std::uint64_t id)
{
    m_state->pool.cancel(id);
}

const peer_client_counts& peer_client::counts() const
{
    return m_state->counts;
}

std::size_t peer_client::inProgress() const
{
    return m_state->pool.inProgress();
}

}
