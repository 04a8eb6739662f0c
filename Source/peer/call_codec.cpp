#include "peer/call_codec.h"

#include "call/http_status.h"
#include "peer/notice_text.h"

#include <caf/binary_deserializer.hpp>
#include <caf/binary_serializer.hpp>
#include <caf/meta/type_name.hpp>

#include <boost/endian/conversion.hpp>
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <cstring>
#include <initializer_list>
#include <memory>

namespace vanillashunt {

namespace {

    // "VS4" in the lower three bytes, little-endian; the digit is the version of the format. The
    // highest byte contains the frame kind.
    constexpr std::uint32_t magic = 0x345356;
    constexpr unsigned kindShift = 24;

    // Offsets within the frame header.
    constexpr std::size_t lengthOffset = 4;
    constexpr std::size_t checksumOffset = 8;

    // An integer with a variable-length encoding.
    struct varint {
        std::size_t value = 0;
    };

    template <class Inspector>
    typename Inspector::result_type inspect(Inspector& f, varint& x)
    {
        return f.begin_sequence(x.value);
    }

    // The numeric fields of a request. The strings and the body follow.
    struct request_numbers {
        std::uint64_t callId = 0;
        varint attempt;
        std::uint8_t level = 0;
        varint position;
        bool idempotent = true;
        bool hasPermit = false;
        bool refuseIfFull = false;
        varint retryTokens;
        varint depth;
        varint remainingMicroseconds;
    };

    // The ticket of a request; encoded at the end, if hasPermit is set.
    struct permit_payload {
        std::uint64_t home = 0;
        std::int64_t validUntilMilliseconds = 0;
        std::uint64_t nonce = 0;
        std::uint32_t use = 0;
        bool claimed = false;
    };

    // The numeric fields of an answer. The strings and the body follow.
    struct answer_numbers {
        std::uint64_t callId = 0;
        varint attempt;
        std::uint8_t run = 0;
        std::uint8_t reason = 0;
        varint retryAfterMilliseconds;
        varint status;
        varint nextUse;
        varint retryTokens;
        varint cut;
        varint inFlight;
        varint limit;
        varint costMicroseconds;
        varint zoneCrossings;
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

    // Strings of a request before its HTTP fields: context, services and request line.
    constexpr std::size_t requestStringCount = 7;
    // Strings of an answer before its HTTP fields: the service of the cost.
    constexpr std::size_t answerStringCount = 1;
    constexpr std::size_t stringsPerField = 2;

    // Maximum encoded time until the deadline, and maximum encoded delay before a retry; both
    // fit into 32 bits.
    constexpr std::chrono::microseconds maxRemaining { std::chrono::hours(1) };
    constexpr std::chrono::milliseconds maxRetryAfter { std::chrono::hours(1) };

    // The answering node adds further information as one HTTP field after those of the answer,
    // so that nodes of the previous version can decode the frame: the successor of the request's
    // ticket if the request did not run, otherwise the mean service time of its class in
    // microseconds.
    constexpr const char* successorFieldName = "Vanillashunt-Successor";
    constexpr const char* usualTimeFieldName = "Vanillashunt-Usual-Time";

    std::optional<http_field> nodeField(const call_answer& answer)
    {
        if (answer.outcome.run != execution::Ran) {
            return answer.successor ? std::optional(http_field { successorFieldName, toString(*answer.successor) }) : std::nullopt;
        }
        // If the last field of the backend server has this name, the node must add its own, or
        // the receiver would use the backend server's value.
        bool isNameTaken = !answer.fields.empty() && answer.fields.back().name == usualTimeFieldName;
        if (answer.meanServiceTime.count() == 0 && !isNameTaken) {
            return std::nullopt;
        }
        return http_field { usualTimeFieldName, std::to_string(answer.meanServiceTime.count()) };
    }

    void extractNodeField(call_answer& answer)
    {
        if (answer.fields.empty()) {
            return;
        }
        const auto& last = answer.fields.back();
        bool ran = answer.outcome.run == execution::Ran;
        if (last.name != (ran ? usualTimeFieldName : successorFieldName)) {
            return;
        }
        if (ran) {
            std::int64_t microseconds = 0;
            std::from_chars(last.value.data(), last.value.data() + last.value.size(), microseconds);
            answer.meanServiceTime = std::clamp(std::chrono::microseconds(microseconds), std::chrono::microseconds(0), maxRemaining);
        } else {
            answer.successor = parseTicket(last.value);
        }
        answer.fields.pop_back();
    }

