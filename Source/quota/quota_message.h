#pragma once

#include "quota/quota_pool.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace vanillashunt {

// Organisations that one message asks for or gives to, at most: it is one datagram.
constexpr std::size_t maxQuotaEntries = 32;

enum class quota_kind : std::uint8_t {
    // A node gives its pool what it has not used.
    Accrual = 1,
    // Asks a pool for requests.
    Ask,
    // Answers either.
    Grant,
};

// One datagram between the nodes that share quotas.
struct quota_message {
    quota_kind kind = quota_kind::Accrual;
    std::uint64_t senderId = 0;
    // Echoed by the answer.
    std::uint32_t sequence = 0;
    // Accrual: what is given beside the unused requests among the grants.
    quota_accrual accrual;
    // Ask: whether one pool asks another.
    bool isFromPool = false;
    std::vector<quota_ask> asks;
    // Accrual and Grant.
    std::vector<quota_grant> grants;
};

}
