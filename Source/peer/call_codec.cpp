#include "peer/call_codec.h"

#include <caf/binary_deserializer.hpp>
#include <caf/binary_serializer.hpp>
#include <caf/meta/type_name.hpp>

#include <boost/endian/conversion.hpp>
#include <xxhash.h>

#include <algorithm>
#include <cstring>

namespace vanillashunt {

template <class Inspector>
typename Inspector::result_type inspect(Inspector& f, http_field& x)
{
    return f(caf::meta::type_name("http_field"), x.name, x.value);
}

namespace {

    // "VSC2", little-endian; the digit is the version of the format.
    constexpr std::uint32_t magic = 0x32435356;

    // The wire form of a request: integers and strings only.
    struct request_payload {
        std::uint64_t callId = 0;
        std::uint32_t attempt = 0;
        std::string requestId;
        std::string customer;
        std::string requestClass;
        std::uint8_t level = 0;
        std::uint32_t position = 0;
        bool idempotent = true;
        std::uint32_t retryTokens = 0;
        std::uint32_t depth = 0;
        std::int64_t remainingMicroseconds = 0;
        bool hasPermit = false;
        std::uint64_t home = 0;
        std::int64_t validUntilMilliseconds = 0;
        std::uint64_t nonce = 0;
        std::uint32_t use = 0;
        bool claimed = false;
        std::string service;
        std::string callerService;
        std::string method;
        std::string path;
        http_fields fields;
        std::string body;
    };

    struct answer_payload {
        std::uint64_t callId = 0;
        std::uint32_t attempt = 0;
        std::uint8_t run = 0;
        std::uint8_t reason = 0;
        std::int64_t retryAfterMilliseconds = 0;
        std::uint32_t status = 0;
        http_fields fields;
        std::string body;
        std::uint32_t nextUse = 0;
        std::uint32_t retryTokens = 0;
        std::uint32_t cut = 0;
        std::uint32_t inFlight = 0;
        std::uint32_t limit = 0;
    };

    template <class Inspector>
    typename Inspector::result_type inspect(Inspector& f, request_payload& x)
    {
        return f(caf::meta::type_name("request_payload"), x.callId, x.attempt, x.requestId, x.customer,
            x.requestClass, x.level, x.position, x.idempotent, x.retryTokens, x.depth, x.remainingMicroseconds,
            x.hasPermit, x.home, x.validUntilMilliseconds, x.nonce, x.use, x.claimed, x.service, x.callerService, x.method, x.path, x.fields, x.body);
    }

    template <class Inspector>
    typename Inspector::result_type inspect(Inspector& f, answer_payload& x)
    {
        return f(caf::meta::type_name("answer_payload"), x.callId, x.attempt, x.run, x.reason,
            x.retryAfterMilliseconds, x.status, x.fields, x.body, x.nextUse, x.retryTokens, x.cut, x.inFlight, x.limit);
    }

    std::uint64_t checksum(const char* bytes, std::size_t size)
    {
        return XXH3_64bits(bytes, size);
    }

    template <class Payload>
    byte_vector frame(frame_kind kind, const Payload& payload)
    {
        byte_vector bytes(frameHeadBytes);
        caf::binary_serializer sink(nullptr, bytes);
        sink.seek(frameHeadBytes);
        if (sink(payload)) {
            return {};
        }
        auto length = bytes.size() - frameHeadBytes;
        boost::endian::store_little_u32(reinterpret_cast<unsigned char*>(bytes.data()), magic);
        boost::endian::store_little_u32(reinterpret_cast<unsigned char*>(bytes.data() + 4), static_cast<std::uint32_t>(kind));
        boost::endian::store_little_u32(reinterpret_cast<unsigned char*>(bytes.data() + 8), static_cast<std::uint32_t>(length));
        boost::endian::store_little_u64(reinterpret_cast<unsigned char*>(bytes.data() + 12), checksum(bytes.data() + frameHeadBytes, length));
        return bytes;
    }

