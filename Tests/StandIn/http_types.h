#pragma once

#include <boost/beast/http.hpp>

namespace vanillashunt {

namespace http = boost::beast::http;
using http_request = http::request<http::string_body>;
using http_response = http::response<http::string_body>;

// Largest body that a stand-in reads, in bytes.
constexpr std::uint64_t largestBody = 64ULL * 1024 * 1024;

}
