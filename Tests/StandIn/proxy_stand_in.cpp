#include "StandIn/proxy_stand_in.h"

#include "StandIn/command_line.h"

#include <stdexcept>

namespace vanillashunt {

namespace {

    // How often a port is chosen anew because it is free for only one protocol.
    constexpr int bindAttempts = 50;

    Json::Value describe(const proxy_link& link)
    {
        static const char* const words[] = { "tcp", "udp", "both" };
        Json::Value value;
        value["name"] = link.name;
        value["zone"] = link.zone;
        value["protocol"] = words[static_cast<std::size_t>(link.protocol)];
        value["address"] = toString(link.listen);
        value["upstream"] = link.upstream ? toString(*link.upstream) : "";
        return value;
    }

}

proxy_stand_in::proxy_stand_in(boost::asio::io_context& io, const proxy_settings& settings)
    : m_io(io)
    , m_random(settings.seed)
    , m_server(io, parseEndpoint(settings.control), [this](const http_connection::pointer& connection) { serve(connection); })
{
    for (const auto& link : settings.links) {
        add(link);
    }
}

void proxy_stand_in::serve(const http_connection::pointer& connection)
{
    if (connection->path() == "/control/links") {
        connection->answer(200, toJson());
        return;
    }
    connection->answer(200, control(connection->json()));
}

Json::Value proxy_stand_in::control(const Json::Value& command)
{
    Json::Value answer(Json::objectValue);
    if (command.isMember("add")) {
        return add(parseLink(command["add"]));
    }
    if (command.isMember("remove")) {
        find(command["remove"].asString());
        m_links.erase(command["remove"].asString());
    }
    if (command.isMember("upstream")) {
        find(command["upstream"]["name"].asString()).link.upstream = parseLinkAddress(command["upstream"]["address"].asString());
    }
    if (command["clear"].isBool() && command["clear"].asBool()) {
        m_rules.clear();
    } else if (command["clear"].isIntegral()) {
        m_rules.remove(command["clear"].asUInt64());
    }
    if (auto rule = parseFaultRule(command)) {
        answer["rule"] = static_cast<Json::UInt64>(m_rules.add(*rule));
    }
    resume();
    return answer;
}

Json::Value proxy_stand_in::add(proxy_link link)
{
    ++m_lastNumber;
    if (link.name.empty()) {
        link.name = "link" + std::to_string(m_lastNumber);
    }
    if (m_links.count(link.name) > 0) {
        throw std::invalid_argument("there is a link " + link.name + " already; choose another name or remove it first");
    }
    auto& added = m_links[link.name];
    added.link = link;
    try {
        bind(added);
    } catch (const std::exception&) {
        m_links.erase(link.name);
        throw;
    }
    return describe(added.link);
}

void proxy_stand_in::bind(relayed_link& added)
{
    auto wantedPort = added.link.listen.port;
    for (int attempt = 1;; ++attempt) {
        try {
            if (added.link.protocol != link_protocol::Udp) {
                added.tcp = std::make_unique<tcp_link>(m_io, added.link, added.counters, m_rules);
            }
            if (added.link.protocol != link_protocol::Tcp) {
                added.udp = std::make_unique<udp_link>(m_io, added.link, added.counters, m_rules, m_random);
            }
            return;
        } catch (const boost::system::system_error& error) {
            added.tcp.reset();
            added.link.listen.port = wantedPort;
            if (wantedPort != 0 || attempt == bindAttempts) {
                throw std::invalid_argument("link " + added.link.name + " cannot listen on " + toString(added.link.listen) + ": " + error.what());
            }
        }
    }
}

proxy_stand_in::relayed_link& proxy_stand_in::find(const std::string& name)
{
    auto found = m_links.find(name);
    if (found == m_links.end()) {
        throw std::invalid_argument("there is no link " + name + "; add it first");
    }
    return found->second;
}

void proxy_stand_in::resume()
{
    for (auto& [name, each] : m_links) {
        if (each.tcp) {
            each.tcp->resume();
        }
    }
}

Json::Value proxy_stand_in::toJson() const
{
    Json::Value value;
    value["address"] = m_server.address();
    value["links"] = Json::arrayValue;
    for (const auto& [name, each] : m_links) {
        auto entry = describe(each.link);
        entry["open"] = static_cast<Json::UInt64>(each.tcp ? each.tcp->openConnections() : 0);
        entry["accepted"] = static_cast<Json::UInt64>(each.counters.accepted);
        entry["refused"] = static_cast<Json::UInt64>(each.counters.refused);
        entry["datagrams"] = static_cast<Json::UInt64>(each.counters.datagrams);
        entry["datagram_bytes"] = static_cast<Json::UInt64>(each.counters.datagramBytes);
        entry["dropped_datagrams"] = static_cast<Json::UInt64>(each.counters.droppedDatagrams);
        value["links"].append(entry);
    }
    return value;
}

int runProxy(int argc, char** argv)
{
    proxy_settings settings;
    auto linkOption = [&settings](const char* name, link_protocol protocol) {
        return command_option { name, [&settings, protocol](const std::string& value) { settings.links.push_back(parseLink(value, protocol)); } };
    };
    parseOptions(argc, argv,
        {
            linkOption("tcp", link_protocol::Tcp),
            linkOption("udp", link_protocol::Udp),
            linkOption("both", link_protocol::Both),
            textOption("control", settings.control),
            numberOption("seed", settings.seed),
        });

    boost::asio::io_context io(1);
    proxy_stand_in proxy(io, settings);
    callAtStop(io, [&io] { io.stop(); });
    auto ready = proxy.toJson();
    ready["ready"] = "proxy";
    printReady(ready);
    io.run();
    return 0;
}

}
