#include "command/node_options.h"

#include "contract/quantity.h"
#include "settings/ip_endpoint.h"

namespace vanillashunt {

namespace {

    bool isNodeAddress(const std::string& text)
    {
        auto endpoint = parseIpEndpoint(text);
        return endpoint && endpoint->port != 0;
    }

    std::optional<std::string> takeNode(const std::string& value, node_options& options)
    {
        if (!isNodeAddress(value)) {
            return "is '" + value + "'; give an operator port in numbers, for example 192.0.2.10:7003";
        }
        options.nodes.push_back(value);
        return std::nullopt;
    }

    std::optional<std::string> takeTimeout(const std::string& value, node_options& options)
    {
        auto timeout = parseDuration(value);
        if (!timeout || timeout->count() <= 0) {
            return "is '" + value + "'; give a whole number with ms, s or min, for example 3s";
        }
        options.timeout = *timeout;
        return std::nullopt;
    }

    std::optional<std::string> setFlag(bool& flag)
    {
        flag = true;
        return std::nullopt;
    }

}

std::vector<command_option> optionsOf(node_options& options)
{
    return {
        { "node", true, [&options](const std::string& value) { return takeNode(value, options); } },
        { "timeout", true, [&options](const std::string& value) { return takeTimeout(value, options); } },
        { "json", false, [&options](const std::string&) { return setFlag(options.json); } },
    };
}

command_option allOption(node_options& options)
{
    return { "all", false, [&options](const std::string&) { return setFlag(options.all); } };
}

std::optional<exit_code> readNodeOptions(const command& self, const command_arguments& arguments, node_options& options)
{
    auto accepted = optionsOf(options);
    accepted.push_back(allOption(options));
    auto read = readCommandLine(self, arguments, accepted);
    if (const auto* ended = std::get_if<exit_code>(&read)) {
        return *ended;
    }
    return takeNodes(self, std::get<std::vector<std::string>>(read), options);
}

std::optional<exit_code> takeNodes(const command& self, const std::vector<std::string>& words, node_options& options)
{
    for (const auto& word : words) {
        if (!isNodeAddress(word)) {
            return reportUsage(self, "'" + word + "' is no operator port; give one in numbers, for example 192.0.2.10:7003");
        }
        options.nodes.push_back(word);
    }
    if (options.nodes.empty()) {
        return reportUsage(self, "name a node by its operator port, for example --node 192.0.2.10:7003");
    }
    return std::nullopt;
}

std::variant<exit_code, std::string> readSubjectAndNodes(const command& self, const command_arguments& arguments, const std::string& missing, node_options& options)
{
    auto accepted = optionsOf(options);
    accepted.push_back(allOption(options));
    auto read = readCommandLine(self, arguments, accepted);
    if (auto* ended = std::get_if<exit_code>(&read)) {
        return *ended;
    }
    const auto& words = std::get<std::vector<std::string>>(read);
    if (words.empty()) {
        return reportUsage(self, missing);
    }
    if (auto problem = takeNodes(self, { words.begin() + 1, words.end() }, options)) {
        return *problem;
    }
    return words.front();
}

}
