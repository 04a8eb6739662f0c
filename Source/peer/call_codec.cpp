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
typename Inspector::result_type inspect(Inspector& f, shortened_text& x)
{
    return f(caf::meta::type_name("shortened_text"), x.shared, x.rest);
}

namespace {

    // "VS3", little-endian, below the byte of the kind; the digit is the version of the format.
    constexpr std::uint32_t magic = 0x335356;
    constexpr unsigned kindShift = 24;

    // Where the parts of a head stand.
    constexpr std::size_t lengthOffset = 4;
    constexpr std::size_t checksumOffset = 8;

    // A number that takes as few bytes as its value needs.
    struct short_number {
        std::size_t value = 0;
    };

    template <class Inspector>
    typename Inspector::result_type inspect(Inspector& f, short_number& x)
    {
        return f.begin_sequence(x.value);
    }

    // The wire form of a request: numbers and strings only.
    struct request_payload {
        std::uint64_t callId = 0;
        short_number attempt;
        std::uint8_t level = 0;
        short_number position;
        bool idempotent = true;
        bool hasPermit = false;
        short_number retryTokens;
        short_number depth;
        short_number remainingMicroseconds;
        // Texts of the context and the request line, then names and values of the fields.
        std::vector<shortened_text> texts;
        std::string body;
    };

    // Follows a request that has a ticket.
    struct permit_payload {
        std::uint64_t home = 0;
        std::int64_t validUntilMilliseconds = 0;
        std::uint64_t nonce = 0;
        std::uint32_t use = 0;
        bool claimed = false;
    };

    struct answer_payload {
        std::uint64_t callId = 0;
        short_number attempt;
        std::uint8_t run = 0;
        std::uint8_t reason = 0;
        short_number retryAfterMilliseconds;
        short_number status;
        short_number nextUse;
        short_number retryTokens;
        short_number cut;
        short_number inFlight;
        short_number limit;
        short_number costMicroseconds;
        short_number zoneCrossings;
        // The service of the cost, then names and values of the fields.
        std::vector<shortened_text> texts;
        std::string body;
    };

    template <class Inspector>
    typename Inspector::result_type inspect(Inspector& f, request_payload& x)
    {
        return f(caf::meta::type_name("request_payload"), x.callId, x.attempt, x.level, x.position, x.idempotent,
            x.hasPermit, x.retryTokens, x.depth, x.remainingMicroseconds, x.texts, x.body);
    }

    template <class Inspector>
    typename Inspector::result_type inspect(Inspector& f, permit_payload& x)
    {
        return f(caf::meta::type_name("permit_payload"), x.home, x.validUntilMilliseconds, x.nonce, x.use, x.claimed);
    }

    template <class Inspector>
    typename Inspector::result_type inspect(Inspector& f, answer_payload& x)
    {
        return f(caf::meta::type_name("answer_payload"), x.callId, x.attempt, x.run, x.reason, x.retryAfterMilliseconds,
            x.status, x.nextUse, x.retryTokens, x.cut, x.inFlight, x.limit, x.costMicroseconds, x.zoneCrossings, x.texts, x.body);
    }

    // The texts of a frame in their order, shortened by those of the frame before.
    class text_writer {
    public:
        // The id is empty where the frame itself tells it.
        text_writer(std::vector<shortened_text>& texts, frame_history& history, const std::string& requestId)
            : m_texts(texts)
            , m_history(history)
        {
            m_history.beginFrame(requestId);
        }

        void add(const std::string& text) { m_texts.push_back(m_history.shorten(text)); }

        void add(const http_fields& fields)
        {
            for (const auto& field : fields) {
                add(field.name);
                add(field.value);
            }
        }

    private:
        std::vector<shortened_text>& m_texts;
        frame_history& m_history;
    };

    // Gives back what a text_writer has written.
    class text_reader {
    public:
        text_reader(const std::vector<shortened_text>& texts, frame_history& history, const std::string& requestId)
            : m_texts(texts)
            , m_history(history)
        {
            m_history.beginFrame(requestId);
        }

        std::string next()
        {
            auto text = m_next < m_texts.size() ? m_history.restore(m_texts[m_next]) : std::nullopt;
            ++m_next;
            m_damaged = m_damaged || !text;
            return text.value_or("");
        }

