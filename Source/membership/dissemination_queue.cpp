#include "membership/dissemination_queue.h"

namespace vanillashunt {

void dissemination_queue::add(std::uint64_t memberId, std::uint32_t transmissions)
{
    if (m_remaining.insert_or_assign(memberId, transmissions).second) {
        m_order.push_front(memberId);
    }
}

std::vector<std::uint64_t> dissemination_queue::take(std::size_t bytes, const size_hook& sizeOf)
{
    std::vector<std::uint64_t> taken;
    while (!m_order.empty()) {
        auto memberId = m_order.front();
        auto size = sizeOf(memberId);
        if (size > bytes) {
            break;
        }
        bytes -= size;
        m_order.pop_front();
        taken.push_back(memberId);
    }
    for (auto memberId : taken) {
        if (--m_remaining[memberId] == 0) {
            m_remaining.erase(memberId);
        } else {
            m_order.push_back(memberId);
        }
    }
    return taken;
}

}
