#include "node/settings_watch.h"

#include "events/event_catalogue.h"

namespace vanillashunt {

namespace {

    // Each check costs one system call; a change of the settings is not urgent.
    constexpr std::chrono::milliseconds checkPeriod { 2000 };

    // Returns the minimum time for a file whose modification time cannot be read.
    std::filesystem::file_time_type lastWriteTime(const std::string& fileName)
    {
        std::error_code error;
        auto time = std::filesystem::last_write_time(fileName, error);
        return error ? std::filesystem::file_time_type::min() : time;
    }

}

settings_watch::settings_watch(settings_source source)
    : m_source(std::move(source))
    , m_lastWriteTime(lastWriteTime(m_source.fileName))
{
}

void settings_watch::check(std::chrono::steady_clock::time_point now)
{
    if (now < m_nextCheck) {
        return;
    }
    m_nextCheck = now + checkPeriod;
    if (lastWriteTime(m_source.fileName) != m_lastWriteTime) {
        reread();
    }
}

void settings_watch::reread()
{
    m_lastWriteTime = lastWriteTime(m_source.fileName);
    auto settings = m_source.reread();
    if (settings) {
        setLogLevel(settings->logLevel);
    }
    logEvent(events::settingsReread, { { "file", m_source.fileName }, { "taken", settings ? "yes" : "no" } });
}

}
