#include "caller/context_text.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <sstream>
#include <vector>

namespace vanillashunt {

namespace {

    // The format is version, request id, run id, tokens, may have run, attempt, separated by '.'; the
    // numbers are in hexadecimal.
    constexpr const char* version = "1";
    constexpr std::size_t fieldCount = 6;
    constexpr std::size_t maxIdLength = 64;

    std::vector<std::string> split(const std::string& text)
    {
        std::vector<std::string> fields;
        std::istringstream stream(text);
        std::string field;
        while (std::getline(stream, field, '.')) {
            fields.push_back(field);
        }
        return fields;
    }

    template <typename Integer>
    bool readHex(const std::string& text, Integer& value)
    {
        const char* end = text.data() + text.size();
        auto result = std::from_chars(text.data(), end, value, 16);
        return !text.empty() && result.ec == std::errc {} && result.ptr == end;
    }

}

bool isRequestId(const std::string& text)
{
    return !text.empty() && text.size() <= maxIdLength && std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
    });
}

std::string toString(const context_text& value)
{
    char numbers[64];
    std::snprintf(numbers, sizeof numbers, ".%llx.%x.%d.%x", static_cast<unsigned long long>(value.runId), value.retryTokens,
        value.mayHaveRun ? 1 : 0, value.attempt);
    return std::string(version) + "." + value.requestId + numbers;
}

std::optional<context_text> parseContextText(const std::string& text)
{
    auto fields = split(text);
    if (fields.size() != fieldCount || text.back() == '.' || fields[0] != version) {
        return std::nullopt;
    }
    context_text value;
    value.requestId = fields[1];
    value.mayHaveRun = fields[4] == "1";
    bool isFlagValid = value.mayHaveRun || fields[4] == "0";
    if (!isFlagValid || !isRequestId(value.requestId) || !readHex(fields[2], value.runId)
        || !readHex(fields[3], value.retryTokens) || !readHex(fields[5], value.attempt)) {
        return std::nullopt;
    }
    return value;
}

}
