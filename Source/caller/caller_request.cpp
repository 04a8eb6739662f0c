#include "caller/caller_request.h"

#include "call/header_names.h"

#include <algorithm>
#include <charconv>

namespace vanillashunt {

namespace {

    constexpr std::size_t maxKeyLength = 256;
    constexpr std::size_t maxNameLength = 63;
    constexpr std::int64_t maxTimeoutMilliseconds = 3600LL * 1000;

    bool isName(const std::string& text)
    {
        return !text.empty() && text.size() <= maxNameLength && std::all_of(text.begin(), text.end(), [](unsigned char c) {
            return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
        });
    }

    bool isPrintable(const std::string& text)
    {
        return std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > ' ' && c < 127; });
    }

    caller_problem malformed(const char* field, const std::string& message)
    {
        return { verdict_reason::Malformed, std::string("field ") + field + " " + message };
    }

    std::optional<std::uint32_t> readCount(const std::string& text)
    {
        std::uint32_t value = 0;
        const char* end = text.data() + text.size();
        auto parsed = std::from_chars(text.data(), end, value);
        if (parsed.ec != std::errc {} || parsed.ptr != end) {
            return std::nullopt;
        }
        return value;
    }

    // Splits the service, which is the first segment of the path, from the target.
    void splitService(const std::string& target, caller_request& request)
    {
        auto end = target.find_first_of("/?", 1);
        if (end == std::string::npos) {
            end = target.size();
        }
        request.service = target.substr(1, end - 1);
        request.path = target.substr(end);
        if (request.path.empty() || request.path.front() != '/') {
            request.path.insert(0, 1, '/');
        }
    }

}

std::optional<std::chrono::milliseconds> readTimeout(const std::string& text)
{
    std::int64_t value = 0;
    const char* end = text.data() + text.size();
    auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc {} || value < 0 || value > maxTimeoutMilliseconds) {
        return std::nullopt;
    }
    std::string unit(parsed.ptr, end);
    if (unit == "ms") {
        return std::chrono::milliseconds(value);
    }
    if (unit == "s") {
        return std::min(std::chrono::milliseconds(value * 1000), std::chrono::milliseconds(maxTimeoutMilliseconds));
    }
    return std::nullopt;
}

read_caller_result readCallerRequest(http_request request)
{
    caller_request result;
    result.method = std::move(request.method);
    auto service = fieldValue(request.fields, header::service);
    if (request.target.empty() || request.target.front() != '/') {
        return caller_problem { verdict_reason::Malformed, "the target of the request must begin with '/'" };
    }
    if (service.empty()) {
        splitService(request.target, result);
    } else {
        result.service = service;
        result.path = request.target;
    }
    if (!isName(result.service)) {
        return caller_problem { verdict_reason::UnknownService, "name the service in the first segment of the path or in the field Vanillashunt-Service, using only a-z, 0-9 and '-'" };
    }
    result.organisation = fieldValue(request.fields, header::organisation);
    if (!result.organisation.empty() && !isName(result.organisation)) {
        return malformed(header::organisation, "must be a name of up to 63 characters from a-z, 0-9 and '-'");
    }
    if (auto text = fieldValue(request.fields, header::timeout); !text.empty()) {
        result.timeout = readTimeout(text);
        if (!result.timeout) {
            return malformed(header::timeout, "must be a duration of up to an hour, for example \"1500ms\"");
        }
    }
    result.idempotencyKey = fieldValue(request.fields, header::idempotencyKey);
    if (result.idempotencyKey.size() > maxKeyLength || !isPrintable(result.idempotencyKey)) {
        return malformed(header::idempotencyKey, "must be up to 256 printable characters without spaces");
    }
    if (auto text = fieldValue(request.fields, header::ticket); !text.empty()) {
        result.permit = parseTicket(text);
        if (!result.permit) {
            return malformed(header::ticket, "must be a ticket from an earlier response, unchanged");
        }
    }
    if (auto text = fieldValue(request.fields, header::attempt); !text.empty()) {
        auto count = readCount(text);
        if (!count || *count == 0) {
            return malformed(header::attempt, "must be an integer of at least 1");
        }
        result.attempt = *count;
    }
    result.context = fieldValue(request.fields, header::context);
    result.fields = std::move(request.fields);
    result.body = std::move(request.body);
    return result;
}

}
