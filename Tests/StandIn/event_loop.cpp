#include "StandIn/event_loop.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <csignal>
#include <iostream>
#include <memory>
#include <stdexcept>

namespace vanillashunt {

tcp_endpoint parseEndpoint(const std::string& text)
{
    auto colon = text.rfind(':');
    boost::system::error_code error;
    auto address = boost::asio::ip::make_address(text.substr(0, colon), error);
    if (colon == std::string::npos || error) {
        throw std::invalid_argument("\"" + text + "\" is no address; write IP:port");
    }
    auto port = std::stoul(text.substr(colon + 1));
    return { address, static_cast<unsigned short>(port) };
}

std::string toString(const tcp_endpoint& endpoint)
{
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

std::string toLine(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

void printReady(const Json::Value& value)
{
    std::cout << toLine(value) << std::endl;
}

void callAfter(boost::asio::io_context& io, std::chrono::microseconds wait, std::function<void()> function)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(io, wait);
    timer->async_wait([timer, function = std::move(function)](boost::system::error_code error) {
        if (!error) {
            function();
        }
    });
}

void callAtStop(boost::asio::io_context& io, std::function<void()> function)
{
    auto signals = std::make_shared<boost::asio::signal_set>(io, SIGTERM, SIGINT);
    signals->async_wait([signals, function = std::move(function)](boost::system::error_code error, int) {
        if (!error) {
            function();
        }
    });
}

}
