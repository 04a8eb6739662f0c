#include "command/contract_store.h"

#include "caller/caller_request.h"
#include "contract/parse_contract.h"
#include "http/socket_address.h"
#include "store/seed_directory.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>

namespace vanillashunt {

std::vector<command_option> optionsOf(store_options& options)
{
    return {
        { "store", true, [&](const std::string& value) -> std::optional<std::string> {
             if (!parseEndpoint(value)) {
                 return "'" + value + "' is no address of a store; write IP:PORT";
             }
             options.endpoints.push_back(value);
             return std::nullopt;
         } },
        { "timeout", true, [&](const std::string& value) -> std::optional<std::string> {
             auto timeout = readTimeout(value);
             if (!timeout || timeout->count() == 0) {
                 return "'" + value + "' is no duration; write for example 500ms or 3s";
             }
             options.timeout = *timeout;
             return std::nullopt;
         } },
    };
}

stored_contract readStored(const store_entry& entry)
{
    auto parsed = parseContract(entry.value, entry.key);
    if (const auto* terms = std::get_if<contract>(&parsed)) {
        return { *terms, entry.value, entry.modRevision };
    }
    stored_contract unreadable;
    unreadable.terms.organisation = entry.key.substr(std::min(entry.key.size(), std::string(contractPrefix).size()));
    unreadable.text = entry.value;
    unreadable.revision = entry.modRevision;
    return unreadable;
}

contract_store::contract_store(store_options options)
    : m_options(std::move(options))
{
}

std::variant<contract_set, std::string> contract_store::readAll()
{
    boost::asio::io_context context;
    store_client client(context, m_options.endpoints, {});
    store_result<store_range> result = store_failure {};
    client.rangePrefix(contractPrefix, m_options.timeout, [&](store_result<store_range> answer) {
        result = std::move(answer);
        // The connection stays open for a next call, which does not come.
        context.stop();
    });
    context.run();
    if (const auto* failure = std::get_if<store_failure>(&result)) {
        return "the store cannot be read: " + failure->message;
    }
    contract_set contracts;
    for (const auto& entry : std::get<store_range>(result).entries) {
        auto stored = readStored(entry);
        contracts.byOrganisation[stored.terms.organisation] = stored;
        contracts.revision = std::max(contracts.revision, stored.revision);
    }
    return contracts;
}

store_result<store_swap> contract_store::swap(const std::string& organisation, std::int64_t expectedRevision, const std::string& text)
{
    boost::asio::io_context context;
    store_client client(context, m_options.endpoints, {});
    store_result<store_swap> result = store_failure {};
    client.swap(contractPrefix + organisation, expectedRevision, text, m_options.timeout, [&](store_result<store_swap> answer) {
        result = std::move(answer);
        context.stop();
    });
    context.run();
    return result;
}

}
