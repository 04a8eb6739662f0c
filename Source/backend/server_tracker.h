#pragma once

#include "backend/server_report.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace vanillashunt {

// What a report changed.
enum class report_effect {
    Nothing, // It was late, or of a server that has been replaced.
    Updated,
    Replaced, // Another start of the server, which knows nothing of the last one.
    Leaving, // The server takes no new work from now on.
};

// Knows which start of the server beside the node is there, and whether it takes
// work, by reports that may come late, twice or from a server that is gone.
class server_tracker {
public:
    report_effect report(const server_report&);

    // The server at the address says that it is another start than this one. If a
    // late report put this one in the place of another, that one counts again.
    void misdirected(const std::string& instanceId);

    // Nothing while no server is known.
    const std::optional<server_report>& current() const { return m_current; }

    // Whether the server is known, and has not said that it leaves.
    bool takesWork() const;

private:
    bool wasReplaced(const std::string& instanceId) const;
    void retire(const std::string& instanceId);

    std::optional<server_report> m_current;
    // The one that the current one has replaced.
    std::optional<server_report> m_previous;
    // Starts that are over, the latest last.
    std::deque<std::string> m_retired;
};

}
