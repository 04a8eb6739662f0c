#include "node/poison_document.h"

#include "http/json_text.h"

namespace vanillashunt {

namespace {

    // The names are short because the document has a record for each request that was running when
    // a server terminated.
    constexpr const char* contentField = "c";
    constexpr const char* endsField = "e";
    constexpr const char* servedField = "s";
    constexpr const char* lastEndField = "t";
    constexpr const char* versionField = "v";

    Json::Value toJson(const poison_record& record)
    {
        Json::Value value;
        value[contentField] = toString(record.content);
        auto& ends = value[endsField] = Json::Value(Json::arrayValue);
        for (auto start : record.ends) {
            ends.append(Json::UInt64(start));
        }
        if (record.served) {
            value[servedField] = true;
        }
        value[lastEndField] = Json::Int64(std::chrono::duration_cast<std::chrono::seconds>(record.lastEnd.time_since_epoch()).count());
        value[versionField] = Json::Int64(record.version);
        return value;
    }

    std::optional<poison_record> parseRecord(const Json::Value& value)
    {
        // Later times overflow the clock's representation.
        constexpr std::int64_t latestSecond = 1LL << 33;
        if (!value.isObject() || !value[contentField].isString() || !value[endsField].isArray() || !value[lastEndField].isInt64() || !value[versionField].isInt64()) {
            return std::nullopt;
        }
        auto content = parseFingerprint(value[contentField].asString());
        auto seconds = value[lastEndField].asInt64();
        if (!content || seconds < 0 || seconds > latestSecond || value[versionField].asInt64() < 0) {
            return std::nullopt;
        }
        poison_record record;
        record.content = *content;
        for (const auto& start : value[endsField]) {
            if (!start.isUInt64() || record.ends.size() == poisonThreshold) {
                return std::nullopt;
            }
            record.ends.push_back(start.asUInt64());
        }
        record.served = value[servedField].isBool() && value[servedField].asBool();
        record.lastEnd = std::chrono::system_clock::time_point(std::chrono::seconds(seconds));
        record.version = value[versionField].asInt64();
        return record;
    }

}

Json::Value toJson(const poison_document& document)
{
    Json::Value value;
    value["version"] = Json::Int64(document.version);
    auto& records = value["records"] = Json::Value(Json::arrayValue);
    for (const auto& record : document.records) {
        records.append(toJson(record));
    }
    return value;
}

std::optional<poison_document> parsePoisonDocument(const Json::Value& value)
{
    if (!value.isObject() || !value["version"].isInt64() || !value["records"].isArray()) {
        return std::nullopt;
    }
    poison_document document;
    document.version = value["version"].asInt64();
    for (const auto& item : value["records"]) {
        if (auto record = parseRecord(item)) {
            document.records.push_back(std::move(*record));
        }
    }
    return document;
}

std::optional<poison_document> parsePoisonDocument(const std::string& text)
{
    return parsePoisonDocument(readJson(text));
}

}
