#include "node/configuration_service.h"

#include "contract/parse_contract.h"
#include "platform/seed_directory.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    constexpr std::chrono::milliseconds pollPeriod { 500 };
    constexpr std::chrono::milliseconds storeTimeout { 1000 };

}

configuration_service::configuration_service(boost::asio::io_context& context, store_client& store, configuration_hooks hooks)
    : m_store(store)
    , m_hooks(std::move(hooks))
    , m_timer(context)
{
}

void configuration_service::start()
{
    poll();
}

void configuration_service::poll()
{
    m_store.rangePrefix(contractPrefix, storeTimeout, [this](store_result<store_range> result) {
        if (auto* range = std::get_if<store_range>(&result)) {
            readContracts(*range);
        }
    });
    m_timer.expires_after(pollPeriod);
    m_timer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            poll();
        }
    });
}

void configuration_service::readContracts(const store_range& range)
{
    auto contracts = std::make_shared<contract_set>();
    for (const auto& entry : range.entries) {
        auto parsed = parseContract(entry.value, entry.key);
        auto* terms = std::get_if<contract>(&parsed);
        if (!terms) {
            continue;
        }
        contracts->byCustomer[terms->customer] = { *terms, entry.value, entry.modRevision };
        contracts->revision = std::max(contracts->revision, entry.modRevision);
    }
    if (contracts->revision <= m_contracts->revision) {
        return;
    }
    m_contracts = contracts;
    m_hooks.contractsChanged(m_contracts);
}

}