    // The notice on the target's backend server is the last HTTP field of a request, and precedes the
    // node's field above in an answer.
    constexpr const char* noticeFieldName = "Vanillashunt-Server-Notice";

    std::optional<http_field> noticeField(const http_fields& fields, const std::optional<relayed_notice>& notice)
    {
        // Without a notice of the node, the receiver would use the value of a field with this name.
        bool isNameTaken = !fields.empty() && fields.back().name == noticeFieldName;
        if (!notice && !isNameTaken) {
            return std::nullopt;
        }
        return http_field { noticeFieldName, notice ? toText(*notice) : "" };
    }

    std::optional<relayed_notice> extractNotice(http_fields& fields)
    {
        if (fields.empty() || fields.back().name != noticeFieldName) {
            return std::nullopt;
        }
        auto notice = parseNotice(fields.back().value);
        fields.pop_back();
        return notice;
    }

    std::size_t countOf(const std::optional<http_field>& field)
    {
        return field ? 1 : 0;
    }

    // Encodes a frame. Strings are written without an intermediate copy, as their difference
    // from the strings of the previous frame.
    class frame_writer {
    public:
        // The request id is empty if the frame itself contains it.
        frame_writer(frame_history& history, const std::string& requestId)
            : m_bytes(frameHeaderBytes)
            , m_sink(nullptr, m_bytes)
            , m_history(history)
        {
            m_bytes.reserve(typicalFrameBytes);
            m_sink.seek(frameHeaderBytes);
            m_history.beginFrame(requestId);
        }

        template <class Numbers>
        void writeNumbers(Numbers& values)
        {
            recordError(m_sink(values));
        }

        void beginStrings(std::size_t count) { recordError(m_sink.begin_sequence(count)); }

        void writeString(const std::string& value)
        {
            auto coded = m_history.encode(value);
            recordError(m_sink(coded.prefixLength));
            writeBytes(coded.suffix);
        }

        void writeField(const http_field& field)
        {
            writeString(field.name);
            writeString(field.value);
        }

        void writeFields(const http_fields& values)
        {
            for (const auto& field : values) {
                writeField(field);
            }
        }

        void writeBytes(std::string_view value)
        {
            auto size = value.size();
            recordError(m_sink.begin_sequence(size));
            // apply_raw() only reads the bytes, although it takes a pointer to non-const.
            recordError(m_sink.apply_raw(size, const_cast<char*>(value.data())));
        }

        void writeBody(const message_body& body)
        {
            if (body.size() <= maxCopiedBytes) {
                writeBytes(body.text());
                return;
            }
            auto size = body.size();
            recordError(m_sink.begin_sequence(size));
            m_body = body;
            m_bodyOffset = m_bytes.size();
        }

        // Returns the complete frame; empty if the serializer failed.
        outgoing_frame finish(frame_kind);

    private:
        static constexpr std::size_t typicalFrameBytes = 512;
        // A body up to this size is copied, to be sent as one buffer with the bytes before it.
        static constexpr std::size_t maxCopiedBytes = 16384;

        void recordError(const caf::error& error) { m_failed = m_failed || error; }

        byte_vector m_bytes;
        caf::binary_serializer m_sink;
        frame_history& m_history;
        // A body that is not copied, and its offset in the bytes.
        message_body m_body;
        std::size_t m_bodyOffset = 0;
        bool m_failed = false;
    };

    // Decodes the payload of a frame that a frame_writer has encoded.
    class frame_reader {
    public:
        frame_reader(std::string_view payload, frame_history& history)
            : m_source(nullptr, payload.data(), payload.size())
            , m_history(history)
        {
        }

        template <class Numbers>
        void readNumbers(Numbers& values)
        {
            recordError(m_source(values));
        }

        // The request id is empty if the frame itself contains it.
        void beginStrings(const std::string& requestId)
        {
            m_history.beginFrame(requestId);
            recordError(m_source.begin_sequence(m_stringsLeft));
        }

