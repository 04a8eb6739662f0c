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
        std::cout << "accepted: contract of customer '" << file.terms.organisation << "' at revision " << revision << '\n';
        return exit_code::Ok;
    }

    // Why a contract cannot be put in force that was made from the revision seen.
    std::string describeStanding(const contract_file& file, const stored_contract& seen, const std::vector<store_entry>& standing)
    {
        if (standing.empty()) {
            return "the contract of customer '" + file.terms.organisation + "' does not stand any more; apply with --base 0";
        }
        return describeConcurrentChange(seen, readStored(standing.front()));
    }

    // What came of it if the first swap may have taken effect, and a later one did not.
    exit_code endAfterLostAnswer(const command& self, const contract_file& file, const std::vector<store_entry>& standing, const std::string& why)
    {
        if (!standing.empty() && standing.front().value == file.text) {
            return accepted(file, standing.front().modRevision);
        }
        // Somebody else wrote last, before this contract was in force or after it.
        auto revision = standing.empty() ? "none" : std::to_string(standing.front().modRevision);
        reportError(self, "not known: the contract was sent and no answer came (" + why + "), and another stands since: revision " + revision + "; look at 'vanillashunt contract diff', then apply again with --base");
        return exit_code::Unknown;
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
            auto result = store.swap(file.terms.organisation, seen.revision, file.text);
            if (const auto* failure = std::get_if<store_failure>(&result)) {
                mayHaveWritten = mayHaveWritten || failure->mayHaveWritten;
                why = failure->message;
                continue;
            }
            const auto& swap = std::get<store_swap>(result);
            if (swap.succeeded) {
                return accepted(file, swap.revision);
            }
            if (mayHaveWritten) {
                return endAfterLostAnswer(self, file, swap.standing, why);
            }
            return refuse(self, "not accepted: " + describeStanding(file, seen, swap.standing));
        }
        if (!mayHaveWritten) {
            return refuse(self, "not accepted: " + why + "; nothing was sent");
        }
        reportError(self, "not known: the contract was sent and no answer came (" + why + "); ask with 'vanillashunt contract get " + file.terms.organisation + "', then apply again");
        return exit_code::Unknown;
    }

    // What applying the file would change in what stands.
    std::string listChanges(const stored_contract& standing, const contract& wanted)
    {
        std::string listed;
        for (const auto& difference : diffContracts(standing.terms, wanted)) {
            listed += (listed.empty() ? "" : "; ") + toString(difference);
        }
        return listed.empty() ? "nothing" : listed;
    }

    // Whether the file was made from another revision than the one that stands.
    std::optional<std::string> findWrongBase(std::optional<std::int64_t> base, const contract_file& file, const stored_contract& standing)
    {
        if (base.value_or(0) == standing.revision) {
            return std::nullopt;
        }
        auto organisation = "customer '" + file.terms.organisation + "'";
        auto revision = std::to_string(standing.revision);
        if (standing.revision == 0) {
            return "the file was made from revision " + std::to_string(*base) + ", and no contract of " + organisation + " stands; apply with --base 0";
        }
        if (!base) {
            return "a contract of " + organisation + " stands at revision " + revision + ", and the file does not say that it was made from it; look at 'vanillashunt contract diff', then apply with --base " + revision;
        }
        return "the contract of " + organisation + " was changed by somebody else from revision " + std::to_string(*base) + " to " + revision + ", and the file, made from the former, would change: " + listChanges(standing, file.terms) + ". Nothing of yours was applied; make your change to revision " + revision + " and apply it again";
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
        auto found = standing.byOrganisation.find(file.terms.organisation);
        stored_contract seen = found == standing.byOrganisation.end() ? stored_contract {} : found->second;
        if (seen.revision != 0 && seen.text == file.text) {
            return accepted(file, seen.revision);
        }
        if (auto problem = findWrongBase(options.base ? options.base : revisionLineOf(file.text), file, seen)) {
            return refuse(self, "not accepted: " + *problem);
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
