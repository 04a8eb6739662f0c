#pragma once

#include "http/message_parser.h"
#include "http/reset_detector.h"

#include <boost/asio/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <cstddef>
#include <utility>

namespace vanillashunt {

// Parses what the buffer holds. What is not a whole element of the message yet, such as a part of the header,
// stays in the buffer.
template <bool isRequest>
boost::beast::error_code parseReceived(boost::beast::flat_buffer& buffer, message_parser<isRequest>& parser)
{
    boost::beast::error_code error;
    while (buffer.size() > 0 && !parser.is_done() && !error) {
        buffer.consume(parser.put(buffer.data(), error));
    }
    if (error == boost::beast::http::error::need_more) {
        error = buffer.size() < buffer.max_size() ? boost::beast::error_code {} : boost::beast::http::error::buffer_overflow;
    }
    return error;
}

// The error of a message that has not been parsed completely when its connection ends; none if it ends with
// the connection.
template <bool isRequest>
boost::beast::error_code parseEnd(message_parser<isRequest>& parser)
{
    boost::beast::error_code error;
    if (parser.got_some()) {
        parser.put_eof(error);
    }
    if (!error && !parser.is_done()) {
        error = boost::beast::http::error::end_of_stream;
    }
    return error;
}

// Reads once, and parses what has arrived. Beast's async_read_some() reads on until a whole header has arrived,
// so that nothing could ask for room meanwhile. The handler is called with an error, or once the message has
// grown; the stream, the buffer, the parser and the detector have to live until then.
template <bool isRequest, typename Stream, typename Handler>
void readPart(Stream& stream, boost::beast::flat_buffer& buffer, std::size_t maxBytes, message_parser<isRequest>& parser, const reset_detector& resets, Handler handler)
{
    auto count = std::min(maxBytes, buffer.max_size() - buffer.size());
    stream.async_read_some(buffer.prepare(count), [&buffer, &parser, &resets, handler = std::move(handler)](boost::beast::error_code error, std::size_t received) {
        buffer.commit(received);
        error = resets.resultOfRead(error);
        if (error == boost::asio::error::eof) {
            error = parseEnd(parser);
        } else if (!error) {
            error = parseReceived(buffer, parser);
        }
        handler(error);
    });
}

}