        std::string readString()
        {
            if (m_damaged || m_stringsLeft == 0) {
                m_damaged = true;
                return {};
            }
            --m_stringsLeft;
            prefix_coded_string coded;
            recordError(m_source(coded.prefixLength));
            coded.suffix = readBytes();
            auto decoded = m_damaged ? std::nullopt : m_history.decode(coded);
            m_damaged = m_damaged || !decoded;
            return std::move(decoded).value_or("");
        }

        // Reads all remaining strings as HTTP fields.
        http_fields readFields()
        {
            http_fields result;
            result.reserve(std::min(m_stringsLeft / stringsPerField, maxReservedFields));
            while (m_stringsLeft > 0 && !m_damaged) {
                auto name = readString();
                result.push_back({ std::move(name), readString() });
            }
            return result;
        }

        std::string_view readBytes()
        {
            std::size_t size = 0;
            if (!m_damaged) {
                recordError(m_source.begin_sequence(size));
            }
            if (m_damaged || size > m_source.remaining()) {
                m_damaged = true;
                return {};
            }
            std::string_view result(reinterpret_cast<const char*>(m_source.remainder().data()), size);
            m_source.skip(size);
            return result;
        }

        // Whether the whole payload was decoded without an error.
        bool isComplete() const { return !m_damaged && m_stringsLeft == 0 && m_source.remaining() == 0; }
        bool isDamaged() const { return m_damaged; }

    private:
        static constexpr std::size_t maxReservedFields = 32;

        void recordError(const caf::error& error) { m_damaged = m_damaged || error; }

        caf::binary_deserializer m_source;
        frame_history& m_history;
        std::size_t m_stringsLeft = 0;
        bool m_damaged = false;
    };

    std::uint64_t checksum(const char* bytes, std::size_t size)
    {
        return XXH3_64bits(bytes, size);
    }

    // The checksum of consecutive pieces.
    std::uint64_t checksum(std::initializer_list<std::string_view> pieces)
    {
        std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(XXH3_createState(), &XXH3_freeState);
        XXH3_64bits_reset(state.get());
        for (auto piece : pieces) {
            XXH3_64bits_update(state.get(), piece.data(), piece.size());
        }
        return XXH3_64bits_digest(state.get());
    }

    outgoing_frame frame_writer::finish(frame_kind kind)
    {
        if (m_failed) {
            return {};
        }
        auto length = m_bytes.size() + m_body.size() - frameHeaderBytes;
        auto* header = reinterpret_cast<unsigned char*>(m_bytes.data());
        boost::endian::store_little_u32(header, magic | static_cast<std::uint32_t>(kind) << kindShift);
        boost::endian::store_little_u32(header + lengthOffset, static_cast<std::uint32_t>(length));
        if (m_body.empty()) {
            boost::endian::store_little_u64(header + checksumOffset, checksum(m_bytes.data() + frameHeaderBytes, length));
            return { std::move(m_bytes) };
        }
        auto bodyBegin = m_bytes.begin() + static_cast<std::ptrdiff_t>(m_bodyOffset);
        byte_vector end(bodyBegin, m_bytes.end());
        m_bytes.erase(bodyBegin, m_bytes.end());
        std::string_view begin(m_bytes.data() + frameHeaderBytes, m_bytes.size() - frameHeaderBytes);
        boost::endian::store_little_u64(header + checksumOffset, checksum({ begin, m_body.text(), { end.data(), end.size() } }));
        return { std::move(m_bytes), std::move(m_body), std::move(end) };
    }

    byte_vector join(outgoing_frame frame)
    {
        const auto& body = frame.body.text();
        frame.begin.insert(frame.begin.end(), body.begin(), body.end());
        frame.begin.insert(frame.begin.end(), frame.end.begin(), frame.end.end());
        return std::move(frame.begin);
    }