        // The rest of the texts.
        http_fields fields()
        {
            http_fields result;
            while (m_next < m_texts.size()) {
                auto name = next();
                result.push_back({ std::move(name), next() });
            }
            return result;
        }

        bool damaged() const { return m_damaged; }

    private:
        const std::vector<shortened_text>& m_texts;
        frame_history& m_history;
        std::size_t m_next = 0;
        bool m_damaged = false;
    };

    // What a frame says is left of a request, or is to be waited, at the most; both fit
    // into 32 bits.
    constexpr std::chrono::microseconds longestRemaining { std::chrono::hours(1) };
    constexpr std::chrono::milliseconds longestRetryAfter { std::chrono::hours(1) };

    std::uint64_t checksum(const char* bytes, std::size_t size)
    {
        return XXH3_64bits(bytes, size);
    }

    template <class... Payload>
    byte_vector frame(frame_kind kind, const Payload&... payload)
    {
        byte_vector bytes(frameHeadBytes);
        caf::binary_serializer sink(nullptr, bytes);
        sink.seek(frameHeadBytes);
        if (sink(payload...)) {
            return {};
        }
        auto length = bytes.size() - frameHeadBytes;
        auto* head = reinterpret_cast<unsigned char*>(bytes.data());
        boost::endian::store_little_u32(head, magic | static_cast<std::uint32_t>(kind) << kindShift);
        boost::endian::store_little_u32(head + lengthOffset, static_cast<std::uint32_t>(length));
        boost::endian::store_little_u64(head + checksumOffset, checksum(bytes.data() + frameHeadBytes, length));
        return bytes;
    }

}

std::optional<frame_head> decodeHead(const char* bytes)
{
    const auto* raw = reinterpret_cast<const unsigned char*>(bytes);
    auto mark = boost::endian::load_little_u32(raw);
    auto kind = mark >> kindShift;
    bool known = kind == static_cast<std::uint32_t>(frame_kind::Request) || kind == static_cast<std::uint32_t>(frame_kind::Answer);
    if (!known || mark != (magic | kind << kindShift)) {
        return std::nullopt;
    }
    frame_head head;
    head.kind = static_cast<frame_kind>(kind);
    head.length = boost::endian::load_little_u32(raw + lengthOffset);
    head.checksum = boost::endian::load_little_u64(raw + checksumOffset);
    return head;
}

bool checksumMatches(const frame_head& head, const byte_vector& payload)
{
    return head.checksum == checksum(payload.data(), payload.size());
}

byte_vector encodeFrame(const call_request& request, std::chrono::steady_clock::time_point now, frame_history& history)
{
    const auto& context = request.context;
    auto remaining = std::chrono::duration_cast<std::chrono::microseconds>(context.deadline - now);
    request_payload payload;
    payload.callId = request.callId;
    payload.attempt.value = request.attempt;
    payload.level = static_cast<std::uint8_t>(context.level);
    payload.position.value = context.position;
    payload.idempotent = context.idempotent;
    payload.hasPermit = request.permit.has_value();
    payload.retryTokens.value = context.retryTokens;
    payload.depth.value = context.depth;
    payload.remainingMicroseconds.value = static_cast<std::size_t>(std::clamp(remaining, std::chrono::microseconds(0), longestRemaining).count());
    text_writer texts(payload.texts, history, {});
    texts.add(context.requestId);
    history.learnRequestId(context.requestId);
    texts.add(context.customer);
    texts.add(context.requestClass);
    texts.add(request.service);
    texts.add(request.callerService);
    texts.add(request.method);
    texts.add(request.path);
    texts.add(request.fields);
    payload.body = request.body;
    if (!request.permit) {
        return frame(frame_kind::Request, payload);
    }
    const auto& permit = *request.permit;
    return frame(frame_kind::Request, payload, permit_payload { permit.home, permit.validUntil.count(), permit.nonce, permit.use, permit.claimed });
}

