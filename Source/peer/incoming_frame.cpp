#include "peer/incoming_frame.h"

#include <algorithm>
#include <utility>

namespace vanillashunt {

namespace {

    // A frame up to this size is read in the buffer of received bytes.
    constexpr std::uint64_t maxShortBytes = 65536;

    std::string_view bytesOf(const boost::beast::flat_buffer& buffer)
    {
        auto bytes = buffer.data();
        return { static_cast<const char*>(bytes.data()), bytes.size() };
    }

}

incoming_frame::incoming_frame(frame_kind kind, std::uint64_t maxBodyBytes, std::shared_ptr<byte_budget> budget, byte_place place)
    : m_kind(kind)
    , m_maxBodyBytes(maxBodyBytes)
    , m_budget(std::move(budget))
    , m_place(place)
{
}

frame_search incoming_frame::take(boost::beast::flat_buffer& received)
{
    if (m_longHeader) {
        return takeLong(received);
    }
    auto search = findFrame(bytesOf(received), m_kind, m_maxBodyBytes, m_found);
    if (search != frame_search::Incomplete || received.size() < frameHeaderBytes) {
        return search;
    }
    auto header = decodeHeader(bytesOf(received).data());
    if (header->length <= maxShortBytes) {
        // Counted without asking: the sender of a refused frame that is sent as a whole does not know whether
        // it has run.
        m_room = byte_reservation(m_budget, m_place);
        m_room.complete(received.size());
        return search;
    }
    m_room = byte_reservation(m_budget, m_place);
    m_longHeader = header;
    // Pages are resident only when they are used.
    m_longPayload.reserve(header->length);
    received.consume(frameHeaderBytes);
    return takeLong(received);
}

frame_search incoming_frame::takeLong(boost::beast::flat_buffer& received)
{
    auto bytes = bytesOf(received).substr(0, m_longHeader->length - m_longPayload.size());
    m_longPayload.append(bytes);
    received.consume(bytes.size());
    if (m_longPayload.size() < m_longHeader->length) {
        return frame_search::Incomplete;
    }
    m_found = { *m_longHeader, m_longPayload };
    return checksumMatches(m_found.header, m_found.payload) ? frame_search::Found : frame_search::Damaged;
}

byte_grant incoming_frame::reserve(time_point now, byte_grant_handler handler)
{
    if (!m_longHeader) {
        return byte_grant::Granted;
    }
    return m_room.reserve(nextReservation(m_longPayload.size(), m_longHeader->length), m_longHeader->length, now, std::move(handler));
}

bool incoming_frame::isFollowed(const boost::beast::flat_buffer& received) const
{
    return received.size() > (m_longHeader ? 0 : frameHeaderBytes + m_found.payload.size());
}

// A long frame has been given room as it arrived.
void incoming_frame::finish(boost::beast::flat_buffer& received)
{
    if (!m_longHeader) {
        received.consume(frameHeaderBytes + m_found.payload.size());
    }
    m_found = {};
    m_longHeader.reset();
}

std::optional<call_request> incoming_frame::decodeRequest(boost::beast::flat_buffer& received, time_point now, frame_history& history)
{
    if (!m_longHeader) {
        m_room = byte_reservation(m_budget, m_place);
        m_hasRoom = m_room.completeIfRoom(m_found.payload.size() + requestStateBytes);
    } else {
        m_hasRoom = true;
        m_room.complete(m_found.payload.size());
    }
    auto request = m_longHeader ? decodeLongRequest(std::move(m_longPayload), now, history, std::move(m_room))
                                : vanillashunt::decodeRequest(m_found.payload, now, history, std::move(m_room));
    finish(received);
    return request;
}

std::optional<call_answer> incoming_frame::decodeAnswer(boost::beast::flat_buffer& received, const std::string& requestId, frame_history& history)
{
    if (!m_longHeader) {
        m_room = byte_reservation(m_budget, m_place);
    }
    m_room.complete(m_found.payload.size());
    auto answer = m_longHeader ? decodeLongAnswer(std::move(m_longPayload), requestId, history, std::move(m_room))
                               : vanillashunt::decodeAnswer(m_found.payload, requestId, history, std::move(m_room));
    finish(received);
    return answer;
}

void incoming_frame::reset()
{
    m_room = {};
    m_found = {};
    m_longHeader.reset();
    m_longPayload = {};
}

}
