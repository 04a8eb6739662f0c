#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace vanillashunt {

// Bytes as they may come from outside: the first one says to which of the parsers at the
// node's edges the others go. Aborts where a parser gives out what it must not: a server
// that no report names, a version of nothing, a message that it could not have been sent.
void readAtEdge(std::string_view input);

// A real message of each kind, for others to be made of.
std::vector<std::string> edgeExamples();

}