byte_vector encodeFrame(const call_answer& answer, const std::string& requestId, frame_history& history)
{
    answer_payload payload;
    payload.callId = answer.callId;
    payload.attempt.value = answer.attempt;
    payload.run = static_cast<std::uint8_t>(answer.outcome.run);
    payload.reason = static_cast<std::uint8_t>(answer.outcome.reason);
    payload.retryAfterMilliseconds.value = static_cast<std::size_t>(std::clamp(answer.outcome.retryAfter, std::chrono::milliseconds(0), longestRetryAfter).count());
    payload.status.value = answer.status;
    payload.nextUse.value = answer.nextUse;
    payload.retryTokens.value = answer.retryTokens;
    payload.cut.value = answer.cut;
    payload.inFlight.value = answer.inFlight;
    payload.limit.value = answer.limit;
    payload.costMicroseconds.value = static_cast<std::size_t>(std::clamp(answer.cost.slotTime, std::chrono::microseconds(0), longestRemaining).count());
    payload.zoneCrossings.value = answer.zoneCrossings;
    text_writer texts(payload.texts, history, requestId);
    texts.add(answer.cost.service);
    texts.add(answer.fields);
    payload.body = answer.body;
    return frame(frame_kind::Answer, payload);
}

std::optional<call_request> decodeRequest(const byte_vector& bytes, std::chrono::steady_clock::time_point now, frame_history& history)
{
    caf::binary_deserializer source(nullptr, bytes);
    request_payload payload;
    if (source(payload) || payload.level >= importanceCount || payload.position.value >= sheddingPositionCount) {
        return std::nullopt;
    }
    call_request request;
    if (payload.hasPermit) {
        permit_payload permit;
        if (source(permit)) {
            return std::nullopt;
        }
        request.permit = ticket { permit.home, std::chrono::milliseconds(permit.validUntilMilliseconds), permit.nonce, permit.use, permit.claimed };
    }
    auto& context = request.context;
    request.callId = payload.callId;
    request.attempt = static_cast<std::uint32_t>(payload.attempt.value);
    context.level = static_cast<importance>(payload.level);
    context.position = static_cast<shedding_position>(payload.position.value);
    context.idempotent = payload.idempotent;
    context.retryTokens = static_cast<std::uint32_t>(payload.retryTokens.value);
    context.depth = static_cast<std::uint32_t>(payload.depth.value);
    auto remaining = std::chrono::microseconds(payload.remainingMicroseconds.value);
    context.deadline = now + std::min(remaining, longestRemaining);
    text_reader texts(payload.texts, history, {});
    context.requestId = texts.next();
    history.learnRequestId(context.requestId);
    context.customer = texts.next();
    context.requestClass = texts.next();
    request.service = texts.next();
    request.callerService = texts.next();
    request.method = texts.next();
    request.path = texts.next();
    request.fields = texts.fields();
    request.body = std::move(payload.body);
    if (texts.damaged() || source.remaining() != 0) {
        return std::nullopt;
    }
    return request;
}

std::optional<call_answer> decodeAnswer(const byte_vector& bytes, const std::string& requestId, frame_history& history)
{
    caf::binary_deserializer source(nullptr, bytes);
    answer_payload payload;
    if (source(payload) || source.remaining() != 0 || payload.run > static_cast<std::uint8_t>(execution::Ran) || payload.reason >= verdictReasonCount) {
        return std::nullopt;
    }
    call_answer answer;
    answer.callId = payload.callId;
    answer.attempt = static_cast<std::uint32_t>(payload.attempt.value);
    answer.outcome.run = static_cast<execution>(payload.run);
    answer.outcome.reason = static_cast<verdict_reason>(payload.reason);
    answer.outcome.retryAfter = std::chrono::milliseconds(payload.retryAfterMilliseconds.value);
    answer.status = static_cast<std::uint32_t>(payload.status.value);
    answer.nextUse = static_cast<std::uint32_t>(payload.nextUse.value);
    answer.retryTokens = static_cast<std::uint32_t>(payload.retryTokens.value);
    answer.cut = static_cast<shedding_position>(payload.cut.value);
    answer.inFlight = static_cast<std::uint32_t>(payload.inFlight.value);
    answer.limit = static_cast<std::uint32_t>(payload.limit.value);
    answer.cost.slotTime = std::chrono::microseconds(payload.costMicroseconds.value);
    answer.zoneCrossings = static_cast<std::uint32_t>(payload.zoneCrossings.value);
    text_reader texts(payload.texts, history, requestId);
    answer.cost.service = texts.next();
    answer.fields = texts.fields();
    answer.body = std::move(payload.body);
    if (texts.damaged()) {
        return std::nullopt;
    }
    return answer;
}

}