    // Reduces a payload to the body in it, without allocating memory.
    std::string reduceToBody(std::string payload, std::string_view body)
    {
        auto offset = static_cast<std::size_t>(body.data() - payload.data());
        payload.resize(offset + body.size());
        payload.erase(0, offset);
        return payload;
    }

}

std::optional<frame_header> decodeHeader(const char* bytes)
{
    const auto* raw = reinterpret_cast<const unsigned char*>(bytes);
    auto magicAndKind = boost::endian::load_little_u32(raw);
    auto kind = magicAndKind >> kindShift;
    bool isKnownKind = kind == static_cast<std::uint32_t>(frame_kind::Request) || kind == static_cast<std::uint32_t>(frame_kind::Answer);
    if (!isKnownKind || magicAndKind != (magic | kind << kindShift)) {
        return std::nullopt;
    }
    frame_header header;
    header.kind = static_cast<frame_kind>(kind);
    header.length = boost::endian::load_little_u32(raw + lengthOffset);
    header.checksum = boost::endian::load_little_u64(raw + checksumOffset);
    return header;
}

bool checksumMatches(const frame_header& header, std::string_view payload)
{
    return header.checksum == checksum(payload.data(), payload.size());
}

frame_search findFrame(std::string_view bytes, frame_kind kind, std::uint64_t maxBodyBytes, found_frame& found)
{
    if (bytes.size() < frameHeaderBytes) {
        return frame_search::Incomplete;
    }
    auto header = decodeHeader(bytes.data());
    if (!header || header->kind != kind || header->length > maxBodyBytes + frameOverheadBytes) {
        return frame_search::Damaged;
    }
    if (bytes.size() < frameHeaderBytes + header->length) {
        return frame_search::Incomplete;
    }
    found = { *header, bytes.substr(frameHeaderBytes, header->length) };
    return checksumMatches(found.header, found.payload) ? frame_search::Found : frame_search::Damaged;
}

outgoing_frame encodeOutgoing(const call_request& request, std::chrono::steady_clock::time_point now, frame_history& history)
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
    numbers.remainingMicroseconds.value = static_cast<std::size_t>(std::clamp(remaining, std::chrono::microseconds(0), maxRemaining).count());
    frame_writer writer(history, {});
    writer.writeNumbers(numbers);
    auto notice = noticeField(request.fields, request.notice);
    writer.beginStrings(requestStringCount + stringsPerField * (request.fields.size() + countOf(notice)));
    writer.writeString(context.requestId);
    history.setRequestId(context.requestId);
    writer.writeString(context.organisation);
    writer.writeString(context.requestClass);
    writer.writeString(request.service);
    writer.writeString(request.callerService);
    writer.writeString(request.method);
    writer.writeString(request.path);
    writer.writeFields(request.fields);
    if (notice) {
        writer.writeField(*notice);
    }
    writer.writeBody(request.body);
    if (request.permit) {
        const auto& permit = *request.permit;
        permit_payload payload { permit.home, permit.validUntil.count(), permit.nonce, permit.use, permit.claimed };
        writer.writeNumbers(payload);
    }
    return writer.finish(frame_kind::Request);
}

outgoing_frame encodeOutgoing(const call_answer& answer, const std::string& requestId, frame_history& history)
{
    answer_numbers numbers;
    numbers.callId = answer.callId;
    numbers.attempt.value = answer.attempt;
    numbers.run = static_cast<std::uint8_t>(answer.outcome.run);
    numbers.reason = static_cast<std::uint8_t>(answer.outcome.reason);
    numbers.retryAfterMilliseconds.value = static_cast<std::size_t>(std::clamp(answer.outcome.retryAfter, std::chrono::milliseconds(0), maxRetryAfter).count());
    numbers.status.value = answer.status;
    numbers.nextUse.value = answer.nextUse;
    numbers.retryTokens.value = answer.retryTokens;
    numbers.cut.value = answer.cut;
    numbers.inFlight.value = answer.inFlight;
    numbers.limit.value = answer.limit;
    numbers.costMicroseconds.value = static_cast<std::size_t>(std::clamp(answer.cost.slotTime, std::chrono::microseconds(0), maxRemaining).count());
    numbers.zoneCrossings.value = answer.zoneCrossings;
    frame_writer writer(history, requestId);
    writer.writeNumbers(numbers);
    auto notice = noticeField(answer.fields, answer.notice);
    auto addedField = nodeField(answer);
    writer.beginStrings(answerStringCount + stringsPerField * (answer.fields.size() + countOf(notice) + countOf(addedField)));
    writer.writeString(answer.cost.service);
    writer.writeFields(answer.fields);
    if (notice) {
        writer.writeField(*notice);
    }
    if (addedField) {
        writer.writeField(*addedField);
    }
    writer.writeBody(answer.body);
    return writer.finish(frame_kind::Answer);
}

byte_vector encodeFrame(const call_request& request, std::chrono::steady_clock::time_point now, frame_history& history)
{
    return join(encodeOutgoing(request, now, history));
}

byte_vector encodeFrame(const call_answer& answer, const std::string& requestId, frame_history& history)
{
    return join(encodeOutgoing(answer, requestId, history));
}

namespace {

