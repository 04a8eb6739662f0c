#pragma once

#include "decision/server_notice.h"

#include <chrono>
#include <optional>
#include <string>
#include <unordered_map>

namespace vanillashunt {

// What the backend servers of other nodes have announced, as their answers relayed it. It is sent
// back with requests, so that a node which has been restarted beside a running server learns it
// again. Nodes are identified by name, which a restart does not change; whether the notice applies
// to the server that runs there now is decided by that node.
class notice_memory {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // An answer of the node relayed the notice.
    void learn(const std::string& node, const relayed_notice&, time_point now);

    std::optional<relayed_notice> find(const std::string& node, time_point now) const;

private:
    struct entry {
        relayed_notice told;
        // When the server's answer arrived at its node, by this node's clock.
        time_point observed;
    };

    static bool isLater(const entry& candidate, const entry& known);

    std::unordered_map<std::string, entry> m_entries;
};

}
