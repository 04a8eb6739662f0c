#pragma once

#include "decision/request_fingerprint.h"

#include <array>
#include <cstddef>

namespace vanillashunt {

// Remembers contents that were served here lately, without a time or a search: each has one
// place, which a later content may take. What is asked for often is nearly always there.
class recent_contents {
public:
    void add(request_fingerprint content) { m_places[placeOf(content)] = content; }

    bool has(request_fingerprint content) const { return m_places[placeOf(content)] == content; }

private:
    // 32 KB: half a minute of 140 requests a second.
    static constexpr std::size_t places = 4096;

    static std::size_t placeOf(request_fingerprint content) { return content.value % places; }

    std::array<request_fingerprint, places> m_places {};
};

}