    // Decodes all but the body, which is a part of the bytes.
    std::optional<call_request> readRequest(std::string_view bytes, std::chrono::steady_clock::time_point now, frame_history& history, std::string_view& body)
    {
        frame_reader reader(bytes, history);
        request_numbers numbers;
        reader.readNumbers(numbers);
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
        context.deadline = now + std::min(remaining, maxRemaining);
        reader.beginStrings({});
        context.requestId = reader.readString();
        history.setRequestId(context.requestId);
        context.organisation = reader.readString();
        context.requestClass = reader.readString();
        request.service = reader.readString();
        request.callerService = reader.readString();
        request.method = reader.readString();
        request.path = reader.readString();
        request.fields = reader.readFields();
        request.notice = extractNotice(request.fields);
        body = reader.readBytes();
        if (numbers.hasPermit) {
            permit_payload permit;
            reader.readNumbers(permit);
            request.permit = ticket { permit.home, std::chrono::milliseconds(permit.validUntilMilliseconds), permit.nonce, permit.use, permit.claimed };
        }
        if (!reader.isComplete()) {
            return std::nullopt;
        }
        return request;
    }

    std::optional<call_answer> readAnswer(std::string_view bytes, const std::string& requestId, frame_history& history, std::string_view& body)
    {
        frame_reader reader(bytes, history);
        answer_numbers numbers;
        reader.readNumbers(numbers);
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
        bool isServerAnswer = answer.outcome.run == execution::Ran && answer.outcome.reason == verdict_reason::Answered;
        if (isServerAnswer && !isFinalStatus(answer.status)) {
            return std::nullopt;
        }
        answer.nextUse = static_cast<std::uint32_t>(numbers.nextUse.value);
        answer.retryTokens = static_cast<std::uint32_t>(numbers.retryTokens.value);
        answer.cut = static_cast<shedding_position>(numbers.cut.value);
        answer.inFlight = static_cast<std::uint32_t>(numbers.inFlight.value);
        answer.limit = static_cast<std::uint32_t>(numbers.limit.value);
        answer.cost.slotTime = std::chrono::microseconds(numbers.costMicroseconds.value);
        answer.zoneCrossings = static_cast<std::uint32_t>(numbers.zoneCrossings.value);
        reader.beginStrings(requestId);
        answer.cost.service = reader.readString();
        answer.fields = reader.readFields();
        extractNodeField(answer);
        answer.notice = extractNotice(answer.fields);
        body = reader.readBytes();
        if (!reader.isComplete()) {
            return std::nullopt;
        }
        return answer;
    }

}

std::optional<call_request> decodeRequest(std::string_view payload, std::chrono::steady_clock::time_point now, frame_history& history, byte_reservation room)
{
    std::string_view body;
    auto request = readRequest(payload, now, history, body);
    if (request) {
        request->body = message_body(std::string(body), std::move(room));
    }
    return request;
}

std::optional<call_answer> decodeAnswer(std::string_view payload, const std::string& requestId, frame_history& history, byte_reservation room)
{
    std::string_view body;
    auto answer = readAnswer(payload, requestId, history, body);
    if (answer) {
        answer->body = message_body(std::string(body), std::move(room));
    }
    return answer;
}

std::optional<call_request> decodeLongRequest(std::string payload, std::chrono::steady_clock::time_point now, frame_history& history, byte_reservation room)
{
    std::string_view body;
    auto request = readRequest(payload, now, history, body);
    if (request) {
        request->body = message_body(reduceToBody(std::move(payload), body), std::move(room));
    }
    return request;
}

std::optional<call_answer> decodeLongAnswer(std::string payload, const std::string& requestId, frame_history& history, byte_reservation room)
{
    std::string_view body;
    auto answer = readAnswer(payload, requestId, history, body);
    if (answer) {
        answer->body = message_body(reduceToBody(std::move(payload), body), std::move(room));
    }
    return answer;
}

}
