#include "backend/backend_health_monitor.h"

namespace vanillashunt {

namespace {

    constexpr std::chrono::milliseconds probePeriod { 500 };
    constexpr std::chrono::milliseconds probeTimeout { 1000 };
    constexpr unsigned statusOk = 200;

    probe_result toProbeResult(const http_result& result)
    {
        if (const auto* failure = std::get_if<http_failure>(&result)) {
            return failure->sent || failure->timedOut ? probe_result::Unhealthy : probe_result::Unreachable;
        }
        return std::get<http_response>(result).status == statusOk ? probe_result::Healthy : probe_result::Unhealthy;
    }

}

backend_health_monitor::backend_health_monitor(boost::asio::io_context& context, backend_client& client, health_change_handler healthChanged)
    : m_client(client)
    , m_healthChanged(std::move(healthChanged))
    , m_timer(context)
{
}

void backend_health_monitor::setBackend(const std::optional<backend_announcement>& announcement)
{
    bool unchanged = announcement && m_backend && announcement->address == m_backend->address && announcement->healthPath == m_backend->healthPath;
    if (unchanged) {
        return;
    }
    m_backend = announcement;
    m_health = {};
    schedule();
}

void backend_health_monitor::callAnswered()
{
    m_health.callAnswered(std::chrono::steady_clock::now());
}

void backend_health_monitor::schedule()
{
    m_timer.expires_after(probePeriod);
    m_timer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            probe();
        }
    });
}

void backend_health_monitor::probe()
{
    if (!m_backend || m_backend->healthPath.empty()) {
        return;
    }
    auto address = m_backend->address;
    m_client.probe(address, m_backend->healthPath, probeTimeout, [this, address](const http_result& result) {
        if (m_backend && m_backend->address == address) {
            probed(result);
        }
    });
}

void backend_health_monitor::probed(const http_result& result)
{
    bool wasHealthy = m_health.isHealthy();
    m_health.probed(toProbeResult(result), std::chrono::steady_clock::now());
    if (m_health.isHealthy() != wasHealthy) {
        m_healthChanged(m_health.isHealthy());
    }
    schedule();
}

}
