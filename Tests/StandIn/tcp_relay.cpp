#include "StandIn/tcp_relay.h"

#include <algorithm>
#include <utility>

namespace vanillashunt {

namespace {

    // The client's end, the upstream's, and the end of what the client is sent.
    constexpr int allEnds = 3;

}

tcp_relay::tcp_relay(boost::asio::io_context& io, relay_pipe::socket client, const endpoint& upstream)
    : m_io(io)
    , m_client(std::move(client))
    , m_server(io)
    , m_upstream(upstream)
{
    boost::system::error_code ignored;
    m_client.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    m_source = m_client.remote_endpoint(ignored).address().to_string();
}

void tcp_relay::start(relay_hooks hooks)
{
    m_hooks = std::move(hooks);
    resume();
}

void tcp_relay::resume()
{
    if (m_isClosed) {
        return;
    }
    auto faults = effects();
    if (faults.isCut) {
        if (faults.rejects) {
            boost::system::error_code ignored;
            m_client.set_option(boost::asio::socket_base::linger(true, 0), ignored);
            m_server.set_option(boost::asio::socket_base::linger(true, 0), ignored);
            close();
        }
        return;
    }
    if (!m_isConnecting && !m_answers) {
        connect();
    } else if (m_answers) {
        // Either may close the connection, which lets go of both.
        auto requests = m_requests;
        auto answers = m_answers;
        requests->resume();
        answers->resume();
    }
}

void tcp_relay::connect()
{
    m_isConnecting = true;
    m_server.async_connect(m_upstream, [self = shared_from_this()](boost::system::error_code error) {
        self->m_isConnecting = false;
        if (error || self->m_isClosed) {
            self->close();
            return;
        }
        self->startPipes();
    });
}

void tcp_relay::startPipes()
{
    boost::system::error_code ignored;
    m_server.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    // The pipes hold their sockets' owner, which lets go of them when it closes.
    auto self = shared_from_this();
    pipe_hooks requestHooks {
        [self] { return self->effects(); },
        [](const fault_effects& faults) { return faults.delay; },
        [self](std::string bytes) { self->m_requests->send(std::move(bytes)); },
        [self] { self->m_requests->endAfterwards(); },
        [self] { self->noteEnd(); },
        [self] { self->close(); },
    };
    auto answerHooks = requestHooks;
    answerHooks.delay = [](const fault_effects& faults) { return faults.delay + faults.answerDelay; };
    answerHooks.take = [self](std::string bytes) { self->takeAnswer(std::move(bytes)); };
    answerHooks.takeEnd = [self] { self->takeEndOfAnswers(); };
    m_requests = std::make_shared<relay_pipe>(m_io, m_client, m_server, std::move(requestHooks));
    m_answers = std::make_shared<relay_pipe>(m_io, m_server, m_client, std::move(answerHooks));
    m_requests->start();
    m_answers->start();
}

void tcp_relay::takeAnswer(std::string bytes)
{
    auto faults = effects();
    if (faults.swapsAnswers) {
        m_hooks.swap({ std::move(bytes), false });
        return;
    }
    if (!faults.closeAfterBytes) {
        m_countedBytes = 0;
        m_answers->send(std::move(bytes));
        return;
    }
    auto left = *faults.closeAfterBytes - std::min(*faults.closeAfterBytes, m_countedBytes);
    if (bytes.size() < left) {
        m_countedBytes += bytes.size();
        m_answers->send(std::move(bytes));
        return;
    }
    m_hooks.noteClosed(faults.closingRule);
    auto answers = m_answers;
    answers->send(bytes.substr(0, left));
    answers->closeAfterwards();
}

void tcp_relay::takeEndOfAnswers()
{
    noteEnd();
    if (effects().swapsAnswers) {
        m_hooks.swap({ "", true });
    } else {
        sendToClient({ "", true });
    }
}

void tcp_relay::noteEnd()
{
    ++m_ends;
    if (m_ends == allEnds) {
        close();
    }
}

void tcp_relay::sendToClient(const answer_part& part)
{
    auto answers = m_answers;
    if (!answers) {
        return;
    }
    if (!part.bytes.empty()) {
        answers->send(part.bytes);
    }
    if (part.isEnd) {
        answers->endAfterwards();
    }
}

void tcp_relay::close()
{
    if (m_isClosed) {
        return;
    }
    m_isClosed = true;
    auto self = shared_from_this();
    auto requests = std::exchange(m_requests, nullptr);
    auto answers = std::exchange(m_answers, nullptr);
    if (answers) {
        requests->stop();
        answers->stop();
    }
    boost::system::error_code ignored;
    m_client.close(ignored);
    m_server.close(ignored);
    m_hooks.closed();
}

}
