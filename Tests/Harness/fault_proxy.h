#pragma once

#include "Harness/stand_in.h"

#include <cstdint>
#include <string>
#include <vector>

namespace vanillashunt {

// Where faults hit: what these sources send to these zones' links, and its answers.
struct cut_place {
    // Prefixes of source addresses.
    std::vector<std::string> sources;
    std::vector<std::string> zones;
};

// A proxy stand-in whose links are in front of a mesh's ports.
class fault_proxy {
public:
    fault_proxy();

    // Adds a link that leads nowhere yet and returns its address; replaces one of that name.
    std::string add(const std::string& name, const std::string& zone, const std::string& protocol);

    // Leads a link to the address.
    void lead(const std::string& name, const std::string& upstream);

    // Cuts, and returns the rule's number.
    std::uint64_t cut(const cut_place&);

    // Ends every cut.
    void heal();

private:
    stand_in m_process;
    std::vector<std::string> m_names;
};

}
