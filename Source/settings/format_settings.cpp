#include "settings/format_settings.h"

#include "contract/quantity.h"
#include "contract/toml_node.h"

#include <sstream>

namespace vanillashunt {

namespace {

    std::string formatString(const std::string& key, const std::string& value)
    {
        return key + " = " + quoteToml(value) + "\n";
    }

    // Puts each item on its own line, because the length of a line is bounded (maxTomlLineLength).
    std::string formatStrings(const std::string& key, const std::vector<std::string>& values)
    {
        std::string text = key + " = [";
        for (const auto& value : values) {
            text += "\n    " + quoteToml(value) + ",";
        }
        return text + (values.empty() ? "]\n" : "\n]\n");
    }

    std::string formatPort(const std::string& section, const port_settings& port)
    {
        return "\n[" + section + "]\n" + formatString("listen", port.listen) + formatString("advertise", port.advertise);
    }

    std::string formatReal(const std::string& key, double value)
    {
        std::ostringstream text;
        text << key << " = " << value << '\n';
        return text.str();
    }

    std::string formatSeconds(const std::string& key, std::chrono::milliseconds value)
    {
        return formatReal(key, std::chrono::duration<double>(value).count());
    }

    std::string formatBoolean(const std::string& key, bool value)
    {
        return key + (value ? " = true\n" : " = false\n");
    }

    std::string formatRoutes(const route_settings& routes)
    {
        return "\n[routes]\n" + formatString("service", routes.service)
            + formatString("server", routes.server)
            + formatString("ready_listen", routes.readyListen)
            + formatReal("retry_ratio", routes.retryRatio)
            + formatReal("retry_slack", routes.retrySlack)
            + formatSeconds("retry_window_seconds", routes.retryWindow)
            + formatStrings("zones", routes.zones)
            + formatReal("quota_over", routes.quotaOver)
            + formatSeconds("quota_window_seconds", routes.quotaWindow)
            + formatReal("quota_slack", routes.quotaSlack)
            + formatBoolean("balance_by_pace", routes.balanceByPace)
            + formatSeconds("grace_seconds", routes.grace);
    }

    std::string formatNode(const node_settings& settings)
    {
        return "[node]\n" + formatString("name", settings.name)
            + formatString("availability_zone", settings.availabilityZone)
            + formatString("region", settings.region)
            + formatString("mesh", settings.mesh)
            + formatString("outgoing_address", settings.outgoingAddress)
            + formatString("log_level", settings.logLevel)
            + formatString("policy", settings.policy);
    }

}

std::string formatSettings(const node_settings& settings)
{
    return formatNode(settings)
        + formatPort("caller", settings.caller)
        + formatPort("backend", settings.backend)
        + formatPort("peer", settings.peer)
        + formatStrings("join", settings.joinAddresses)
        + formatPort("operators", settings.operators)
        + "\n[platform]\n" + formatStrings("endpoints", settings.platformEndpoints)
        + "\n[limits]\n" + formatString("max_body", formatSize(settings.maxBodyBytes)) + formatString("memory", formatSize(settings.memoryBytes))
        + formatString("drain_timeout", formatDuration(settings.drainTimeout))
        + (settings.routes ? formatRoutes(*settings.routes) : "");
}

}
