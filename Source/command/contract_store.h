#pragma once

#include "command/command_line.h"
#include "contract/contract.h"
#include "store/store_client.h"

#include <chrono>
#include <string>
#include <variant>
#include <vector>

namespace vanillashunt {

// How a command reaches the platform's store.
struct store_options {
    // "IP:port" each.
    std::vector<std::string> endpoints;
    std::chrono::milliseconds timeout { 5000 };
};

// The options --store and --timeout; they are written into the argument.
std::vector<command_option> optionsOf(store_options&);

// An entry as a contract; one whose text is none has no classes, and can so be
// replaced like any other.
stored_contract readStored(const store_entry&);

// The contracts in the platform's store, read and written by an operator's
// command, which waits for each call.
class contract_store {
public:
    explicit contract_store(store_options);

    // All contracts that stand; the error says what to mend.
    std::variant<contract_set, std::string> readAll();

    // Writes an organisation's contract if its last write is the one expected. The
    // answer may be lost, and the write may have taken effect all the same.
    store_result<store_swap> swap(const std::string& organisation, std::int64_t expectedRevision, const std::string& text);

private:
    store_options m_options;
};

}
