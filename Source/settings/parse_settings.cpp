#include "settings/parse_settings.h"

#include "contract/parse_toml.h"
#include "contract/toml_reader.h"
#include "contract/toml_rules.h"
#include "settings/ip_endpoint.h"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <set>

namespace vanillashunt {

namespace {

    constexpr std::uint64_t minBodyLimit = 1024;
    constexpr std::uint64_t maxBodyLimit = 64UL * 1024 * 1024;
    constexpr std::uint64_t maxMemory = 1024UL * 1024 * 1024 * 1024;
    constexpr std::chrono::milliseconds maxDrainTimeout { 600000 };
    constexpr std::size_t maxLabelLength = 63;
    const std::string defaultListen = "127.0.0.1:0";

    const toml_key nodeKey { "node", "", presence::Optional };
    const toml_key callerKey { "caller", "", presence::Optional };
    const toml_key backendKey { "backend", "", presence::Optional };
    const toml_key peerKey { "peer", "", presence::Optional };
    const toml_key operatorsKey { "operators", "", presence::Optional };
    const toml_key platformKey { "platform", "", presence::Optional };
    const toml_key limitsKey { "limits", "", presence::Optional };
    const toml_key routesKey { "routes", "", presence::Optional };

    const toml_key nameKey { "name", "\"threads-1\"" };
    const toml_key availabilityZoneKey { "availability_zone", "\"cyberjaya\"" };
    const toml_key regionKey { "region", "\"klang\"", presence::Optional };
    const toml_key meshKey { "mesh", "\"hotel-production\"", presence::Optional };
    const toml_key outgoingAddressKey { "outgoing_address", "\"192.0.2.10\"", presence::Optional };
    const toml_key logLevelKey { "log_level", "\"info\"", presence::Optional };
    const toml_key policyKey { "policy", "\"full\"", presence::Optional };
    const toml_key listenKey { "listen", "\"192.0.2.10:7000\"", presence::Optional };
    const toml_key advertiseKey { "advertise", "\"192.0.2.10:7000\"", presence::Optional };
    const toml_key joinKey { "join", "[\"192.0.2.11:7002\"]", presence::Optional };
    const toml_key endpointsKey { "endpoints", "[\"192.0.2.5:2379\"]", presence::Optional };
    const toml_key maxBodyKey { "max_body", "\"1MiB\"", presence::Optional };
    const toml_key memoryKey { "memory", "\"256MiB\"", presence::Optional };
    const toml_key drainTimeoutKey { "drain_timeout", "\"30s\"", presence::Optional };

    const toml_key serviceKey { "service", "\"threads\"" };
    const toml_key serverKey { "server", "\"192.0.2.10:8080\"" };
    const toml_key readyListenKey { "ready_listen", "\"192.0.2.10:8302\"", presence::Optional };
    const toml_key retryRatioKey { "retry_ratio", "0.2", presence::Optional };
    const toml_key retrySlackKey { "retry_slack", "48", presence::Optional };
    const toml_key retryWindowKey { "retry_window_seconds", "10", presence::Optional };
    const toml_key zonesKey { "zones", "[\"cyberjaya\", \"bangsar\"]", presence::Optional };
    const toml_key quotaOverKey { "quota_over", "0.1", presence::Optional };
    const toml_key quotaWindowKey { "quota_window_seconds", "5", presence::Optional };
    const toml_key quotaSlackKey { "quota_slack", "20", presence::Optional };
    const toml_key balanceByPaceKey { "balance_by_pace", "true", presence::Optional };
    const toml_key graceKey { "grace_seconds", "6", presence::Optional };

    bool isLabelCharacter(char character)
    {
        bool isLetter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
        bool isDigit = character >= '0' && character <= '9';
        return isLetter || isDigit || character == '-' || character == '_' || character == '.';
    }

    bool isLabel(const std::string& text)
    {
        return !text.empty() && text.size() <= maxLabelLength && std::all_of(text.begin(), text.end(), isLabelCharacter);
    }

    // The empty text is the default value, which formatSettings writes out.
    bool isLabelOrEmpty(const std::string& text)
    {
        return text.empty() || isLabel(text);
    }

    bool isAddressOrEmpty(const std::string& text)
    {
        return text.empty() || isIpAddress(text);
    }

    bool isListenEndpoint(const std::string& text)
    {
        return parseIpEndpoint(text).has_value();
    }

    bool isReachableEndpoint(const std::string& text)
    {
        auto endpoint = parseIpEndpoint(text);
        return endpoint && endpoint->port != 0 && !isUnspecified(*endpoint);
    }

    bool isReachableEndpointOrEmpty(const std::string& text)
    {
        return text.empty() || isReachableEndpoint(text);
    }

    constexpr std::size_t maxMeshNameLength = 255;

    bool isMeshNameOrEmpty(const std::string& text)
    {
        return text.size() <= maxMeshNameLength && std::none_of(text.begin(), text.end(), [](unsigned char character) { return std::iscntrl(character) != 0; });
    }

