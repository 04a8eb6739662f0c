#include "contract/text_problem.h"

namespace vanillashunt {

std::string toString(const text_problem& problem)
{
    std::string place = problem.file;
    if (problem.line > 0) {
        place += ':' + std::to_string(problem.line);
    }
    if (problem.column > 0) {
        place += ':' + std::to_string(problem.column);
    }
    return place.empty() ? problem.message : place + ": " + problem.message;
}

}
