#pragma once

#include <string>
#include <vector>

namespace vanillashunt {

// One onward call that a backend server makes for a request.
struct call_spec {
    std::string service;
    std::string path;
    std::string method = "GET";
    // Names the call in failures; the service where it is empty.
    std::string label;
};

// The onward calls of the requests whose path has a prefix.
struct call_rule {
    std::string pathPrefix;
    std::vector<call_spec> calls;
};

// Reads "service:/path:METHOD:label,…"; method and label may be left out.
std::vector<call_spec> parseCalls(const std::string& text);

// Reads "PREFIX=CALLS".
call_rule parseCallRule(const std::string& text);

// The calls of the rule with the longest matching prefix; none without one.
std::vector<call_spec> callsFor(const std::vector<call_rule>&, const std::string& path);

}
