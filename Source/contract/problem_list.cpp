#include "contract/problem_list.h"

#include <algorithm>
#include <utility>

namespace vanillashunt {

namespace {

    // Nobody reads a longer list, and a large invalid text must not produce an even larger reply.
    constexpr std::size_t maxProblems = 100;

}

problem_list::problem_list(std::string file)
    : m_file(std::move(file))
{
}

void problem_list::add(int line, const std::string& message)
{
    m_problems.push_back({ m_file, line, message });
}

std::vector<text_problem> problem_list::sorted() const
{
    auto problems = m_problems;
    std::stable_sort(problems.begin(), problems.end(), [](const auto& a, const auto& b) { return a.line < b.line; });
    if (problems.size() > maxProblems) {
        auto omitted = problems.size() - maxProblems;
        problems.resize(maxProblems);
        problems.push_back({ m_file, 0, "there are " + std::to_string(omitted) + " more problems; fix these first" });
    }
    return problems;
}

}
