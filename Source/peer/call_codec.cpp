#include "peer/call_codec.h"

#include <caf/binary_deserializer.hpp>
#include <caf/binary_serializer.hpp>
#include <caf/meta/type_name.hpp>

#include <boost/endian/conversion.hpp>
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <cstring>

namespace vanillashunt {

namespace {

    // "VS4", little-endian, below the byte of the kind; the digit is the version of the format.
    constexpr std::uint32_t magic = 0x345356;
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

    // The numbers of a request; its texts and its body follow.
    struct request_numbers {
        std::uint64_t callId = 0;
        short_number attempt;
        std::uint8_t level = 0;
        short_number position;
        bool idempotent = true;
        bool hasPermit = false;
        bool refuseIfFull = false;
        short_number retryTokens;
        short_number depth;
        short_number remainingMicroseconds;
    };

    // Follows a request that has a ticket.
    struct permit_payload {
        std::uint64_t home = 0;
        std::int64_t validUntilMilliseconds = 0;
        std::uint64_t nonce = 0;
        std::uint32_t use = 0;
        bool claimed = false;
    };

    // The numbers of an answer; its texts and its body follow.
    struct answer_numbers {
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
    };

    template <class Inspector>
    typename Inspector::result_type inspect(Inspector& f, request_numbers& x)
    {
        return f(caf::meta::type_name("request_numbers"), x.callId, x.attempt, x.level, x.position, x.idempotent,
            x.hasPermit, x.refuseIfFull, x.retryTokens, x.depth, x.remainingMicroseconds);
    }

    template <class Inspector>
    typename Inspector::result_type inspect(Inspector& f, permit_payload& x)
    {
        return f(caf::meta::type_name("permit_payload"), x.home, x.validUntilMilliseconds, x.nonce, x.use, x.claimed);
    }

    template <class Inspector>
    typename Inspector::result_type inspect(Inspector& f, answer_numbers& x)
    {
        return f(caf::meta::type_name("answer_numbers"), x.callId, x.attempt, x.run, x.reason, x.retryAfterMilliseconds,
            x.status, x.nextUse, x.retryTokens, x.cut, x.inFlight, x.limit, x.costMicroseconds, x.zoneCrossings);
    }

    // Texts of a request before its fields: those of the context and the request line.
    constexpr std::size_t requestTexts = 7;
    // Texts of an answer before its fields: the service of the cost.
    constexpr std::size_t answerTexts = 1;
    constexpr std::size_t textsOfField = 2;

    // What a frame says is left of a request, or is to be waited, at the most; both fit
    // into 32 bits.
    constexpr std::chrono::microseconds longestRemaining { std::chrono::hours(1) };
    constexpr std::chrono::milliseconds longestRetryAfter { std::chrono::hours(1) };

    // A field behind an answer's own ones in which its node tells more, so that nodes of the
    // version before can read the answer: the successor of the request's ticket where it did not
    // run, else the usual time of its class in microseconds.
    constexpr const char* successorField = "Vanillashunt-Successor";
    constexpr const char* usualTimeField = "Vanillashunt-Usual-Time";

    std::optional<http_field> ownField(const call_answer& answer)
    {
        if (answer.outcome.run != execution::Ran) {
            return answer.successor ? std::optional(http_field { successorField, toString(*answer.successor) }) : std::nullopt;
        }
        // A server's field of that name would be taken for the node's.
        bool isTaken = !answer.fields.empty() && answer.fields.back().name == usualTimeField;
        if (answer.meanServiceTime.count() == 0 && !isTaken) {
            return std::nullopt;
        }
        return http_field { usualTimeField, std::to_string(answer.meanServiceTime.count()) };
    }

    void takeOwnField(call_answer& answer)
    {
        if (answer.fields.empty()) {
            return;
        }
        const auto& last = answer.fields.back();
        bool ran = answer.outcome.run == execution::Ran;
        if (last.name != (ran ? usualTimeField : successorField)) {
            return;
        }
        if (ran) {
            std::int64_t microseconds = 0;
            std::from_chars(last.value.data(), last.value.data() + last.value.size(), microseconds);
            answer.meanServiceTime = std::clamp(std::chrono::microseconds(microseconds), std::chrono::microseconds(0), longestRemaining);
        } else {
            answer.successor = parseTicket(last.value);
        }
        answer.fields.pop_back();
    }

