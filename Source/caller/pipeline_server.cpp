#include "caller/pipeline_server.h"

#include "caller/pipeline_session.h"

#include <algorithm>

namespace vanillashunt {

namespace asio = boost::asio;

namespace {

    // A session that is closed leaves the server's set, which therefore is copied for an iteration.
    std::vector<std::shared_ptr<pipeline_session>> sessionsOf(const pipeline_server::state& server)
    {
        return { server.sessions.begin(), server.sessions.end() };
    }

}

pipeline_server::pipeline_server(asio::io_context& context, const std::string& listenAddress, pipeline_server_hooks hooks)
    : m_state(std::make_shared<state>(std::move(hooks)))
{
    std::weak_ptr<state> server = m_state;
    m_state->acceptor = std::make_unique<connection_acceptor>(context, listenAddress, [server](asio::ip::tcp::socket socket) {
        if (auto lockedServer = server.lock()) {
            std::make_shared<pipeline_session>(std::move(socket), lockedServer)->start();
        }
    });
}

pipeline_server::~pipeline_server()
{
    m_state->acceptor.reset();
    for (const auto& session : sessionsOf(*m_state)) {
        session->abandon();
    }
}

std::string pipeline_server::address() const
{
    return m_state->acceptor->address();
}

void pipeline_server::enforceTimeouts(std::chrono::steady_clock::time_point now)
{
    for (const auto& session : sessionsOf(*m_state)) {
        session->enforceTimeouts(now);
    }
}

void pipeline_server::closeAfterAnswers()
{
    m_state->closingAfterAnswers = true;
}

void pipeline_server::stopAccepting(std::chrono::steady_clock::time_point now)
{
    m_state->closingAfterAnswers = true;
    m_state->isStopped = true;
    m_state->acceptor->stop();
    for (const auto& session : sessionsOf(*m_state)) {
        session->closeIfIdle(now);
    }
}

std::size_t pipeline_server::inProgress() const
{
    std::size_t count = 0;
    for (const auto& session : m_state->sessions) {
        count += session->inProgress();
    }
    return count;
}

std::size_t pipeline_server::connections() const
{
    return m_state->sessions.size();
}

std::size_t pipeline_server::pausedConnections() const
{
    return static_cast<std::size_t>(std::count_if(m_state->sessions.begin(), m_state->sessions.end(), [](const auto& session) { return session->isPaused(); }));
}

std::size_t pipeline_server::readAheadBytes() const
{
    std::size_t bytes = 0;
    for (const auto& session : m_state->sessions) {
        bytes += session->readAheadBytes();
    }
    return bytes;
}

const pipeline_server_counts& pipeline_server::counts() const
{
    return m_state->counts;
}

}
