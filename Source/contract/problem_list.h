#pragma once

#include "contract/text_problem.h"

#include <string>
#include <vector>

namespace vanillashunt {

// Collects the problems of one text, so that all of them are reported at once.
class problem_list {
public:
    explicit problem_list(std::string file);

    void add(int line, const std::string& message);
    bool isEmpty() const { return m_problems.empty(); }
    // Returns the problems in the order of their lines. If there are too many, only the first ones,
    // and a last one that gives the number of the others.
    std::vector<text_problem> sorted() const;

private:
    std::string m_file;
    std::vector<text_problem> m_problems;
};

}
