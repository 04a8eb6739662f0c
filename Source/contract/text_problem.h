#pragma once

#include <string>

namespace vanillashunt {

// One thing wrong with a text: where it is, what it is, and the mend.
struct text_problem {
    std::string file;
    // Counted from 1; 0 where the problem is with the text as a whole.
    int line = 0;
    std::string message;
    // Counted from 1; 0 where the problem is with the line as a whole.
    int column = 0;
};

// The form that editors jump to, "file:line:column: message", without the parts that are 0.
std::string toString(const text_problem&);

}
