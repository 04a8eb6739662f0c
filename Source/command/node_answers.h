#pragma once

#include "command/command.h"
#include "command/node_options.h"

#include <json/value.h>

#include <string>
#include <vector>

namespace vanillashunt {

// What one node answered.
struct node_answer {
    std::string address;
    Json::Value result;
};

// Whether a call changes something, so that a lost answer leaves it not known.
enum class call_effect {
    Reads,
    Changes,
};

// What came of asking several nodes; the others are reported on standard error.
struct node_answers {
    std::vector<node_answer> answers;
    // Ok, or the highest code of those that did not answer.
    exit_code code = exit_code::Ok;
};

// Calls a method at every node of the options.
node_answers askNodes(const command&, const node_options&, const std::string& method, const Json::Value& parameters, call_effect = call_effect::Reads);

// With --all, adds the operator ports of the members that the nodes know.
// The code says whether a node could not be asked.
exit_code addMembers(const command&, node_options&);

// Prints one JSON object a line, each with the node's address.
void printJsonLines(const node_answers&);

}
