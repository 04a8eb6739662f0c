#include "contract/toml_error_text.h"

#include <cstdlib>
#include <sstream>

namespace vanillashunt {

namespace {

    // Separates the line number from the text of the line.
    const std::string lineNumberSeparator = " | ";

    bool beginsWith(const std::string& text, const std::string& beginning)
    {
        return text.compare(0, beginning.size(), beginning) == 0;
    }

    // The first line is the error message, after a prefix and often the name of a function.
    std::string readHeadline(const std::string& line)
    {
        const std::string prefix = "[error] ";
        std::string headline = beginsWith(line, prefix) ? line.substr(prefix.size()) : line;
        if (beginsWith(headline, "toml::") || beginsWith(headline, "bad format: ")) {
            auto end = headline.find(": ");
            headline.erase(0, end == std::string::npos ? end : end + 2);
        }
        if (!headline.empty() && headline.back() == '.') {
            headline.pop_back();
        }
        return headline;
    }

    // Appends the comment at the pointer to the message, unless it is just "here".
    std::string joinMessage(const std::string& headline, const std::string& comment)
    {
        if (comment.empty() || comment == "here") {
            return headline;
        }
        return headline.empty() ? comment : headline + " (" + comment + ")";
    }

    // Returns 0 if the line does not show a numbered line of the TOML text.
    int readLineNumber(const std::string& line)
    {
        auto end = line.find(lineNumberSeparator);
        return end == std::string::npos ? 0 : std::atoi(line.substr(0, end).c_str());
    }

    // The pointer is "^---" or "~~~" below the text and may be followed by a comment.
    void readPointer(const std::string& line, text_problem& problem, std::string& comment)
    {
        auto start = line.find(lineNumberSeparator);
        auto pointer = line.find_first_of("^~");
        if (start == std::string::npos || pointer == std::string::npos) {
            return;
        }
        problem.column = static_cast<int>(pointer - start - lineNumberSeparator.size()) + 1;
        auto commentStart = line.find(' ', pointer);
        comment = commentStart == std::string::npos ? "" : line.substr(commentStart + 1);
    }

}

text_problem readTomlErrorText(const std::string& errorText, const text_problem& fallback)
{
    text_problem problem = fallback;
    std::istringstream lines(errorText);
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
    problem.message = joinMessage(headline, comment);
    return problem;
}

}
