#include "StandIn/backend_settings.h"

#include "StandIn/command_line.h"

#include <stdexcept>

namespace vanillashunt {

backend_settings parseBackendSettings(int argc, char** argv)
{
    backend_settings settings;
    parseOptions(argc, argv,
        {
            textOption("listen", settings.listen),
            textOption("service", settings.service),
            textOption("server", settings.server),
            textOption("node-backend", settings.nodeBackend),
            textOption("node-caller", settings.nodeCaller),
            numberOption("slots", settings.slots),
            numberOption("connections", settings.connections),
            millisecondsOption("service-ms", settings.serviceTime),
            textOption("service-distribution", settings.serviceDistribution),
            millisecondsOption("cold-start-ms", settings.coldStart),
            { "calls", [&](const std::string& value) { settings.callRules.push_back({ "", parseCalls(value) }); } },
            { "on", [&](const std::string& value) { settings.callRules.push_back(parseCallRule(value)); } },
            flagOption("parallel", settings.parallel),
            flagOption("shed", settings.shed),
            numberOption("answer-bytes", settings.answerBytes),
            textOption("log", settings.logFile),
            numberOption("seed", settings.seed),
        });
    if (settings.serviceDistribution != "fixed" && settings.serviceDistribution != "exponential") {
        throw std::invalid_argument("--service-distribution: \"" + settings.serviceDistribution + "\" is unknown; write fixed or exponential");
    }
    if (!settings.callRules.empty() && settings.nodeCaller.empty()) {
        throw std::invalid_argument("--calls and --on: onward calls have nowhere to go; add --node-caller IP:PORT");
    }
    return settings;
}

}
