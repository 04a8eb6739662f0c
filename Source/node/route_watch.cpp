#include "node/route_watch.h"

#include "events/event_catalogue.h"
#include "operator/operator_port.h"
#include "platform/route_document.h"
#include "platform/wire_names.h"

namespace vanillashunt {

namespace {

    watched_document_terms routeTerms()
    {
        watched_document_terms terms;
        terms.key = wire::configurationKey;
        terms.peerMethod = contractsSinceMethod;
        return terms;
    }

}

route_watch::route_watch(boost::asio::io_context& context, key_value_store& store, peer_rpc& peers, std::uint64_t selfId, std::string availabilityZone, route_watch_hooks hooks)
    : m_hooks(std::move(hooks))
    , m_watched(context, store, peers, selfId, std::move(availabilityZone), routeTerms(), watchedHooks())
{
}

watched_document_hooks route_watch::watchedHooks()
{
    watched_document_hooks hooks;
    hooks.version = [this] { return m_version; };
    hooks.stored = [this](const store_entry& entry) { take(entry.value); };
    hooks.told = [this](const Json::Value& news) {
        if (news.isObject() && news["document"].isString()) {
            take(news["document"].asString());
        }
    };
    hooks.chance = m_hooks.chance;
    hooks.lost = [](const std::string& why) { logEvent(events::storeLost, { { "reason", why } }); };
    hooks.back = [this](std::chrono::milliseconds away) {
        logEvent(events::storeBack, { { "after_ms", std::to_string(away.count()) } });
        m_hooks.storeBack();
    };
    return hooks;
}

void route_watch::take(const std::string& document)
{
    auto parsed = parseRouteDocument(document);
    if (const auto* problem = std::get_if<route_document_problem>(&parsed)) {
        ++m_unreadable;
        logEvent(events::routesUnreadable, { { "problem", problem->message }, { "in_force", std::to_string(m_version) } });
        return;
    }
    auto configuration = std::make_shared<route_configuration>(std::move(std::get<route_configuration>(parsed)));
    if (configuration->version <= m_version) {
        return;
    }
    m_version = configuration->version;
    m_document = document;
    m_hooks.changed(configuration);
}

Json::Value route_watch::newsSince(std::int64_t version) const
{
    Json::Value news;
    news["revision"] = Json::Int64(m_version);
    if (m_version > version) {
        news["document"] = m_document;
    }
    return news;
}

Json::Value route_watch::dump() const
{
    auto state = m_watched.dump();
    state["unreadable"] = Json::UInt64(m_unreadable);
    return state;
}

}
