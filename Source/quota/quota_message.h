#pragma once

#include "quota/quota_pool.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace vanillashunt {

// Maximum number of organisations in a message, so that it fits one datagram.
constexpr std::size_t maxQuotaEntries = 32;

enum class quota_kind : std::uint8_t {
    // Gives a node's share and its unused grants to the pool.
    Accrual = 1,
    // Asks a pool for quota.
    Ask,
    // Answers either of the others.
    Grant,
};

// One datagram between the nodes that share quotas.
struct quota_message {
    quota_kind kind = quota_kind::Accrual;
    std::uint64_t senderId = 0;
    // Echoed by the answer.
    std::uint32_t sequence = 0;
    // Accrual: the node's share. The grants are those that it has not used.
    quota_accrual accrual;
    // Ask: whether the sender is the pool of another zone.
    bool isFromPool = false;
    std::vector<quota_ask> asks;
    // Accrual: unused grants; Grant: the answers to the asks.
    std::vector<quota_grant> grants;
};

}
