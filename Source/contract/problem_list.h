#pragma once

#include "contract/text_problem.h"

#include <string>
#include <vector>

namespace vanillashunt {

// Gathers the problems of one text, so that all of them are told at once.
class problem_list {
public:
    explicit problem_list(std::string file);

    void add(int line, const std::string& message);
    bool isEmpty() const { return m_problems.empty(); }
    // In the order of their lines; the last tells how many more there are beyond a bound.
    std::vector<text_problem> sorted() const;

private:
    std::string m_file;
    std::vector<text_problem> m_problems;
};

}
