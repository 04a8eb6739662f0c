#include "decision/ticket.h"

#include <charconv>
#include <cstdio>

namespace vanillashunt {

namespace {

    constexpr std::size_t digits = 16;
    constexpr std::size_t textLength = 3 * digits + 2;

    std::optional<std::uint64_t> parseHex(const std::string& text, std::size_t from)
    {
        std::uint64_t value = 0;
        const char* begin = text.data() + from;
        auto [end, error] = std::from_chars(begin, begin + digits, value, 16);
        if (error != std::errc {} || end != begin + digits) {
            return std::nullopt;
        }
        return value;
    }

}

ticket mintTicket(const member& home, std::uint64_t nonce, std::chrono::steady_clock::time_point now)
{
    auto sinceReceived = std::chrono::duration_cast<std::chrono::milliseconds>(now - home.uptimeReceived);
    return { home.id, home.uptime + sinceReceived + ticketLifetime, nonce };
}

std::string toString(const ticket& value)
{
    char text[textLength + 1];
    std::snprintf(text, sizeof text, "%016llx-%016llx-%016llx",
        static_cast<unsigned long long>(value.home),
        static_cast<unsigned long long>(value.validUntil.count()),
        static_cast<unsigned long long>(value.nonce));
    return text;
}

std::optional<ticket> parseTicket(const std::string& text)
{
    if (text.size() != textLength || text[digits] != '-' || text[2 * digits + 1] != '-') {
        return std::nullopt;
    }
    auto home = parseHex(text, 0);
    auto validUntil = parseHex(text, digits + 1);
    auto nonce = parseHex(text, 2 * digits + 2);
    if (!home || !validUntil || !nonce || *validUntil > INT64_MAX) {
        return std::nullopt;
    }
    return ticket { *home, std::chrono::milliseconds(*validUntil), *nonce };
}

}
