#include "caller/pipeline_server.h"

#include "caller/pipeline_session.h"
#include "http/socket_address.h"

namespace vanillashunt {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

    // Ending one session may end others; each is kept alive while it is looked at.
    std::vector<std::shared_ptr<pipeline_session>> sessionsOf(const pipeline_server::state& server)
    {
        std::vector<std::shared_ptr<pipeline_session>> result;
        for (auto* each : server.sessions) {
            if (auto session = each->weak_from_this().lock()) {
                result.push_back(std::move(session));
            }
        }
        return result;
    }

}

pipeline_server::pipeline_server(asio::io_context& context, const std::string& listenAddress, pipeline_server_hooks hooks)
    : m_state(std::make_shared<state>(context, std::move(hooks)))
{
    listenOn(m_state->acceptor, listenAddress);
    m_state->accept();
}

pipeline_server::~pipeline_server()
{
    stopAccepting();
}

std::string pipeline_server::address() const
{
    return toString(m_state->acceptor.local_endpoint());
}

void pipeline_server::endLate(std::chrono::steady_clock::time_point now)
{
    for (const auto& session : sessionsOf(*m_state)) {
        session->endLate(now);
    }
}

void pipeline_server::closeAfterAnswers()
{
    m_state->closingAfterAnswers = true;
}

void pipeline_server::stopAccepting()
{
    m_state->closingAfterAnswers = true;
    m_state->stopping = true;
    error_code ignored;
    m_state->acceptor.close(ignored);
    for (const auto& session : sessionsOf(*m_state)) {
        session->closeIfIdle();
    }
}

std::size_t pipeline_server::inProgress() const
{
    std::size_t count = 0;
    for (const auto* session : m_state->sessions) {
        count += session->inProgress();
    }
    return count;
}

const pipeline_server_counts& pipeline_server::counts() const
{
    return m_state->counts;
}

}
