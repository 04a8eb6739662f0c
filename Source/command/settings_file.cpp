#include "command/settings_file.h"

#include "command/read_file.h"
#include "settings/parse_settings.h"

#include <iostream>

namespace vanillashunt {

std::variant<node_settings, exit_code> readSettingsFile(const std::string& fileName)
{
    auto text = readFile(fileName);
    if (!text) {
        std::cerr << "vanillashunt: cannot read settings file '" << fileName << "'\n";
        return exit_code::Usage;
    }
    auto parsed = parseSettings(*text, fileName);
    if (auto* settings = std::get_if<node_settings>(&parsed)) {
        return std::move(*settings);
    }
    for (const auto& problem : std::get<std::vector<text_problem>>(parsed)) {
        std::cerr << toString(problem) << '\n';
    }
    return exit_code::Refused;
}

}
