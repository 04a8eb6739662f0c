#pragma once

#include "node/routed_process.h"

#include <chrono>
#include <filesystem>

namespace vanillashunt {

// Detects changes of the settings file, and reads it again on a signal. Applies the one
// setting that may change while the process runs, the minimum severity of log events.
// All others need a restart, since ports or the whole process depend on them.
class settings_watch {
public:
    explicit settings_watch(settings_source);

    // Checks the file's modification time every few seconds; has to be called more often.
    void check(std::chrono::steady_clock::time_point now);

    // Reads the file now. An invalid file changes nothing.
    void reread();

private:
    settings_source m_source;
    std::filesystem::file_time_type m_lastWriteTime;
    std::chrono::steady_clock::time_point m_nextCheck;
};

}
