#include "node/membership_dump.h"

namespace vanillashunt {

namespace {

    using std::chrono::milliseconds;

    Json::Value dumpMember(const gossip_protocol& protocol, const member_record& record, std::chrono::steady_clock::time_point now)
    {
        const auto& entry = record.entry;
        Json::Value value;
        value["id"] = Json::UInt64(entry.id);
        value["version"] = Json::UInt64(entry.version);
        value["name"] = entry.name;
        value["availability_zone"] = entry.availabilityZone;
        value["region"] = entry.region;
        value["address"] = entry.address;
        value["operator_address"] = entry.operatorAddress;
        value["service"] = entry.service;
        value["slots"] = entry.slots;
        value["state"] = toString(entry.state);
        value["reason"] = record.reason;
        value["reachable"] = protocol.reachable(entry);
        value["state_age_ms"] = Json::Int64(std::chrono::duration_cast<milliseconds>(now - record.changed).count());
        return value;
    }

    Json::Value dumpTraffic(const std::array<gossip_traffic, gossipKindCount>& traffic)
    {
        Json::Value value(Json::objectValue);
        for (std::size_t kind = 1; kind < gossipKindCount; ++kind) {
            auto& entry = value[toString(static_cast<gossip_kind>(kind))];
            entry["datagrams"] = Json::UInt64(traffic.at(kind).datagrams);
            entry["bytes"] = Json::UInt64(traffic.at(kind).bytes);
        }
        return value;
    }

}

Json::Value dumpMembership(const gossip_protocol& protocol, const gossip_counts& counts, const seed_keeper_counts& seeds, std::chrono::steady_clock::time_point now)
{
    Json::Value value;
    value["self"] = Json::UInt64(protocol.table().self().id);
    value["members"] = Json::Value(Json::arrayValue);
    for (const auto& [id, record] : protocol.table().records()) {
        value["members"].append(dumpMember(protocol, record, now));
    }
    value["availability_zones"] = Json::Value(Json::objectValue);
    for (const auto& [zone, members] : protocol.table().zones()) {
        auto& entry = value["availability_zones"][zone];
        entry["live"] = Json::UInt64(members.live.size());
        entry["reachable"] = protocol.zones().reachable(zone);
        entry["unreachable_ms"] = Json::Int64(protocol.zones().unreachableFor(zone, now).count());
    }
    value["health"]["score"] = protocol.health().score();
    value["health"]["trusted"] = protocol.health().trusted();
    value["health"]["pauses"] = Json::UInt64(protocol.health().pauses());
    value["deaths_declared"] = Json::UInt64(protocol.deathsDeclared());
    value["suspicions_raised"] = Json::UInt64(protocol.suspicionsRaised());
    value["alone"] = protocol.alone(now);
    value["digest"] = Json::UInt64(protocol.table().digest());
    value["queued_news"] = Json::UInt64(protocol.queuedUpdates());
    value["exchanges"]["finished"] = Json::UInt64(protocol.exchange().finished());
    value["exchanges"]["abandoned"] = Json::UInt64(protocol.exchange().abandoned());
    value["sent"] = dumpTraffic(counts.sent);
    value["received"] = dumpTraffic(counts.received);
    value["garbage"] = Json::UInt64(counts.garbage);
    value["unsent"] = Json::UInt64(counts.unsent);
    value["store_calls"]["reads"] = Json::UInt64(seeds.reads);
    value["store_calls"]["writes"] = Json::UInt64(seeds.writes);
    value["store_calls"]["failures"] = Json::UInt64(seeds.failures);
    return value;
}

}