    // Writes the payload of a frame; texts go straight from where they are, as their
    // difference from those of the frame before.
    class frame_writer {
    public:
        // The id is empty where the frame itself tells it.
        frame_writer(frame_history& history, const std::string& requestId)
            : m_bytes(frameHeaderBytes)
            , m_sink(nullptr, m_bytes)
            , m_history(history)
        {
            m_bytes.reserve(usualBytes);
            m_sink.seek(frameHeaderBytes);
            m_history.beginFrame(requestId);
        }

        template <class Numbers>
        void numbers(Numbers& values)
        {
            note(m_sink(values));
        }

        void beginTexts(std::size_t count) { note(m_sink.begin_sequence(count)); }

        void text(const std::string& value)
        {
            auto shortened = m_history.shorten(value);
            note(m_sink(shortened.shared));
            bytes(shortened.rest);
        }

        void fields(const http_fields& values)
        {
            for (const auto& field : values) {
                text(field.name);
                text(field.value);
            }
        }

        void bytes(std::string_view value)
        {
            auto size = value.size();
            note(m_sink.begin_sequence(size));
            // The library reads from what it takes by a pointer to changeable bytes.
            note(m_sink.apply_raw(size, const_cast<char*>(value.data())));
        }

        // The whole frame; empty if the library failed.
        byte_vector finish(frame_kind);

    private:
        static constexpr std::size_t usualBytes = 512;

        void note(const caf::error& error) { m_failed = m_failed || error; }

        byte_vector m_bytes;
        caf::binary_serializer m_sink;
        frame_history& m_history;
        bool m_failed = false;
    };

    // Gives back what a frame_writer has written.
    class frame_reader {
    public:
        frame_reader(std::string_view payload, frame_history& history)
            : m_source(nullptr, payload.data(), payload.size())
            , m_history(history)
        {
        }

        template <class Numbers>
        void numbers(Numbers& values)
        {
            note(m_source(values));
        }

        // The id is empty where the frame itself tells it.
        void beginTexts(const std::string& requestId)
        {
            m_history.beginFrame(requestId);
            note(m_source.begin_sequence(m_textsLeft));
        }

        std::string text()
        {
            if (m_damaged || m_textsLeft == 0) {
                m_damaged = true;
                return {};
            }
            --m_textsLeft;
            shortened_text shortened;
            note(m_source(shortened.shared));
            shortened.rest = bytes();
            auto restored = m_damaged ? std::nullopt : m_history.restore(shortened);
            m_damaged = m_damaged || !restored;
            return std::move(restored).value_or("");
        }

        // The rest of the texts.
        http_fields fields()
        {
            http_fields result;
            result.reserve(std::min(m_textsLeft / textsOfField, mostReserved));
            while (m_textsLeft > 0 && !m_damaged) {
                auto name = text();
                result.push_back({ std::move(name), text() });
            }
            return result;
        }

        std::string_view bytes()
        {
            std::size_t size = 0;
            if (!m_damaged) {
                note(m_source.begin_sequence(size));
            }
            if (m_damaged || size > m_source.remaining()) {
                m_damaged = true;
                return {};
            }
            std::string_view result(reinterpret_cast<const char*>(m_source.remainder().data()), size);
            m_source.skip(size);
            return result;
        }

        // Whether all was read, and nothing is left.
        bool isWhole() const { return !m_damaged && m_textsLeft == 0 && m_source.remaining() == 0; }
        bool isDamaged() const { return m_damaged; }

    private:
        static constexpr std::size_t mostReserved = 32;

        void note(const caf::error& error) { m_damaged = m_damaged || error; }

        caf::binary_deserializer m_source;
        frame_history& m_history;
        std::size_t m_textsLeft = 0;
        bool m_damaged = false;
    };

    std::uint64_t checksum(const char* bytes, std::size_t size)
    {
        return XXH3_64bits(bytes, size);
    }

