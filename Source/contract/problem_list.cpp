#include "contract/problem_list.h"

#include <algorithm>
#include <utility>

namespace vanillashunt {

namespace {

    // More would be read by nobody, and a large text of nonsense must not make a larger answer.
    constexpr std::size_t mostProblems = 100;

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
    if (problems.size() > mostProblems) {
        auto left = problems.size() - mostProblems;
        problems.resize(mostProblems);
        problems.push_back({ m_file, 0, "there are " + std::to_string(left) + " more problems; mend these first" });
    }
    return problems;
}

}
