#include "node/quota_service.h"

#include "peer/datagram_checksum.h"
#include "peer/quota_codec.h"

namespace vanillashunt {

quota_service::quota_service(boost::asio::io_context& context, const std::string& listenAddress, const std::string& meshName, quota_settings settings, std::function<std::uint64_t(std::uint64_t bound)> randomBelow, time_point started)
    : m_checksumSeed(meshChecksumSeed(meshName))
    , m_exchange(std::move(settings), exchangeHooks(std::move(randomBelow)), started)
    , m_socket(context, listenAddress, [this](const char* bytes, std::size_t size, const boost::asio::ip::udp::endpoint& sender) { datagramReceived(bytes, size, sender); })
{
}

quota_hooks quota_service::exchangeHooks(std::function<std::uint64_t(std::uint64_t bound)> randomBelow)
{
    quota_hooks hooks;
    hooks.send = [this](const member& target, const quota_message& message) { send(target.operatorAddress, message); };
    hooks.chance = std::move(randomBelow);
    return hooks;
}

template <typename Address>
void quota_service::send(const Address& address, const quota_message& message)
{
    auto bytes = encodeQuota(message, m_checksumSeed);
    if (bytes.empty() || !m_socket.send(address, bytes)) {
        ++m_unsent;
    }
}

void quota_service::datagramReceived(const char* bytes, std::size_t size, const boost::asio::ip::udp::endpoint& sender)
{
    auto message = decodeQuota(bytes, size, m_checksumSeed);
    if (!message) {
        ++m_invalidDatagrams;
        return;
    }
    if (auto answer = m_exchange.receive(*message, std::chrono::steady_clock::now())) {
        send(sender, *answer);
    }
}

Json::Value quota_service::standingOf(const std::string& organisation, time_point now)
{
    Json::Value json;
    auto standing = m_exchange.statusOf(organisation, now);
    json["organisation"] = organisation;
    json["known"] = standing.has_value();
    if (!standing) {
        return json;
    }
    json["rate_per_s"] = standing->quota.ratePerSecond;
    json["burst"] = standing->quota.burst;
    json["admitted"] = standing->admitted;
    json["waiting"] = Json::UInt64(standing->waiting);
    if (standing->pool) {
        json["pool"] = Json::UInt64(*standing->pool);
    }
    return json;
}

Json::Value quota_service::dump(time_point now) const
{
    const auto& counts = m_exchange.counts();
    auto owner = m_exchange.owner(now);
    Json::Value state;
    state["pool_owner"] = owner ? owner->name : "this node";
    state["share"] = m_exchange.share();
    state["waiting"] = Json::UInt64(m_exchange.waiting());
    state["asks"] = Json::UInt64(counts.asks);
    state["unanswered"] = Json::UInt64(counts.unanswered);
    state["lent"] = Json::UInt64(counts.lent);
    state["borrowed"] = Json::UInt64(counts.borrowed);
    state["unsent"] = Json::UInt64(m_unsent);
    state["garbage"] = Json::UInt64(m_invalidDatagrams);
    return state;
}

}
