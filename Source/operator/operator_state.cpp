#include "operator/operator_state.h"

#include "settings/format_settings.h"

namespace vanillashunt {

namespace {

    Json::Value contractsJson(const contract_set& contracts)
    {
        Json::Value json;
        json["revision"] = Json::Int64(contracts.revision);
        json["customers"] = Json::Value(Json::objectValue);
        for (const auto& [organisation, stored] : contracts.byOrganisation) {
            json["customers"][organisation]["revision"] = Json::Int64(stored.revision);
            json["customers"][organisation]["classes"] = Json::UInt64(stored.terms.classes.size());
        }
        return json;
    }

    Json::Value membersJson(const std::vector<member>& members)
    {
        Json::Value json(Json::arrayValue);
        for (const auto& each : members) {
            json.append(toJson(each));
        }
        return json;
    }

}

Json::Value toJson(const member& entry)
{
    Json::Value json;
    json["incarnation"] = Json::UInt64(entry.id);
    json["version"] = Json::UInt64(entry.version);
    json["name"] = entry.name;
    json["availability_zone"] = entry.availabilityZone;
    json["region"] = entry.region;
    json["address"] = entry.address;
    json["operator"] = entry.operatorAddress;
    json["service"] = entry.service;
    json["slots"] = entry.slots;
    json["state"] = toString(entry.state);
    return json;
}

Json::Value toJson(const operator_state& state, const Json::Value& calls)
{
    Json::Value json;
    json["node"] = toJson(state.self);
    json["node"]["uptime_ms"] = Json::Int64(state.uptime.count());
    json["settings"] = formatSettings(state.settings);
    json["members"] = membersJson(state.members ? *state.members : std::vector<member>());
    json["contracts"] = contractsJson(state.contracts ? *state.contracts : contract_set());
    json["calls"] = calls;
    return json;
}

Json::Value statusOf(const Json::Value& dump)
{
    const auto& node = dump["node"];
    const auto& calls = dump["calls"];
    Json::Value status;
    for (const auto* key : { "name", "availability_zone", "service", "incarnation", "operator" }) {
        status[key] = node[key];
    }
    status["contract_revision"] = dump["contracts"]["revision"];
    status["draining"] = calls["inbound"]["draining"];
    status["in_progress"]["inbound"] = calls["inbound"]["in_progress"];
    status["in_progress"]["outbound"] = calls["outbound"]["in_progress"];
    return status;
}

}
