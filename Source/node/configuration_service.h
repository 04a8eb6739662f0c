#pragma once

#include "contract/contract.h"
#include "platform/store_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace vanillashunt {

struct configuration_hooks {
    // Called with each newer set of contracts; the revision only ever rises.
    std::function<void(contract_snapshot)> contractsChanged;
};

// Keeps the newest contracts that this node has seen, from the store or from peers.
class configuration_service {
public:
    // The store outlives the service.
    configuration_service(boost::asio::io_context&, store_client&, configuration_hooks);

    void start();

    contract_snapshot contracts() const { return m_contracts; }

private:
    void poll();
    void readContracts(const store_range&);

    store_client& m_store;
    configuration_hooks m_hooks;
    boost::asio::steady_timer m_timer;
    contract_snapshot m_contracts = std::make_shared<contract_set>();
};

}
