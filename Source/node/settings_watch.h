#pragma once

#include "node/routed_process.h"

#include <chrono>
#include <filesystem>

namespace vanillashunt {

// Notices that the settings file has changed, by a signal or without one, and puts
// in force what may change while the process runs: the least severity that is
// logged. Everything else is bound to ports, or to the life of the process.
class settings_watch {
public:
    explicit settings_watch(settings_source);

    // Looks at the file every few seconds; to be called more often.
    void check(std::chrono::steady_clock::time_point now);

    // Reads the file now. One that is wrong changes nothing.
    void reread();

private:
    settings_source m_source;
    std::filesystem::file_time_type m_written;
    std::chrono::steady_clock::time_point m_nextCheck;
};

}