    const std::string labelDescription = "1 to 63 characters from a-z, A-Z, 0-9, \"-\", \"_\" and \".\"";
    const std::string endpointDescription = "\"IP:port\" with a numeric address, IPv6 in brackets";
    const std::string reachableDescription = endpointDescription + ", not an unspecified address and not port 0";

    const toml_rule<std::string> labelRule { isLabel, labelDescription };
    const toml_rule<std::string> labelOrEmptyRule { isLabelOrEmpty, "empty or " + labelDescription };
    const toml_rule<std::string> meshRule { isMeshNameOrEmpty, "empty or at most 255 bytes without control characters" };
    const toml_rule<std::string> addressRule { isAddressOrEmpty, "empty or a numeric IP address without a port" };
    const toml_rule<std::string> listenRule { isListenEndpoint, endpointDescription };
    const toml_rule<std::string> advertiseRule { isReachableEndpointOrEmpty, "empty or " + reachableDescription };
    const toml_rule<std::string> endpointRule { isReachableEndpoint, reachableDescription };
    const toml_rule<std::string> logLevelRule = choiceRule({ "debug", "info", "warning", "error" });
    const toml_rule<std::string> policyRule = choiceRule({ "full", "hop", "none" });
    const toml_rule<std::uint64_t> maxBodyRule = sizeRule(minBodyLimit, maxBodyLimit);
    const toml_rule<std::uint64_t> memoryRule = sizeRule(minMemoryBytes, maxMemory);
    const toml_rule<std::chrono::milliseconds> drainTimeoutRule = durationRule(std::chrono::milliseconds(0), maxDrainTimeout);

    constexpr double maxSeconds = 3600;
    constexpr double maxSlack = 1e6;

    toml_rule<double> realRule(double min, double max, const std::string& description)
    {
        return { [min, max](const double& value) { return value >= min && value <= max; }, description };
    }

    const toml_rule<double> ratioRule = realRule(0, 1, "a number from 0 to 1");
    const toml_rule<double> slackRule = realRule(0, maxSlack, "a number from 0 to 1000000");
    const toml_rule<double> secondsRule = realRule(0, maxSeconds, "a number of seconds from 0 to 3600");

    std::chrono::milliseconds fromSeconds(double seconds)
    {
        return std::chrono::milliseconds(std::llround(seconds * 1000));
    }

    // Used for a section that the text omits, so that its keys get their defaults.
    const toml_node emptyTable { toml_node::table {}, 0 };

    // A section and the address where its port listens.
    struct listener {
        std::string section;
        ip_endpoint endpoint;
    };

    // Returns whether two sockets on one machine cannot be bound to these addresses at the same
    // time. Port 0 never conflicts, because it selects a free port.
    bool addressesConflict(const ip_endpoint& a, const ip_endpoint& b)
    {
        bool sameAddress = a.address == b.address || isUnspecified(a) || isUnspecified(b);
        return a.port != 0 && a.port == b.port && sameAddress;
    }

    // Reads the sections of one text into the settings.
    class settings_parser {
    public:
        settings_parser(const toml_node& root, problem_list& problems)
            : m_root(root, "", problems)
            , m_problems(problems)
        {
        }

        node_settings read()
        {
            readNode();
            m_settings.caller = readPort(callerKey);
            m_settings.backend = readPort(backendKey);
            readPeer();
            readOperators();
            readPlatform();
            readLimits();
            readRoutes();
            m_root.reportUnknownKeys();
            return m_settings;
        }

    private:
        toml_reader section(const toml_key& key)
        {
            const auto* table = m_root.readTable(key);
            return toml_reader(table ? *table : emptyTable, "[" + key.name + "]", m_problems);
        }

        void readNode()
        {
            auto reader = section(nodeKey);
            m_settings.name = reader.readString(nameKey, labelRule).value_or("");
            m_settings.availabilityZone = reader.readString(availabilityZoneKey, labelRule).value_or("");
            m_settings.region = reader.readString(regionKey, labelOrEmptyRule).value_or("");
            m_settings.mesh = reader.readString(meshKey, meshRule).value_or("");
            m_settings.outgoingAddress = reader.readString(outgoingAddressKey, addressRule).value_or("");
            m_settings.logLevel = reader.readString(logLevelKey, logLevelRule).value_or(m_settings.logLevel);
            m_settings.policy = reader.readString(policyKey, policyRule).value_or(m_settings.policy);
            reader.reportUnknownKeys();
        }

        port_settings readPortKeys(toml_reader& reader)
        {
            port_settings port;
            port.listen = reader.readString(listenKey, listenRule).value_or(defaultListen);
            port.advertise = reader.readString(advertiseKey, advertiseRule).value_or("");
            checkListen(port, reader);
            return port;
        }

        port_settings readPort(const toml_key& key)
        {
            auto reader = section(key);
            auto port = readPortKeys(reader);
            reader.reportUnknownKeys();
            return port;
        }

