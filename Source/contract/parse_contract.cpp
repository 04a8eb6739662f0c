#include "contract/parse_contract.h"

#include "contract/check_contract.h"
#include "contract/parse_toml.h"
#include "contract/toml_reader.h"
#include "contract/toml_rules.h"

#include <map>
#include <tuple>

namespace vanillashunt {

namespace {

    constexpr std::chrono::milliseconds minDeadline { 10 };
    constexpr std::chrono::milliseconds maxDeadline { 60000 };

    const toml_key organisationKey { "customer", "\"hotel-seri\"" };
    const toml_key shareKey { "share", "0.4" };
    const toml_key classKey { "class", "" };
    const toml_key nameKey { "name", "\"desk-reply\"" };
    const toml_key serviceKey { "service", "\"replies\"" };
    const toml_key methodKey { "method", "\"POST\"" };
    const toml_key pathKey { "path", "\"/\"", presence::Optional };
    const toml_key idempotentKey { "idempotent", "false" };
    const toml_key importanceKey { "importance", "\"interactive\"" };
    const toml_key deadlineKey { "deadline", "\"2s\"" };
    const toml_key targetKey { "target", "0.999" };
    const toml_key retriesKey { "retries", "2", presence::Optional };

    const toml_rule<double> shareRule { [](double share) { return share > 0 && share <= 1; }, "a number above 0 and at most 1" };
    const toml_rule<double> targetRule { [](double target) { return target > 0 && target < 1; }, "a number above 0 and below 1" };
    const toml_rule<std::int64_t> retriesRule = integerRule(0, maxRetries);
    const toml_rule<std::chrono::milliseconds> deadlineRule = durationRule(minDeadline, maxDeadline);
    const toml_rule<std::string> methodRule = choiceRule({ "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS" });
    const toml_rule<std::string> importanceRule = choiceRule({ "deferrable", "interactive", "confirmed" });

    // Service, method and path prefix; no two classes of a contract may have the same ones.
    using entry_key = std::tuple<std::string, std::string, std::string>;

    // Reads one [[class]] table. Keys that are missing or invalid get a default and are reported
    // to the reader's problem list.
    request_class readClass(toml_reader& reader)
    {
        request_class result;
        result.name = reader.readString(nameKey, nameRule()).value_or("");
        if (!result.name.empty()) {
            reader.setContext("class " + quoteToml(result.name));
        }
        result.service = reader.readString(serviceKey, nameRule()).value_or("");
        result.method = reader.readString(methodKey, methodRule).value_or("");
        result.pathPrefix = reader.readString(pathKey, pathRule()).value_or("/");
        result.idempotent = reader.readBoolean(idempotentKey).value_or(true);
        auto level = reader.readString(importanceKey, importanceRule);
        result.level = level ? *parseImportance(*level) : importance::Deferrable;
        result.deadline = reader.readDuration(deadlineKey, deadlineRule).value_or(maxDeadline);
        result.target = reader.readReal(targetKey, targetRule).value_or(0);
        result.retries = static_cast<std::uint32_t>(reader.readInteger(retriesKey, retriesRule).value_or(0));
        reader.reportUnknownKeys();
        return result;
    }

    // Reports conflicts between the keys of a class that are each valid.
    void checkClass(const request_class& candidate, toml_reader& reader)
    {
        if (candidate.method == "GET" && candidate.level == importance::Confirmed && !candidate.idempotent) {
            reader.report(methodKey, "method is \"GET\", but importance is \"confirmed\" and idempotent is false, and a GET must be safe to repeat; write idempotent = true, or use a method that changes state, for example method = \"POST\"");
        }
        if (auto message = findImpossibleDeadline(candidate)) {
            reader.report(deadlineKey, *message);
        }
    }

    // Records the names and entries of the classes read with their lines, and reports duplicates.
    class class_registry {
    public:
        void add(const request_class& candidate, int line, toml_reader& reader)
        {
            auto [name, isNewName] = m_names.try_emplace(candidate.name, line);
            if (!candidate.name.empty() && !isNewName) {
                reader.report(nameKey, "name is already used by the class on line " + std::to_string(name->second) + "; give each class its own name");
            }
            if (candidate.service.empty() || candidate.method.empty()) {
                return;
            }
            auto [entry, isNewEntry] = m_entries.try_emplace({ candidate.service, candidate.method, candidate.pathPrefix }, line);
            if (!isNewEntry) {
                reader.report(serviceKey, "service, method and path are the same as those of the class on line " + std::to_string(entry->second) + "; change one of the three, or merge the two classes");
            }
        }

    private:
        std::map<std::string, int> m_names;
        std::map<entry_key, int> m_entries;
    };

    std::vector<request_class> readClasses(const std::vector<const toml_node*>& tables, problem_list& problems)
    {
        std::vector<request_class> classes;
        class_registry known;
        for (const auto* table : tables) {
            toml_reader reader(*table, "class number " + std::to_string(classes.size() + 1), problems);
            classes.push_back(readClass(reader));
            checkClass(classes.back(), reader);
            known.add(classes.back(), table->line, reader);
        }
        return classes;
    }

    contract readContract(const toml_node& root, problem_list& problems)
    {
        toml_reader reader(root, "", problems);
        contract result;
        result.organisation = reader.readString(organisationKey, nameRule()).value_or("");
        result.share = reader.readReal(shareKey, shareRule).value_or(1);
        result.classes = readClasses(reader.readTables(classKey), problems);
        reader.reportUnknownKeys();
        return result;
    }

}

parse_contract_result parseContract(const std::string& text, const std::string& fileName)
{
    auto parsed = parseToml(text, fileName);
    if (const auto* problem = std::get_if<text_problem>(&parsed)) {
        return std::vector<text_problem> { *problem };
    }
    problem_list problems(fileName);
    auto result = readContract(std::get<toml_node>(parsed), problems);
    if (!problems.isEmpty()) {
        return problems.sorted();
    }
    return result;
}

}
