#include "node/route_watch.h"

#include "events/event_catalogue.h"
#include "operator/operator_port.h"
#include "platform/route_document.h"
#include "platform/wire_names.h"

namespace vanillashunt {

namespace {

    watched_document_options watchOptions()
    {
        watched_document_options options;
        options.key = wire::configurationKey;
        options.peerMethod = contractsSinceMethod;
        options.freshness = freshness_settings {};
        return options;
    }

}

route_watch::route_watch(boost::asio::io_context& context, key_value_store& store, peer_rpc& peers, std::uint64_t selfId, std::string availabilityZone, route_watch_hooks hooks)
    : m_hooks(std::move(hooks))
    , m_watched(context, store, peers, selfId, std::move(availabilityZone), watchOptions(), watchedHooks())
{
}

watched_document_hooks route_watch::watchedHooks()
{
    watched_document_hooks hooks;
    hooks.version = [this] { return m_version; };
    hooks.readFromStore = [this](const store_entry& entry) { apply(entry.value); };
    hooks.fetchedFromPeer = [this](const Json::Value& changes) {
        if (changes.isObject() && changes["document"].isString()) {
            apply(changes["document"].asString());
        }
    };
    hooks.randomBelow = m_hooks.randomBelow;
    hooks.storeFailed = [](const std::string& reason) { logEvent(events::storeLost, { { "reason", reason } }); };
    hooks.storeRecovered = [this](std::chrono::milliseconds outage) {
        logEvent(events::storeBack, { { "after_ms", std::to_string(outage.count()) } });
        m_hooks.storeRecovered();
    };
    hooks.readWhileCutOff = m_hooks.readWhileCutOff;
    hooks.outdated = [this](std::chrono::milliseconds age) { logEvent(events::routesOutdated, { { "version", std::to_string(m_version) }, { "age_ms", std::to_string(age.count()) } }); };
    hooks.upToDate = [this](std::chrono::milliseconds duration) { logEvent(events::routesUpToDate, { { "version", std::to_string(m_version) }, { "after_ms", std::to_string(duration.count()) } }); };
    return hooks;
}

void route_watch::apply(const std::string& document)
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

Json::Value route_watch::changesSince(std::int64_t version) const
{
    Json::Value changes;
    changes["revision"] = Json::Int64(m_version);
    if (m_version > version) {
        changes["document"] = m_document;
    }
    return changes;
}

Json::Value route_watch::dump() const
{
    auto state = m_watched.dump();
    state["unreadable"] = Json::UInt64(m_unreadable);
    return state;
}

}
