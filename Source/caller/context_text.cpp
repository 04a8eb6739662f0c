#include "caller/context_text.h"

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace vanillashunt {

namespace {

    // The form is "1.<request id>.<run id>.<tokens>.<may have run>", numbers in
    // hexadecimal; the first field is the version of the form.
    constexpr const char* versionPrefix = "1.";
    constexpr std::size_t versionLength = 2;
    constexpr std::size_t longestId = 64;

    template <typename Integer>
    bool readHex(const std::string& text, std::size_t from, std::size_t to, Integer& value)
    {
        auto parsed = std::from_chars(text.data() + from, text.data() + to, value, 16);
        return parsed.ec == std::errc {} && parsed.ptr == text.data() + to;
    }

}

bool isRequestId(const std::string& text)
{
    return !text.empty() && text.size() <= longestId && std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
    });
}

std::string toString(const context_text& value)
{
    char numbers[48];
    std::snprintf(numbers, sizeof numbers, ".%llx.%x.%d", static_cast<unsigned long long>(value.runId), value.retryTokens, value.mayHaveRun ? 1 : 0);
    return versionPrefix + value.requestId + numbers;
}

std::optional<context_text> parseContextText(const std::string& text)
{
    if (text.compare(0, versionLength, versionPrefix) != 0) {
        return std::nullopt;
    }
    auto idEnd = text.find('.', versionLength);
    if (idEnd == std::string::npos) {
        return std::nullopt;
    }
    auto runEnd = text.find('.', idEnd + 1);
    if (runEnd == std::string::npos) {
        return std::nullopt;
    }
    auto tokensEnd = text.find('.', runEnd + 1);
    if (tokensEnd == std::string::npos) {
        return std::nullopt;
    }
    auto flag = text.substr(tokensEnd + 1);
    if (flag != "0" && flag != "1") {
        return std::nullopt;
    }
    context_text value;
    value.mayHaveRun = flag == "1";
    value.requestId = text.substr(versionLength, idEnd - versionLength);
    if (!isRequestId(value.requestId) || !readHex(text, idEnd + 1, runEnd, value.runId)
        || !readHex(text, runEnd + 1, tokensEnd, value.retryTokens)) {
        return std::nullopt;
    }
    return value;
}

}
