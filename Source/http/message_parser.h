#pragma once

#include "budget/byte_reservation.h"
#include "call/http_status.h"
#include "http/http_message.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/optional.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>

namespace vanillashunt {

// Parses an HTTP message directly into the types of the nodes. Beast's own message type
// stores each field in a node of a list and of a tree, from which the field would have to
// be copied. A response without a valid status, or with a folded line in its header, is an error.
template <bool isRequest>
class message_parser : public boost::beast::http::basic_parser<isRequest> {
public:
    using error_code = boost::beast::error_code;
    using string_view = boost::beast::string_view;

    message_parser()
    {
        this->eager(true);
        boost::beast::http::basic_parser<isRequest>::body_limit(std::numeric_limits<std::uint64_t>::max());
    }

    // As put() of the base class, which joins a line of the header that begins with a blank to the line before. In
    // a response that is an error: the line may be a field that was meant to delimit the body (RFC 9112, 5.2).
    std::size_t put(boost::asio::const_buffer bytes, error_code& error)
    {
        if (!isRequest && !this->is_header_done() && hasFoldedLine({ static_cast<const char*>(bytes.data()), bytes.size() })) {
            error = boost::beast::http::error::bad_field;
            return 0;
        }
        return boost::beast::http::basic_parser<isRequest>::put(bytes, error);
    }

    // Replaces body_limit() of the base class, which Boost 1.74 does not enforce if the first bytes of the
    // body are parsed together with the header.
    void setMaxBodyBytes(std::uint64_t maxBytes) { m_maxBodyBytes = maxBytes; }

    // Bytes of the message that are held.
    std::uint64_t heldBytes() const { return m_fieldBytes + body.size(); }

    // The most that the message may hold, by its Content-Length or by the limit.
    std::uint64_t mostBytes() const { return m_fieldBytes + m_length.value_or(m_maxBodyBytes); }

    bool hasLength() const { return m_length.has_value(); }

    // Asks for room for the next part of the message; see byte_reservation::reserve(). A header is parsed as a
    // whole: until then, its bytes are those in the buffer of the connection.
    byte_grant reserveNextPart(byte_reservation& room, std::uint64_t bufferedBytes, std::chrono::steady_clock::time_point now, const byte_grant_handler& handler) const
    {
        if (!this->is_header_done()) {
            auto wanted = bufferedBytes > 0 ? nextReservation(bufferedBytes, std::numeric_limits<std::uint64_t>::max()) : 0;
            return room.reserve(wanted, wanted, now, handler);
        }
        return room.reserve(nextReservation(heldBytes() + 1, mostBytes()), mostBytes(), now, handler);
    }

    std::string method;
    std::string target;
    unsigned status = 0;
    // Without hop-by-hop fields; a request keeps its Host field.
    http_fields fields;
    std::string body;

    // Values and counts of fields that are not forwarded.
    std::string connection;
    std::string keepAlive;
    std::size_t hosts = 0;
    std::size_t transferEncodings = 0;
    // Whether the body, if there is one, is delimited by Content-Length or by "chunked" as
    // the only transfer coding. With any other framing the end of the body is ambiguous.
    bool hasSupportedFraming = true;

private:
    using field = boost::beast::http::field;

    // Memory beyond this is allocated as the body arrives, so that a large Content-Length
    // alone allocates nothing.
    static constexpr std::uint64_t maxReservedBytes = 65536;
    // A body that grows beyond its memory is copied, which holds it twice. Up to this size it may be.
    static constexpr std::uint64_t maxCopiedBytes = 1024ULL * 1024;
    static constexpr std::uint64_t growthFactor = 4;
    static constexpr std::uint64_t defaultMaxBodyBytes = 1024ULL * 1024;

    // Whether a line that begins with a blank follows another one of the header, of which these are further bytes.
    static bool hasFoldedLine(std::string_view bytes)
    {
        constexpr std::string_view lineEnd = "\r\n";
        std::size_t line = 0;
        auto end = bytes.find(lineEnd);
        // An empty line ends the header.
        while (end != std::string_view::npos && end != line) {
            line = end + lineEnd.size();
            if (line < bytes.size() && (bytes[line] == ' ' || bytes[line] == '\t')) {
                return true;
            }
            end = bytes.find(lineEnd, line);
        }
        return false;
    }