    template <class Payload>
    bool readPayload(const byte_vector& bytes, Payload& payload)
    {
        caf::binary_deserializer source(nullptr, bytes);
        return !source(payload) && source.remaining() == 0;
    }

}

std::optional<frame_head> decodeHead(const char* bytes)
{
    const auto* raw = reinterpret_cast<const unsigned char*>(bytes);
    if (boost::endian::load_little_u32(raw) != magic) {
        return std::nullopt;
    }
    auto kind = boost::endian::load_little_u32(raw + 4);
    if (kind != static_cast<std::uint32_t>(frame_kind::Request) && kind != static_cast<std::uint32_t>(frame_kind::Answer)) {
        return std::nullopt;
    }
    frame_head head;
    head.kind = static_cast<frame_kind>(kind);
    head.length = boost::endian::load_little_u32(raw + 8);
    head.checksum = boost::endian::load_little_u64(raw + 12);
    return head;
}

bool checksumMatches(const frame_head& head, const byte_vector& payload)
{
    return head.checksum == checksum(payload.data(), payload.size());
}

byte_vector encodeFrame(const call_request& request, std::chrono::steady_clock::time_point now)
{
    request_payload payload;
    payload.callId = request.callId;
    payload.attempt = request.attempt;
    payload.requestId = request.context.requestId;
    payload.customer = request.context.customer;
    payload.requestClass = request.context.requestClass;
    payload.level = static_cast<std::uint8_t>(request.context.level);
    payload.position = request.context.position;
    payload.idempotent = request.context.idempotent;
    payload.retryTokens = request.context.retryTokens;
    payload.depth = request.context.depth;
    payload.remainingMicroseconds = std::chrono::duration_cast<std::chrono::microseconds>(request.context.deadline - now).count();
    if (request.permit) {
        payload.hasPermit = true;
        payload.home = request.permit->home;
        payload.validUntilMilliseconds = request.permit->validUntil.count();
        payload.nonce = request.permit->nonce;
        payload.use = request.permit->use;
        payload.claimed = request.permit->claimed;
    }
    payload.service = request.service;
    payload.callerService = request.callerService;
    payload.method = request.method;
    payload.path = request.path;
    payload.fields = request.fields;
    payload.body = request.body;
    return frame(frame_kind::Request, payload);
}

byte_vector encodeFrame(const call_answer& answer)
{
    answer_payload payload;
    payload.callId = answer.callId;
    payload.attempt = answer.attempt;
    payload.run = static_cast<std::uint8_t>(answer.outcome.run);
    payload.reason = static_cast<std::uint8_t>(answer.outcome.reason);
    payload.retryAfterMilliseconds = answer.outcome.retryAfter.count();
    payload.status = answer.status;
    payload.fields = answer.fields;
    payload.body = answer.body;
    payload.nextUse = answer.nextUse;
    payload.retryTokens = answer.retryTokens;
    payload.cut = answer.cut;
    payload.inFlight = answer.inFlight;
    payload.limit = answer.limit;
    return frame(frame_kind::Answer, payload);
}

std::optional<call_request> decodeRequest(const byte_vector& bytes, std::chrono::steady_clock::time_point now)
{
    constexpr std::int64_t longestRemaining = 3600LL * 1000 * 1000;
    request_payload payload;
    if (!readPayload(bytes, payload) || payload.level >= importanceCount || payload.position >= sheddingPositionCount) {
        return std::nullopt;
    }
    call_request request;
    request.callId = payload.callId;
    request.attempt = payload.attempt;
    request.context.requestId = std::move(payload.requestId);
    request.context.customer = std::move(payload.customer);
    request.context.requestClass = std::move(payload.requestClass);
    request.context.level = static_cast<importance>(payload.level);
    request.context.position = payload.position;
    request.context.idempotent = payload.idempotent;
    request.context.retryTokens = payload.retryTokens;
    request.context.depth = payload.depth;
    auto remaining = std::clamp<std::int64_t>(payload.remainingMicroseconds, 0, longestRemaining);
    request.context.deadline = now + std::chrono::microseconds(remaining);
    if (payload.hasPermit) {
        request.permit = ticket { payload.home, std::chrono::milliseconds(payload.validUntilMilliseconds), payload.nonce, payload.use, payload.claimed };
    }
    request.service = std::move(payload.service);
    request.callerService = std::move(payload.callerService);
    request.method = std::move(payload.method);
    request.path = std::move(payload.path);
    request.fields = std::move(payload.fields);
    request.body = std::move(payload.body);
    return request;
}

std::optional<call_answer> decodeAnswer(const byte_vector& bytes)
{
    answer_payload payload;
    if (!readPayload(bytes, payload) || payload.run > static_cast<std::uint8_t>(execution::Ran)
        || payload.reason >= verdictReasonCount || payload.retryAfterMilliseconds < 0) {
        return std::nullopt;
    }
    call_answer answer;
    answer.callId = payload.callId;
    answer.attempt = payload.attempt;
    answer.outcome.run = static_cast<execution>(payload.run);
    answer.outcome.reason = static_cast<verdict_reason>(payload.reason);
    answer.outcome.retryAfter = std::chrono::milliseconds(payload.retryAfterMilliseconds);
    answer.status = payload.status;
    answer.fields = std::move(payload.fields);
    answer.body = std::move(payload.body);
    answer.nextUse = payload.nextUse;
    answer.retryTokens = payload.retryTokens;
    answer.cut = payload.cut;
    answer.inFlight = payload.inFlight;
    answer.limit = payload.limit;
    return answer;
}

}
