#include "command/contract_read.h"

#include "command/contract_files.h"
#include "command/contract_store.h"
#include "command/revision_line.h"
#include "command/text_table.h"
#include "contract/diff_contracts.h"

#include <iostream>

namespace vanillashunt {

namespace {

    constexpr const char* getHelp = R"(usage: vanillashunt contract get CUSTOMER --store IP:PORT ... [--timeout TIME]

Prints the contract that stands in the store, with its revision in the first line.

Exit codes: 0 printed, 2 wrong usage, 4 no contract of the customer stands, 5 the
store cannot be read.
)";

    constexpr const char* listHelp = R"(usage: vanillashunt contract list --store IP:PORT ... [--timeout TIME]

Prints a line for each contract that stands in the store.

Exit codes: 0 printed, 2 wrong usage, 5 the store cannot be read.
)";

    constexpr const char* diffHelp = R"(usage: vanillashunt contract diff FILE --store IP:PORT ... [--timeout TIME]

Prints what applying the file would change, a line for each difference.

Exit codes: 0 printed, 2 wrong usage, 4 no contract of the customer stands, 5 the
store cannot be read.
)";

    // What a command that reads the store starts from.
    struct store_reading {
        std::vector<std::string> words;
        contract_set contracts;
    };

    std::variant<store_reading, exit_code> readStore(const command& self, const command_arguments& arguments, std::size_t wordCount, const char* wanted)
    {
        store_options options;
        auto read = readCommandLine(self, arguments, optionsOf(options));
        if (auto* ended = std::get_if<exit_code>(&read)) {
            return *ended;
        }
        store_reading reading;
        reading.words = std::get<std::vector<std::string>>(read);
        if (reading.words.size() != wordCount || options.endpoints.empty()) {
            return reportUsage(self, std::string("name ") + wanted + "the store by --store IP:PORT");
        }
        auto contracts = contract_store(options).readAll();
        if (const auto* problem = std::get_if<std::string>(&contracts)) {
            reportError(self, *problem);
            return exit_code::Unreachable;
        }
        reading.contracts = std::get<contract_set>(contracts);
        return reading;
    }

    exit_code noContract(const command& self, const std::string& organisation)
    {
        reportError(self, "no contract of customer '" + organisation + "' stands in the store; 'vanillashunt contract list' shows all");
        return exit_code::Unknown;
    }

    exit_code runGet(const command& self, const command_arguments& arguments)
    {
        auto result = readStore(self, arguments, 1, "one customer, and ");
        if (auto* ended = std::get_if<exit_code>(&result)) {
            return *ended;
        }
        const auto& reading = std::get<store_reading>(result);
        auto found = reading.contracts.byOrganisation.find(reading.words.front());
        if (found == reading.contracts.byOrganisation.end()) {
            return noContract(self, reading.words.front());
        }
        std::cout << withRevisionLine(found->second.text, found->second.revision);
        return exit_code::Ok;
    }

    exit_code runList(const command& self, const command_arguments& arguments)
    {
        auto result = readStore(self, arguments, 0, "");
        if (auto* ended = std::get_if<exit_code>(&result)) {
            return *ended;
        }
        text_table table({ "CUSTOMER", "REVISION", "CLASSES" });
        for (const auto& [organisation, stored] : std::get<store_reading>(result).contracts.byOrganisation) {
            table.add({ organisation, std::to_string(stored.revision), std::to_string(stored.terms.classes.size()) });
        }
        std::cout << table.text();
        return exit_code::Ok;
    }

    exit_code runDiff(const command& self, const command_arguments& arguments)
    {
        auto result = readStore(self, arguments, 1, "one contract file, and ");
        if (auto* ended = std::get_if<exit_code>(&result)) {
            return *ended;
        }
        const auto& reading = std::get<store_reading>(result);
        auto files = readContractFiles(self, reading.words);
        if (auto* problem = std::get_if<exit_code>(&files)) {
            return *problem;
        }
        const auto& wanted = std::get<std::vector<contract_file>>(files).front().terms;
        auto found = reading.contracts.byOrganisation.find(wanted.organisation);
        if (found == reading.contracts.byOrganisation.end()) {
            return noContract(self, wanted.organisation);
        }
        for (const auto& difference : diffContracts(found->second.terms, wanted)) {
            std::cout << toString(difference) << '\n';
        }
        return exit_code::Ok;
    }

}

command contractGet()
{
    return { "contract get", "prints the contract that stands", getHelp, runGet };
}

command contractList()
{
    return { "contract list", "lists the contracts that stand", listHelp, runList };
}

command contractDiff()
{
    return { "contract diff", "shows what a file would change", diffHelp, runDiff };
}

}
