#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <json/json.h>

#include <chrono>
#include <functional>
#include <string>

namespace vanillashunt {

using tcp_endpoint = boost::asio::ip::tcp::endpoint;

// Reads "IP:port"; throws std::invalid_argument for anything else.
tcp_endpoint parseEndpoint(const std::string& text);
std::string toString(const tcp_endpoint&);

// JSON on one line, without a line end.
std::string toLine(const Json::Value&);

// Prints the line that tells the starter of this process that it serves.
void printReady(const Json::Value&);

// Calls the function once, after the time has passed.
void callAfter(boost::asio::io_context&, std::chrono::microseconds, std::function<void()>);

// Calls the function at the first SIGTERM or SIGINT.
void callAtStop(boost::asio::io_context&, std::function<void()>);

}
