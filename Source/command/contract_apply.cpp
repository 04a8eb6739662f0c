#include "command/contract_apply.h"

#include "command/contract_files.h"
#include "command/contract_store.h"
#include "command/revision_line.h"
#include "contract/check_contract.h"
#include "contract/diff_contracts.h"
#include "contract/parse_contract.h"

#include <iostream>
#include <thread>

namespace vanillashunt {

namespace {

    constexpr const char* help = R"(usage: vanillashunt contract apply FILE --store IP:PORT ... [--base REVISION] [--timeout TIME]

Puts a customer's contract in force. It is accepted when the store has taken it,
and then never goes back; 'vanillashunt contract status' shows where it is in force.

A file that 'vanillashunt contract get' wrote names in its first line the revision
that it was made from. The contract is accepted only if that revision still stands,
so that no other operator's change is lost.

  --store IP:PORT    the platform's store; may be repeated
  --base REVISION    the revision that the file was made from; 0 for a new customer
  --timeout TIME     longest time to wait for the store, 5s by default

Exit codes: 0 accepted, 2 wrong usage, 3 not accepted, and never will be by this
command, 4 not known; 'vanillashunt contract get' then tells.
)";

    // A lost answer is asked for again this often, since only the store knows.
    constexpr int mostTries = 5;
    constexpr std::chrono::milliseconds betweenTries { 500 };

    struct apply_options {
        store_options store;
        std::optional<std::int64_t> base;
    };

    command_option baseOption(apply_options& options)
    {
        return { "base", true, [&](const std::string& value) -> std::optional<std::string> {
                    options.base = readRevision(value);
                    if (!options.base) {
                        return "'" + value + "' is no revision; write a whole number from 0";
                    }
                    return std::nullopt;
                } };
    }

    exit_code refuse(const command& self, const std::string& message)
    {
        reportError(self, message);
        return exit_code::Refused;
    }

    exit_code accepted(const contract_file& file, std::int64_t revision)
    {
        std::cout << "accepted: contract of customer '" << file.terms.customer << "' at revision " << revision << '\n';
        return exit_code::Ok;
    }

    // What stands in the way after a refused swap.
    exit_code lostRace(const command& self, const contract_file& file, const stored_contract& seen, const std::vector<store_entry>& standing)
    {
        if (standing.empty()) {
            return refuse(self, "not accepted: the contract of customer '" + file.terms.customer + "' does not stand any more; apply with --base 0");
        }
        auto parsed = parseContract(standing.front().value, "store");
        const auto* terms = std::get_if<contract>(&parsed);
        if (!terms) {
            return refuse(self, "not accepted: the store holds a text that is no contract at revision " + std::to_string(standing.front().modRevision));
        }
        return refuse(self, "not accepted: " + describeLostRace(seen, { *terms, standing.front().value, standing.front().modRevision }));
    }

    // Swaps until an answer says what holds. After a lost answer the same swap is
    // sent again: it succeeds if the first did not and no later one can, or it
    // finds the own text standing.
    exit_code swapUntilKnown(const command& self, contract_store& store, const contract_file& file, const stored_contract& seen)
    {
        bool mayHaveWritten = false;
        std::string why;
        for (int tries = 0; tries < mostTries; ++tries) {
            if (tries > 0) {
                std::this_thread::sleep_for(betweenTries);
            }
            auto result = store.swap(file.terms.customer, seen.revision, file.text);
            if (const auto* failure = std::get_if<store_failure>(&result)) {
                mayHaveWritten = mayHaveWritten || failure->mayHaveWritten;
                why = failure->message;
                continue;
            }
            const auto& swap = std::get<store_swap>(result);
            if (swap.succeeded) {
                return accepted(file, swap.revision);
            }
            if (mayHaveWritten && !swap.standing.empty() && swap.standing.front().value == file.text) {
                return accepted(file, swap.standing.front().modRevision);
            }
            return lostRace(self, file, seen, swap.standing);
        }
        if (!mayHaveWritten) {
            return refuse(self, "not accepted: " + why + "; nothing was sent");
        }
        reportError(self, "not known: the store took the contract and did not answer (" + why + "); ask with 'vanillashunt contract get " + file.terms.customer + "', then apply again");
        return exit_code::Unknown;
    }

    exit_code apply(const command& self, const apply_options& options, const contract_file& file)
    {
        contract_store store(options.store);
        auto read = store.readAll();
        if (const auto* problem = std::get_if<std::string>(&read)) {
            return refuse(self, "not accepted: " + *problem + "; nothing was sent");
        }
        const auto& standing = std::get<contract_set>(read);
        auto problems = checkAgainstOthers(file.terms, standing, file.fileName);
        if (!problems.empty()) {
            reportProblems(problems);
            return exit_code::Refused;
        }
        auto found = standing.byCustomer.find(file.terms.customer);
        stored_contract seen = found == standing.byCustomer.end() ? stored_contract {} : found->second;
        auto base = options.base ? options.base : revisionLineOf(file.text);
        if (!base && seen.revision != 0) {
            return refuse(self, "not accepted: a contract of customer '" + file.terms.customer + "' stands at revision " + std::to_string(seen.revision) + ", and the file does not say that it was made from it; look at 'vanillashunt contract diff', then apply with --base " + std::to_string(seen.revision));
        }
        if (base && *base != seen.revision) {
            return refuse(self, "not accepted: the file was made from revision " + std::to_string(*base) + ", and revision " + std::to_string(seen.revision) + " stands; get it, make the change again, and apply that");
        }
        return swapUntilKnown(self, store, file, seen);
    }

    exit_code run(const command& self, const command_arguments& arguments)
    {
        apply_options options;
        auto known = optionsOf(options.store);
        known.push_back(baseOption(options));
        auto read = readCommandLine(self, arguments, known);
        if (auto* ended = std::get_if<exit_code>(&read)) {
            return *ended;
        }
        const auto& words = std::get<std::vector<std::string>>(read);
        if (words.size() != 1 || options.store.endpoints.empty()) {
            return reportUsage(self, "name one contract file, and the store by --store IP:PORT");
        }
        auto files = readContractFiles(self, words);
        if (auto* problem = std::get_if<exit_code>(&files)) {
            return *problem;
        }
        return apply(self, options, std::get<std::vector<contract_file>>(files).front());
    }

}

command contractApply()
{
    return { "contract apply", "puts a contract in force", help, run };
}

}
