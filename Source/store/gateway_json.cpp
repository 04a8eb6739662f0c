#include "store/gateway_json.h"

#include <boost/beast/core/detail/base64.hpp>

#include <cstdlib>

namespace vanillashunt {

namespace base64 = boost::beast::detail::base64;

std::string encodeBase64(const std::string& bytes)
{
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

std::optional<std::string> decodeBase64(const std::string& text)
{
    std::string bytes(base64::decoded_size(text.size()) + 3, '\0');
    auto [written, read] = base64::decode(bytes.data(), text.data(), text.size());
    auto rest = text.substr(read);
    if (!rest.empty() && rest != "=" && rest != "==") {
        return std::nullopt;
    }
    bytes.resize(written);
    return bytes;
}

std::string prefixEnd(std::string prefix)
{
    while (!prefix.empty() && static_cast<unsigned char>(prefix.back()) == 0xff) {
        prefix.pop_back();
    }
    if (prefix.empty()) {
        return std::string(1, '\0');
    }
    ++prefix.back();
    return prefix;
}

std::int64_t readInteger(const Json::Value& value)
{
    if (value.isInt64()) {
        return value.asInt64();
    }
    if (value.isString()) {
        return std::strtoll(value.asCString(), nullptr, 10);
    }
    return 0;
}

std::optional<store_entry> readEntry(const Json::Value& value)
{
    if (!value.isObject() || !value["key"].isString()) {
        return std::nullopt;
    }
    auto key = decodeBase64(value["key"].asString());
    auto content = decodeBase64(value["value"].isString() ? value["value"].asString() : "");
    if (!key || !content) {
        return std::nullopt;
    }
    return store_entry { *key, *content, readInteger(value["mod_revision"]) };
}

}
