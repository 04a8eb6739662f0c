#include "command/command_line.h"

#include "contract/nearest_word.h"

#include <iostream>

#include <getopt.h>

namespace vanillashunt {

namespace {

    constexpr const char* programName = "vanillashunt";
    constexpr const char* helpOption = "help";
    // getopt_long gives the index of an option plus this; lesser values are its own.
    constexpr int firstOption = 256;

    std::string fullName(const command& which)
    {
        std::string path = which.path;
        return path.empty() ? programName : std::string(programName) + " " + path;
    }

    std::string lastWord(const command& which)
    {
        std::string path = which.path;
        return path.substr(path.rfind(' ') + 1);
    }

    // The forms that getopt_long asks for; they point into what they are made of.
    class option_words {
    public:
        option_words(const command_arguments& arguments, const std::vector<command_option>& options)
            : m_words(arguments)
        {
            m_words.insert(m_words.begin(), programName);
            for (auto& word : m_words) {
                m_pointers.push_back(word.data());
            }
            m_pointers.push_back(nullptr);
            for (std::size_t index = 0; index < options.size(); ++index) {
                int hasValue = options[index].takesValue ? required_argument : no_argument;
                m_options.push_back({ options[index].name.c_str(), hasValue, nullptr, firstOption + static_cast<int>(index) });
            }
            m_options.push_back({ helpOption, no_argument, nullptr, 'h' });
            m_options.push_back({});
            // Zero makes the GNU library begin anew.
            optind = 0;
            opterr = 0;
        }

        // The next option, or -1 after the last.
        int next()
        {
            return getopt_long(count(), m_pointers.data(), ":h", m_options.data(), nullptr);
        }

        // The word that the last option was read from.
        std::string lastWord() const { return m_pointers[static_cast<std::size_t>(optind) - 1]; }

        std::vector<std::string> operands() const
        {
            return { m_pointers.begin() + optind, m_pointers.end() - 1 };
        }

    private:
        int count() const { return static_cast<int>(m_words.size()); }

        std::vector<std::string> m_words;
        std::vector<char*> m_pointers;
        std::vector<::option> m_options;
    };

    std::optional<std::string> nameLike(const std::string& word, const command_table& table)
    {
        std::vector<std::string> names;
        for (const auto& each : table) {
            names.push_back(lastWord(each));
        }
        return nearestWord(word, names);
    }

}

void reportError(const command& which, const std::string& message)
{
    std::cerr << fullName(which) << ": " << message << '\n';
}

exit_code reportUsage(const command& which, const std::string& message)
{
    reportError(which, message + "; see '" + fullName(which) + " --help'");
    return exit_code::Usage;
}

command_line_result readCommandLine(const command& which, const command_arguments& arguments, const std::vector<command_option>& options)
{
    option_words words(arguments, options);
    for (int found = words.next(); found != -1; found = words.next()) {
        if (found == 'h') {
            std::cout << which.help;
            return exit_code::Ok;
        }
        if (found == ':') {
            return reportUsage(which, "option '" + words.lastWord() + "' needs a value");
        }
        if (found == '?') {
            return reportUsage(which, "option '" + words.lastWord() + "' is unknown or has a value too many");
        }
        const auto& option = options.at(static_cast<std::size_t>(found - firstOption));
        if (auto problem = option.take(optarg ? optarg : "")) {
            return reportUsage(which, "option '--" + option.name + "' " + *problem);
        }
    }
    return words.operands();
}

exit_code runNamedCommand(const command& parent, const command_table& table, const command_arguments& arguments)
{
    if (arguments.empty()) {
        return reportUsage(parent, "name a command");
    }
    const auto& word = arguments.front();
    if (word == "--help" || word == "-h") {
        std::cout << parent.help;
        return exit_code::Ok;
    }
    for (const auto& each : table) {
        if (lastWord(each) == word) {
            return each.run(each, { arguments.begin() + 1, arguments.end() });
        }
    }
    auto like = nameLike(word, table);
    return reportUsage(parent, "there is no command '" + word + "'" + (like ? "; did you mean '" + *like + "'" : ""));
}

}
