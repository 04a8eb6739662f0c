#include "Harness/fault_proxy.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    Json::Value toJson(const std::vector<std::string>& words)
    {
        Json::Value list(Json::arrayValue);
        for (const auto& word : words) {
            list.append(word);
        }
        return list;
    }

    std::string toText(const Json::Value& value)
    {
        return Json::writeString(Json::StreamWriterBuilder(), value);
    }

}

fault_proxy::fault_proxy()
    : m_process({ "proxy" })
{
}

std::string fault_proxy::add(const std::string& name, const std::string& zone, const std::string& protocol)
{
    if (std::find(m_names.begin(), m_names.end(), name) != m_names.end()) {
        m_process.control(R"({"remove":")" + name + "\"}");
    } else {
        m_names.push_back(name);
    }
    Json::Value command;
    command["add"]["name"] = name;
    command["add"]["zone"] = zone;
    command["add"]["protocol"] = protocol;
    command["add"]["listen"] = "127.0.0.1:0";
    return m_process.control(toText(command))["address"].asString();
}

void fault_proxy::lead(const std::string& name, const std::string& upstream)
{
    Json::Value command;
    command["upstream"]["name"] = name;
    command["upstream"]["address"] = upstream;
    m_process.control(toText(command));
}

std::uint64_t fault_proxy::cut(const cut_place& place)
{
    Json::Value command;
    command["cut"]["from_zone_sources"] = toJson(place.sources);
    command["cut"]["to_zones"] = toJson(place.zones);
    return m_process.control(toText(command))["rule"].asUInt64();
}

void fault_proxy::heal()
{
    m_process.control(R"({"clear":true})");
}

}