    byte_vector frame_writer::finish(frame_kind kind)
    {
        if (m_failed) {
            return {};
        }
        auto length = m_bytes.size() - frameHeaderBytes;
        auto* head = reinterpret_cast<unsigned char*>(m_bytes.data());
        boost::endian::store_little_u32(head, magic | static_cast<std::uint32_t>(kind) << kindShift);
        boost::endian::store_little_u32(head + lengthOffset, static_cast<std::uint32_t>(length));
        boost::endian::store_little_u64(head + checksumOffset, checksum(m_bytes.data() + frameHeaderBytes, length));
        return std::move(m_bytes);
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

bool checksumMatches(const frame_head& head, std::string_view payload)
{
    return head.checksum == checksum(payload.data(), payload.size());
}

frame_search findFrame(std::string_view bytes, frame_kind kind, std::uint64_t maxBodyBytes, found_frame& found)
{
    if (bytes.size() < frameHeaderBytes) {
        return frame_search::Incomplete;
    }
    auto head = decodeHead(bytes.data());
    if (!head || head->kind != kind || head->length > maxBodyBytes + frameOverheadBytes) {
        return frame_search::Damaged;
    }
    if (bytes.size() < frameHeaderBytes + head->length) {
        return frame_search::Incomplete;
    }
    found = { *head, bytes.substr(frameHeaderBytes, head->length) };
    return checksumMatches(found.head, found.payload) ? frame_search::Found : frame_search::Damaged;
}

byte_vector encodeFrame(const call_request& request, std::chrono::steady_clock::time_point now, frame_history& history)
{
    const auto& context = request.context;
    auto remaining = std::chrono::duration_cast<std::chrono::microseconds>(context.deadline - now);
    request_numbers numbers;
    numbers.callId = request.callId;
    numbers.attempt.value = request.attempt;
    numbers.level = static_cast<std::uint8_t>(context.level);
    numbers.position.value = context.position;
    numbers.idempotent = context.idempotent;
    numbers.hasPermit = request.permit.has_value();
    numbers.refuseIfFull = request.refuseIfFull;
    numbers.retryTokens.value = context.retryTokens;
    numbers.depth.value = context.depth;
    numbers.remainingMicroseconds.value = static_cast<std::size_t>(std::clamp(remaining, std::chrono::microseconds(0), longestRemaining).count());
    frame_writer writer(history, {});
    writer.numbers(numbers);
    writer.beginTexts(requestTexts + textsOfField * request.fields.size());
    writer.text(context.requestId);
    history.learnRequestId(context.requestId);
    writer.text(context.organisation);
    writer.text(context.requestClass);
    writer.text(request.service);
    writer.text(request.callerService);
    writer.text(request.method);
    writer.text(request.path);
    writer.fields(request.fields);
    writer.bytes(request.body);
    if (request.permit) {
        const auto& permit = *request.permit;
        permit_payload payload { permit.home, permit.validUntil.count(), permit.nonce, permit.use, permit.claimed };
        writer.numbers(payload);
    }
    return writer.finish(frame_kind::Request);
}

byte_vector encodeFrame(const call_answer& answer, const std::string& requestId, frame_history& history)
{
    answer_numbers numbers;
    numbers.callId = answer.callId;
    numbers.attempt.value = answer.attempt;
    numbers.run = static_cast<std::uint8_t>(answer.outcome.run);
    numbers.reason = static_cast<std::uint8_t>(answer.outcome.reason);
    numbers.retryAfterMilliseconds.value = static_cast<std::size_t>(std::clamp(answer.outcome.retryAfter, std::chrono::milliseconds(0), longestRetryAfter).count());
    numbers.status.value = answer.status;
    numbers.nextUse.value = answer.nextUse;
    numbers.retryTokens.value = answer.retryTokens;
    numbers.cut.value = answer.cut;
    numbers.inFlight.value = answer.inFlight;
    numbers.limit.value = answer.limit;
    numbers.costMicroseconds.value = static_cast<std::size_t>(std::clamp(answer.cost.slotTime, std::chrono::microseconds(0), longestRemaining).count());
    numbers.zoneCrossings.value = answer.zoneCrossings;
    frame_writer writer(history, requestId);
    writer.numbers(numbers);
    auto own = ownField(answer);
    writer.beginTexts(answerTexts + textsOfField * (answer.fields.size() + (own ? 1 : 0)));
    writer.text(answer.cost.service);
    writer.fields(answer.fields);
    if (own) {
        writer.text(own->name);
        writer.text(own->value);
    }
    writer.bytes(answer.body);
    return writer.finish(frame_kind::Answer);
}

std::optional<call_request> decodeRequest(std::string_view bytes, std::chrono::steady_clock::time_point now, frame_history& history)
{
    frame_reader reader(bytes, history);
    request_numbers numbers;
    reader.numbers(numbers);
    if (reader.isDamaged() || numbers.level >= importanceCount || numbers.position.value >= sheddingPositionCount) {
        return std::nullopt;
    }
    call_request request;
    auto& context = request.context;
    request.callId = numbers.callId;
    request.attempt = static_cast<std::uint32_t>(numbers.attempt.value);
    context.level = static_cast<importance>(numbers.level);
    context.position = static_cast<shedding_position>(numbers.position.value);
    request.refuseIfFull = numbers.refuseIfFull;
    context.idempotent = numbers.idempotent;
    context.retryTokens = static_cast<std::uint32_t>(numbers.retryTokens.value);
    context.depth = static_cast<std::uint32_t>(numbers.depth.value);
    auto remaining = std::chrono::microseconds(numbers.remainingMicroseconds.value);
    context.deadline = now + std::min(remaining, longestRemaining);
    reader.beginTexts({});
    context.requestId = reader.text();
    history.learnRequestId(context.requestId);
    context.organisation = reader.text();
    context.requestClass = reader.text();
    request.service = reader.text();
    request.callerService = reader.text();
    request.method = reader.text();
    request.path = reader.text();
    request.fields = reader.fields();
    request.body = std::string(reader.bytes());
    if (numbers.hasPermit) {
        permit_payload permit;
        reader.numbers(permit);
        request.permit = ticket { permit.home, std::chrono::milliseconds(permit.validUntilMilliseconds), permit.nonce, permit.use, permit.claimed };
    }
    if (!reader.isWhole()) {
        return std::nullopt;
    }
    return request;
}

std::optional<call_answer> decodeAnswer(std::string_view bytes, const std::string& requestId, frame_history& history)
{
    frame_reader reader(bytes, history);
    answer_numbers numbers;
    reader.numbers(numbers);
    if (reader.isDamaged() || numbers.run > static_cast<std::uint8_t>(execution::Ran) || numbers.reason >= verdictReasonCount) {
        return std::nullopt;
    }
    call_answer answer;
    answer.callId = numbers.callId;
    answer.attempt = static_cast<std::uint32_t>(numbers.attempt.value);
    answer.outcome.run = static_cast<execution>(numbers.run);
    answer.outcome.reason = static_cast<verdict_reason>(numbers.reason);
    answer.outcome.retryAfter = std::chrono::milliseconds(numbers.retryAfterMilliseconds.value);
    answer.status = static_cast<std::uint32_t>(numbers.status.value);
    answer.nextUse = static_cast<std::uint32_t>(numbers.nextUse.value);
    answer.retryTokens = static_cast<std::uint32_t>(numbers.retryTokens.value);
    answer.cut = static_cast<shedding_position>(numbers.cut.value);
    answer.inFlight = static_cast<std::uint32_t>(numbers.inFlight.value);
    answer.limit = static_cast<std::uint32_t>(numbers.limit.value);
    answer.cost.slotTime = std::chrono::microseconds(numbers.costMicroseconds.value);
    answer.zoneCrossings = static_cast<std::uint32_t>(numbers.zoneCrossings.value);
    reader.beginTexts(requestId);
    answer.cost.service = reader.text();
    answer.fields = reader.fields();
    takeOwnField(answer);
    answer.body = std::string(reader.bytes());
    if (!reader.isWhole()) {
        return std::nullopt;
    }
    return answer;
}

}
