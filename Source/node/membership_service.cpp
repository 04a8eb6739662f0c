#include "node/membership_service.h"

#include "platform/seed_directory.h"

namespace vanillashunt {

namespace {

    constexpr std::chrono::milliseconds pollPeriod { 500 };
    constexpr std::chrono::milliseconds storeTimeout { 1000 };

}

membership_service::membership_service(boost::asio::io_context& context, store_client& store, membership_hooks hooks)
    : m_store(store)
    , m_hooks(std::move(hooks))
    , m_timer(context)
{
}

void membership_service::start(const member& self)
{
    m_self = self;
    poll();
}

void membership_service::setSelf(const member& self)
{
    m_self = self;
}

void membership_service::poll()
{
    auto now = std::chrono::steady_clock::now();
    m_self.uptime = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_started);
    auto key = seedPrefix + m_self.availabilityZone + "/" + m_self.name;
    if (!m_self.service.empty()) {
        m_store.swap(key, m_writtenRevision, writeSeed(m_self), storeTimeout, [this](store_result<store_swap> result) {
            if (auto* swap = std::get_if<store_swap>(&result)) {
                m_writtenRevision = swap->succeeded || swap->standing.empty() ? swap->revision : swap->standing.front().modRevision;
            }
        });
    }
    m_store.rangePrefix(seedPrefix, storeTimeout, [this](store_result<store_range> result) {
        if (auto* range = std::get_if<store_range>(&result)) {
            readMembers(*range);
        }
    });
    m_timer.expires_after(pollPeriod);
    m_timer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            poll();
        }
    });
}

void membership_service::readMembers(const store_range& range)
{
    auto members = std::make_shared<std::vector<member>>();
    for (const auto& entry : range.entries) {
        if (auto seed = readSeed(entry.value, std::chrono::steady_clock::now())) {
            members->push_back(*seed);
        }
    }
    m_hooks.membersChanged(members);
}

}
