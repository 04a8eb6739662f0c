#include "StandIn/gateway_json.h"

#include <boost/beast/core/detail/base64.hpp>

#include <stdexcept>

namespace vanillashunt {

namespace base64 = boost::beast::detail::base64;

namespace {

    std::string toCamelCase(const std::string& name)
    {
        std::string result;
        bool raiseNext = false;
        for (char letter : name) {
            if (letter == '_') {
                raiseNext = true;
                continue;
            }
            result += raiseNext ? static_cast<char>(std::toupper(static_cast<unsigned char>(letter))) : letter;
            raiseNext = false;
        }
        return result;
    }

    // Reads an enumeration, which the gateway takes by word or by number.
    template <class T>
    T parseEnum(const Json::Value& value, const std::vector<std::string>& words)
    {
        if (value.isNull()) {
            return T {};
        }
        for (std::size_t index = 0; index < words.size(); ++index) {
            if (value.isIntegral() ? value.asUInt64() == index : value.asString() == words[index]) {
                return static_cast<T>(index);
            }
        }
        throw std::invalid_argument("unknown word " + value.asString() + "; the first that is known is " + words.front());
    }

    store_compare parseCompare(const Json::Value& value)
    {
        store_compare condition;
        condition.key = parseBytes(member(value, "key"));
        condition.target = parseEnum<compare_target>(member(value, "target"), { "VERSION", "CREATE", "MOD", "VALUE", "LEASE" });
        condition.result = parseEnum<compare_result>(member(value, "result"), { "EQUAL", "GREATER", "LESS", "NOT_EQUAL" });
        static const std::vector<std::string> numbers { "version", "create_revision", "mod_revision", "value", "lease" };
        auto operand = member(value, numbers[static_cast<std::size_t>(condition.target)]);
        if (condition.target == compare_target::Value) {
            condition.value = parseBytes(operand);
        } else {
            condition.number = parseNumber(operand);
        }
        return condition;
    }

    std::vector<store_operation> parseOperations(const Json::Value& list)
    {
        std::vector<store_operation> operations;
        for (const auto& each : list) {
            if (auto range = member(each, "request_range"); !range.isNull()) {
                operations.emplace_back(parseRangeRequest(range));
            } else if (auto put = member(each, "request_put"); !put.isNull()) {
                operations.emplace_back(parsePutRequest(put));
            } else if (auto remove = member(each, "request_delete_range"); !remove.isNull()) {
                operations.emplace_back(parseDeleteRequest(remove));
            } else {
                throw std::invalid_argument("an operation is neither request_range, request_put nor request_delete_range");
            }
        }
        return operations;
    }

    void setNumber(Json::Value& object, const char* name, std::int64_t number)
    {
        if (number != 0) {
            object[name] = numberToJson(number);
        }
    }

    Json::Value listToJson(const std::vector<key_value>& entries)
    {
        Json::Value list(Json::arrayValue);
        for (const auto& entry : entries) {
            list.append(toJson(entry));
        }
        return list;
    }

}

Json::Value member(const Json::Value& object, const std::string& name)
{
    if (object.isMember(name)) {
        return object[name];
    }
    return object.get(toCamelCase(name), Json::Value());
}

std::int64_t parseNumber(const Json::Value& value)
{
    if (value.isNull()) {
        return 0;
    }
    return value.isString() ? std::stoll(value.asString()) : value.asInt64();
}

Json::Value numberToJson(std::int64_t number)
{
    return std::to_string(number);
}

std::string parseBytes(const Json::Value& value)
{
    auto text = value.asString();
    while (!text.empty() && text.back() == '=') {
        text.pop_back();
    }
    std::string bytes(base64::decoded_size(text.size() + 4), '\0');
    auto [written, read] = base64::decode(bytes.data(), text.data(), text.size());
    if (read != text.size()) {
        throw std::invalid_argument("illegal base64 data at input byte " + std::to_string(read));
    }
    bytes.resize(written);
    return bytes;
}

Json::Value bytesToJson(const std::string& bytes)
{
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

key_range parseKeyRange(const Json::Value& value)
{
    key_range range { parseBytes(member(value, "key")), parseBytes(member(value, "range_end")) };
    if (range.key.empty()) {
        throw std::invalid_argument("etcdserver: key is not provided");
    }
    return range;
}

range_request parseRangeRequest(const Json::Value& value)
{
    return { parseKeyRange(value), parseNumber(member(value, "limit")), parseNumber(member(value, "min_mod_revision")) };
}

put_request parsePutRequest(const Json::Value& value)
{
    put_request request;
    request.key = parseKeyRange(value).key;
    request.value = parseBytes(member(value, "value"));
    request.lease = parseNumber(member(value, "lease"));
    request.withPrevious = member(value, "prev_kv").asBool();
    return request;
}

delete_request parseDeleteRequest(const Json::Value& value)
{
    return { parseKeyRange(value), member(value, "prev_kv").asBool() };
}

transaction parseTransaction(const Json::Value& value)
{
    transaction request;
    for (const auto& each : member(value, "compare")) {
        request.conditions.push_back(parseCompare(each));
    }
    request.success = parseOperations(member(value, "success"));
    request.failure = parseOperations(member(value, "failure"));
    return request;
}

Json::Value toJson(const key_value& entry)
{
    Json::Value object;
    object["key"] = bytesToJson(entry.key);
    setNumber(object, "create_revision", entry.createRevision);
    setNumber(object, "mod_revision", entry.modRevision);
    setNumber(object, "version", entry.version);
    setNumber(object, "lease", entry.lease);
    if (!entry.value.empty()) {
        object["value"] = bytesToJson(entry.value);
    }
    return object;
}

Json::Value toJson(const store_event& event, bool withPrevious)
{
    Json::Value object;
    if (event.isDelete) {
        object["type"] = "DELETE";
    }
    object["kv"] = toJson(event.current);
    if (withPrevious && event.previous) {
        object["prev_kv"] = toJson(*event.previous);
    }
    return object;
}

Json::Value toJson(const store_result& result)
{
    Json::Value object(Json::objectValue);
    if (const auto* range = std::get_if<range_result>(&result)) {
        if (!range->found.empty()) {
            object["kvs"] = listToJson(range->found);
        }
        if (range->count > static_cast<std::int64_t>(range->found.size())) {
            object["more"] = true;
        }
        setNumber(object, "count", range->count);
    } else if (const auto* put = std::get_if<put_result>(&result)) {
        if (put->previous) {
            object["prev_kv"] = toJson(*put->previous);
        }
    } else {
        const auto& removed = std::get<delete_result>(result);
        setNumber(object, "deleted", removed.deleted);
        if (!removed.previous.empty()) {
            object["prev_kvs"] = listToJson(removed.previous);
        }
    }
    return object;
}

}
