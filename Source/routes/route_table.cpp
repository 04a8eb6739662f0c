#include "routes/route_table.h"

#include <algorithm>
#include <cctype>

namespace vanillashunt {

namespace {

    std::string hostKey(std::string_view host)
    {
        auto colon = host.rfind(':');
        bool hasPort = colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos;
        std::string key(hasPort ? host.substr(0, colon) : host);
        std::transform(key.begin(), key.end(), key.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
        return key;
    }

    bool startsWith(std::string_view text, std::string_view prefix)
    {
        return text.substr(0, prefix.size()) == prefix;
    }

    bool hasLongerPrefix(const route* left, const route* right)
    {
        return left->prefix.size() > right->prefix.size();
    }

}

route_table::route_table(route_snapshot configuration)
    : m_configuration(std::move(configuration))
{
    for (const auto& entry : m_configuration->routes) {
        m_byHost[hostKey(entry.host)].push_back(&entry);
    }
    for (auto& [host, routes] : m_byHost) {
        std::stable_sort(routes.begin(), routes.end(), hasLongerPrefix);
    }
}

const route* route_table::find(std::string_view host, std::string_view target) const
{
    auto found = m_byHost.find(hostKey(host));
    if (found == m_byHost.end()) {
        return nullptr;
    }
    auto path = target.substr(0, target.find('?'));
    for (const auto* candidate : found->second) {
        if (startsWith(path, candidate->prefix)) {
            return candidate;
        }
    }
    return nullptr;
}

}
