#include "contract/toml_error_text.h"

#include <cstdlib>
#include <sstream>

namespace vanillashunt {

namespace {

    // Stands between a line's number and its text.
    const std::string margin = " | ";

    bool beginsWith(const std::string& text, const std::string& beginning)
    {
        return text.compare(0, beginning.size(), beginning) == 0;
    }

    // The first line says what is wrong, after a mark and often the name of a function.
    std::string readHeadline(const std::string& line)
    {
        const std::string mark = "[error] ";
        std::string headline = beginsWith(line, mark) ? line.substr(mark.size()) : line;
        if (beginsWith(headline, "toml::") || beginsWith(headline, "bad format: ")) {
            auto end = headline.find(": ");
            headline.erase(0, end == std::string::npos ? end : end + 2);
        }
        if (!headline.empty() && headline.back() == '.') {
            headline.pop_back();
        }
        return headline;
    }

    // The comment at the pointer says more, unless it is a mere "here".
    std::string joinWords(const std::string& headline, const std::string& comment)
    {
        if (comment.empty() || comment == "here") {
            return headline;
        }
        return headline.empty() ? comment : headline + " (" + comment + ")";
    }

    // Gives 0 for a line that shows no numbered line of the text.
    int readLineNumber(const std::string& line)
    {
        auto end = line.find(margin);
        return end == std::string::npos ? 0 : std::atoi(line.substr(0, end).c_str());
    }

    // The pointer is "^---" or "~~~" under the text, and a comment may follow it.
    void readPointer(const std::string& line, text_problem& problem, std::string& comment)
    {
        auto start = line.find(margin);
        auto pointer = line.find_first_of("^~");
        if (start == std::string::npos || pointer == std::string::npos) {
            return;
        }
        problem.column = static_cast<int>(pointer - start - margin.size()) + 1;
        auto words = line.find(' ', pointer);
        comment = words == std::string::npos ? "" : line.substr(words + 1);
    }

}

text_problem readTomlErrorText(const std::string& drawing, const text_problem& fallback)
{
    text_problem problem = fallback;
    std::istringstream lines(drawing);
    std::string line;
    std::getline(lines, line);
    auto headline = readHeadline(line);
    std::string comment;
    while (std::getline(lines, line)) {
        int number = readLineNumber(line);
        if (number == 0) {
            continue;
        }
        problem.line = number;
        std::getline(lines, line);
        readPointer(line, problem, comment);
    }
    problem.message = joinWords(headline, comment);
    return problem;
}

}
