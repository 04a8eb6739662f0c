#include "StandIn/command_line.h"

#include <getopt.h>

#include <sstream>
#include <stdexcept>

namespace vanillashunt {

command_option textOption(std::string name, std::string& target)
{
    return { std::move(name), [&target](const std::string& value) { target = value; } };
}

command_option flagOption(std::string name, bool& target)
{
    return { std::move(name), [&target](const std::string&) { target = true; }, true };
}

command_option numberOption(std::string name, std::uint64_t& target)
{
    return { std::move(name), [&target](const std::string& value) { target = std::stoull(value); } };
}

command_option fractionOption(std::string name, double& target)
{
    return { std::move(name), [&target](const std::string& value) { target = std::stod(value); } };
}

command_option millisecondsOption(std::string name, std::chrono::microseconds& target)
{
    return { std::move(name), [&target](const std::string& value) { target = parseMilliseconds(value); } };
}

void parseOptions(int argc, char** argv, const std::vector<command_option>& options)
{
    std::vector<::option> table;
    table.reserve(options.size() + 1);
    for (const auto& each : options) {
        table.push_back({ each.name.c_str(), each.isFlag ? no_argument : required_argument, nullptr, 0 });
    }
    table.push_back({ nullptr, 0, nullptr, 0 });

    int index = 0;
    for (int code = 0; (code = getopt_long(argc, argv, "", table.data(), &index)) != -1;) {
        if (code == '?') {
            throw std::invalid_argument("unknown option, or an option without its value; see above");
        }
        const auto& chosen = options[static_cast<std::size_t>(index)];
        try {
            chosen.set(optarg ? optarg : "");
        } catch (const std::exception& error) {
            throw std::invalid_argument("--" + chosen.name + ": cannot read \"" + (optarg ? optarg : "") + "\": " + error.what());
        }
    }
    if (optind < argc) {
        throw std::invalid_argument(std::string("unexpected argument \"") + argv[optind] + "\"; options begin with --");
    }
}

std::vector<std::string> split(const std::string& text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, separator);) {
        parts.push_back(part);
    }
    return parts;
}

std::chrono::microseconds parseMilliseconds(const std::string& text)
{
    std::chrono::duration<double, std::milli> value(std::stod(text));
    return std::chrono::duration_cast<std::chrono::microseconds>(value);
}

}
