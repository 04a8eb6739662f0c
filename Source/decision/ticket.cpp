#include "decision/ticket.h"

#include <charconv>
#include <cstdio>
#include <sstream>
#include <vector>

namespace vanillashunt {

namespace {

    // The text form is home, validity, nonce, use and claim, in hexadecimal.
    constexpr std::size_t fieldCount = 5;

    std::optional<std::uint64_t> parseHex(const std::string& text)
    {
        std::uint64_t value = 0;
        const char* end = text.data() + text.size();
        auto parsed = std::from_chars(text.data(), end, value, 16);
        if (text.empty() || parsed.ec != std::errc {} || parsed.ptr != end) {
            return std::nullopt;
        }
        return value;
    }

    std::vector<std::string> split(const std::string& text)
    {
        std::vector<std::string> fields;
        std::istringstream stream(text);
        std::string field;
        while (std::getline(stream, field, '-')) {
            fields.push_back(field);
        }
        return fields;
    }

}

ticket mintTicket(const member& home, std::uint64_t nonce, std::chrono::steady_clock::time_point now)
{
    auto sinceReceived = std::chrono::duration_cast<std::chrono::milliseconds>(now - home.uptimeReceived);
    return { home.id, home.uptime + sinceReceived + ticketLifetime, nonce, 0, false };
}

std::string toString(const ticket& value)
{
    char text[80];
    std::snprintf(text, sizeof text, "%016llx-%llx-%016llx-%x-%d",
        static_cast<unsigned long long>(value.home),
        static_cast<unsigned long long>(value.validUntil.count()),
        static_cast<unsigned long long>(value.nonce),
        value.use, value.claimed ? 1 : 0);
    return text;
}

std::optional<ticket> parseTicket(const std::string& text)
{
    auto fields = split(text);
    if (fields.size() != fieldCount || text.back() == '-') {
        return std::nullopt;
    }
    auto home = parseHex(fields[0]);
    auto validUntil = parseHex(fields[1]);
    auto nonce = parseHex(fields[2]);
    auto use = parseHex(fields[3]);
    auto claimed = parseHex(fields[4]);
    if (!home || !validUntil || !nonce || !use || !claimed || *validUntil > INT64_MAX || *use > UINT32_MAX || *claimed > 1) {
        return std::nullopt;
    }
    return ticket { *home, std::chrono::milliseconds(*validUntil), *nonce, static_cast<std::uint32_t>(*use), *claimed == 1 };
}

}