        void readPeer()
        {
            auto reader = section(peerKey);
            m_settings.peer = readPortKeys(reader);
            checkAdvertised(m_settings.peer, reader);
            m_settings.joinAddresses = reader.readStrings(joinKey, endpointRule);
            reader.reportUnknownKeys();
        }

        void readOperators()
        {
            auto reader = section(operatorsKey);
            m_settings.operators = readPortKeys(reader);
            checkAdvertised(m_settings.operators, reader);
            reader.reportUnknownKeys();
        }

        void readPlatform()
        {
            auto reader = section(platformKey);
            m_settings.platformEndpoints = reader.readStrings(endpointsKey, endpointRule);
            reader.reportUnknownKeys();
        }

        void readLimits()
        {
            auto reader = section(limitsKey);
            m_settings.maxBodyBytes = reader.readSize(maxBodyKey, maxBodyRule).value_or(m_settings.maxBodyBytes);
            m_settings.memoryBytes = reader.readSize(memoryKey, memoryRule).value_or(m_settings.memoryBytes);
            m_settings.drainTimeout = reader.readDuration(drainTimeoutKey, drainTimeoutRule).value_or(m_settings.drainTimeout);
            reader.reportUnknownKeys();
        }

        // Only a node that serves routes has this section.
        void readRoutes()
        {
            const auto* table = m_root.readTable(routesKey);
            if (!table) {
                return;
            }
            toml_reader reader(*table, "[routes]", m_problems);
            route_settings routes;
            routes.service = reader.readString(serviceKey, labelRule).value_or("");
            routes.server = reader.readString(serverKey, endpointRule).value_or("");
            routes.readyListen = reader.readString(readyListenKey, listenRule).value_or(defaultListen);
            routes.retryRatio = reader.readReal(retryRatioKey, ratioRule).value_or(routes.retryRatio);
            routes.retrySlack = reader.readReal(retrySlackKey, slackRule).value_or(routes.retrySlack);
            routes.retryWindow = readSeconds(reader, retryWindowKey).value_or(routes.retryWindow);
            routes.zones = reader.readStrings(zonesKey, labelRule);
            checkZones(routes.zones, reader);
            routes.quotaOver = reader.readReal(quotaOverKey, ratioRule).value_or(routes.quotaOver);
            routes.quotaWindow = readSeconds(reader, quotaWindowKey).value_or(routes.quotaWindow);
            routes.quotaSlack = reader.readReal(quotaSlackKey, slackRule).value_or(routes.quotaSlack);
            routes.balanceByPace = reader.readBoolean(balanceByPaceKey).value_or(routes.balanceByPace);
            routes.grace = readSeconds(reader, graceKey).value_or(routes.grace);
            reader.reportUnknownKeys();
            m_settings.routes = routes;
        }

        // Every limit is divided among the zones. The list must include this node's zone, and no
        // zone twice.
        void checkZones(const std::vector<std::string>& zones, toml_reader& reader)
        {
            std::set<std::string> distinct(zones.begin(), zones.end());
            bool includesOwnZone = zones.empty() || distinct.count(m_settings.availabilityZone) != 0;
            if (!includesOwnZone || distinct.size() != zones.size()) {
                reader.report(zonesKey, "zones has to name each availability zone once, including " + quoteToml(m_settings.availabilityZone) + " from [node]");
            }
        }

        static std::optional<std::chrono::milliseconds> readSeconds(toml_reader& reader, const toml_key& key)
        {
            auto seconds = reader.readReal(key, secondsRule);
            return seconds ? std::optional(fromSeconds(*seconds)) : std::nullopt;
        }

        // Reports an address that another port of this node listens on.
        void checkListen(const port_settings& port, toml_reader& reader)
        {
            auto endpoint = *parseIpEndpoint(port.listen);
            for (const auto& other : m_listeners) {
                if (addressesConflict(endpoint, other.endpoint)) {
                    reader.report(listenKey, "listen is " + quoteToml(port.listen) + ", a port that is already used by " + other.section + "; give each section its own port");
                }
            }
            m_listeners.push_back({ reader.context(), endpoint });
        }

        // Reports an unspecified address without an advertised one: it would be sent to other nodes,
        // which cannot connect to it.
        static void checkAdvertised(const port_settings& port, toml_reader& reader)
        {
            if (port.advertise.empty() && isUnspecified(*parseIpEndpoint(port.listen))) {
                reader.report(listenKey, "listen is " + quoteToml(port.listen) + ", which other nodes can't reach; name an address that they can reach, for example advertise = " + advertiseKey.example);
            }
        }

        toml_reader m_root;
        problem_list& m_problems;
        node_settings m_settings;
        std::vector<listener> m_listeners;
    };

}

parse_settings_result parseSettings(const std::string& text, const std::string& fileName)
{
    auto parsed = parseToml(text, fileName);
    if (const auto* problem = std::get_if<text_problem>(&parsed)) {
        return std::vector<text_problem> { *problem };
    }
    problem_list problems(fileName);
    auto result = settings_parser(std::get<toml_node>(parsed), problems).read();
    if (!problems.isEmpty()) {
        return problems.sorted();
    }
    return result;
}

}
