#pragma once

#include <string>

namespace vanillashunt {

// A problem in a text: its location, and a message that says what is wrong and how to fix it.
struct text_problem {
    std::string file;
    // Counted from 1; 0 if the problem concerns the whole text.
    int line = 0;
    std::string message;
    // Counted from 1; 0 if the problem concerns the whole line.
    int column = 0;
};

// Formats a problem as "file:line:column: message", which editors can jump to, without the parts
// that are 0 or empty.
std::string toString(const text_problem&);

}
