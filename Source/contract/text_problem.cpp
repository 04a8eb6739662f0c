#include "contract/text_problem.h"

namespace vanillashunt {

std::string toString(const text_problem& problem)
{
    std::string location = problem.file;
    if (problem.line > 0) {
        location += ':' + std::to_string(problem.line);
    }
    if (problem.column > 0) {
        location += ':' + std::to_string(problem.column);
    }
    return location.empty() ? problem.message : location + ": " + problem.message;
}

}
