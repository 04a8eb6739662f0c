#include "StandIn/load_settings.h"

#include "StandIn/command_line.h"

#include <map>
#include <stdexcept>

namespace vanillashunt {

namespace {

    std::chrono::microseconds parseSeconds(const std::string& text)
    {
        return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::duration<double>(std::stod(text)));
    }

    load_kind parseKind(const std::string& text)
    {
        load_kind kind;
        const std::map<std::string, std::function<void(const std::string&)>> fields {
            { "name", [&](const std::string& value) { kind.name = value; } },
            { "method", [&](const std::string& value) { kind.method = value; } },
            { "path", [&](const std::string& value) { kind.path = value; } },
            { "customer", [&](const std::string& value) { kind.organisation = value; } },
            { "weight", [&](const std::string& value) { kind.weight = std::stod(value); } },
            { "keyed", [&](const std::string& value) { kind.keyed = value != "0"; } },
            { "timeout_ms", [&](const std::string& value) { kind.timeout = parseMilliseconds(value); } },
            { "tree", [&](const std::string& value) { kind.treeSize = std::stoull(value); } },
            { "body_bytes", [&](const std::string& value) { kind.bodyBytes = std::stoull(value); } },
        };
        for (const auto& part : split(text, ',')) {
            auto equals = part.find('=');
            auto field = fields.find(part.substr(0, equals));
            if (equals == std::string::npos || field == fields.end()) {
                throw std::invalid_argument("\"" + part + "\" is unknown; write name, method, path, customer, weight, keyed, timeout_ms, tree or body_bytes with = and a value");
            }
            field->second(part.substr(equals + 1));
        }
        if (kind.path.empty()) {
            throw std::invalid_argument("\"" + text + "\" has no path; add path=/service/…");
        }
        if (kind.name.empty()) {
            kind.name = kind.path;
        }
        return kind;
    }

}

std::vector<load_kind> parseMix(const std::string& text)
{
    std::vector<load_kind> kinds;
    for (const auto& each : split(text, ';')) {
        kinds.push_back(parseKind(each));
    }
    return kinds;
}

std::vector<load_phase> parsePhases(const std::string& text)
{
    std::vector<load_phase> phases;
    for (const auto& each : split(text, ',')) {
        auto parts = split(each, ':');
        if (parts.size() != 2) {
            throw std::invalid_argument("\"" + each + "\" is no phase; write rate:seconds");
        }
        phases.push_back({ std::stod(parts[0]), parseSeconds(parts[1]) });
    }
    return phases;
}

load_settings parseLoadSettings(int argc, char** argv)
{
    load_settings settings;
    load_phase single { 10, std::chrono::seconds(1) };
    parseOptions(argc, argv,
        {
            { "targets", [&](const std::string& value) {
                 for (const auto& each : split(value, ',')) {
                     settings.targets.push_back(parseEndpoint(each));
                 }
             } },
            fractionOption("rate", single.rate),
            { "seconds", [&](const std::string& value) { single.length = parseSeconds(value); } },
            { "phases", [&](const std::string& value) { settings.phases = parsePhases(value); } },
            { "mix", [&](const std::string& value) { settings.kinds = parseMix(value); } },
            numberOption("retries", settings.retries),
            millisecondsOption("retry-delay-ms", settings.retryDelay),
            flagOption("honour-retry-after", settings.honourRetryAfter),
            millisecondsOption("give-up-ms", settings.giveUp),
            numberOption("ahead", settings.ahead),
            numberOption("seed", settings.seed),
            textOption("out", settings.outFile),
        });
    if (settings.targets.empty() || settings.kinds.empty()) {
        throw std::invalid_argument("nothing to do; give --targets IP:PORT and --mix name=…,path=…");
    }
    if (settings.phases.empty()) {
        settings.phases.push_back(single);
    }
    return settings;
}

}
