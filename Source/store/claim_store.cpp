#include "store/claim_store.h"

namespace vanillashunt {

namespace {

    constexpr const char* claimPrefix = "/vanillashunt/claims/";
    constexpr std::int64_t noKeyYet = 0;

    claim_result readClaim(const store_result<store_swap>& result, const ticket& wanted)
    {
        const auto* swap = std::get_if<store_swap>(&result);
        if (!swap) {
            return claim_unknown {};
        }
        if (swap->succeeded) {
            return claim_made {};
        }
        if (swap->standing.empty()) {
            return claim_unknown {};
        }
        auto standing = parseTicket(swap->standing.front().value);
        if (!standing) {
            return claim_unknown {};
        }
        // An own write whose answer was lost, and that was sent again, stands against itself.
        if (standing->nonce == wanted.nonce) {
            return claim_made {};
        }
        return claim_standing { *standing };
    }

}

claim_store::claim_store(store_client& store)
    : m_store(store)
{
}

void claim_store::claim(const std::string& organisation, const std::string& idempotencyKey, const ticket& permit,
    std::chrono::milliseconds timeout, std::function<void(claim_result)> handler)
{
    auto key = claimPrefix + organisation + "/" + idempotencyKey;
    m_store.swap(key, noKeyYet, toString(permit), timeout, [handler = std::move(handler), permit](const store_result<store_swap>& result) {
        handler(readClaim(result, permit));
    });
}

}