    void on_request_impl(boost::beast::http::verb, string_view methodText, string_view targetText, int, error_code& error) override
    {
        error = {};
        method.assign(methodText.data(), methodText.size());
        target.assign(targetText.data(), targetText.size());
    }

    void on_response_impl(int code, string_view, int, error_code& error) override
    {
        status = static_cast<unsigned>(code);
        // No request asks for another protocol.
        bool isValid = isFinalStatus(status) || (isInformationalStatus(status) && status != statusSwitchingProtocols);
        error = isValid ? error_code {} : boost::beast::http::error::bad_status;
        fields.reserve(typicalFieldCount);
    }

    void on_field_impl(field name, string_view nameText, string_view value, error_code& error) override
    {
        error = {};
        if (m_isHeaderDone) {
            // Trailer fields are ignored: they arrive after the request has been checked, and
            // must neither identify the caller nor replace a header field.
            return;
        }
        switch (name) {
        case field::connection:
            connection.append(connection.empty() ? "" : ",").append(value.data(), value.size());
            return;
        case field::keep_alive:
            keepAlive.assign(value.data(), value.size());
            return;
        case field::transfer_encoding:
            ++transferEncodings;
            hasSupportedFraming = transferEncodings == 1 && boost::beast::iequals(value, "chunked");
            return;
        case field::host:
            ++hosts;
            break;
        case field::proxy_connection:
        case field::te:
        case field::trailer:
        case field::upgrade:
        case field::content_length:
        case field::expect:
            return;
        default:
            break;
        }
        m_fieldBytes += nameText.size() + value.size();
        if (isRequest || name != field::host) {
            fields.push_back({ std::string(nameText), std::string(value) });
        }
    }

    void on_header_impl(error_code& error) override
    {
        error = {};
        m_isHeaderDone = true;
        if (!this->is_done()) {
            checkLength(this->content_length(), error);
        }
    }

    void on_body_init_impl(const boost::optional<std::uint64_t>& length, error_code& error) override
    {
        error = {};
        m_length = length;
        checkLength(length, error);
        if (error) {
            return;
        }
        body.reserve(static_cast<std::size_t>(std::min(length.value_or(0), maxReservedBytes)));
    }

    std::size_t on_body_impl(string_view bytes, error_code& error) override
    {
        error = {};
        checkLength(body.size() + bytes.size(), error);
        if (error) {
            return 0;
        }
        makeRoomFor(body.size() + bytes.size());
        body.append(bytes.data(), bytes.size());
        return bytes.size();
    }

    // A long body is allocated once, at its length or at the limit. Pages are resident only when they are used.
    void makeRoomFor(std::uint64_t size)
    {
        if (size <= body.capacity()) {
            return;
        }
        auto capacity = size > maxCopiedBytes ? m_maxBodyBytes : growthFactor * size;
        body.reserve(static_cast<std::size_t>(std::max(size, m_length.value_or(capacity))));
    }

    void checkLength(const boost::optional<std::uint64_t>& length, error_code& error) const
    {
        if (length && *length > m_maxBodyBytes) {
            error = boost::beast::http::error::body_limit;
        }
    }

    void on_chunk_header_impl(std::uint64_t, string_view, error_code& error) override { error = {}; }

    std::size_t on_chunk_body_impl(std::uint64_t, string_view bytes, error_code& error) override { return on_body_impl(bytes, error); }

    void on_finish_impl(error_code& error) override { error = {}; }

    static constexpr std::size_t typicalFieldCount = 8;
    static constexpr unsigned statusSwitchingProtocols = 101;

    std::uint64_t m_maxBodyBytes = defaultMaxBodyBytes;
    // Content-Length; nothing if the message has none.
    boost::optional<std::uint64_t> m_length;
    std::uint64_t m_fieldBytes = 0;
    bool m_isHeaderDone = false;
};

}
