#include "http/json_text.h"

#include <json/reader.h>
#include <json/writer.h>

#include <memory>

namespace vanillashunt {

std::string writeJson(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

Json::Value readJson(const std::string& text)
{
    Json::CharReaderBuilder builder;
    builder["stackLimit"] = 64;
    builder["failIfExtra"] = true;
    std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    try {
        if (!reader->parse(text.data(), text.data() + text.size(), &value, nullptr)) {
            return {};
        }
    } catch (const Json::Exception&) {
        return {};
    }
    return value;
}

}
