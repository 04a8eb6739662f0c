#pragma once

#include "StandIn/http_caller.h"
#include "StandIn/load_settings.h"

#include <json/json.h>

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace vanillashunt {

// What became of one request, after its last attempt.
struct load_result {
    const load_kind* kind = nullptr;
    std::string nonce;
    std::string key;
    // When it was first sent, since the start of the load.
    std::chrono::microseconds sent { 0 };
    // From the first attempt's start to the last one's end.
    std::chrono::microseconds latency { 0 };
    std::uint64_t attempts = 0;
    // The last attempt's status; 0 where it brought no answer.
    unsigned status = 0;
    // One entry for each attempt. A verdict is "timeout" or "broken" where the
    // attempt brought no answer.
    std::vector<std::string> verdicts;
    std::vector<std::string> reasons;
    std::vector<std::string> requestIds;
    // Whether the last answer came with its whole body.
    bool isWhole = false;
    // Whether any attempt brought an answer to another request.
    bool isWrong = false;

    bool succeeded() const { return status / 100 == 2 && isWhole && !isWrong; }
};

Json::Value toJson(const load_result&);

// One request of a client that repeats it hard until it is answered.
class load_request : public std::enable_shared_from_this<load_request> {
public:
    using clock = std::chrono::steady_clock;
    using handler = std::function<void(const load_result&)>;

    load_request(boost::asio::io_context&, std::shared_ptr<http_caller>, const load_settings&, const load_kind&, std::mt19937_64&, handler);

    void start(clock::time_point loadStart, clock::time_point now);

private:
    void attempt();
    void finishAttempt(const http_outcome&, clock::time_point now);
    void noteAnswer(const http_response&);
    void checkBody(const http_response&);
    bool mayRepeat(clock::time_point now, std::chrono::microseconds wait) const;
    std::chrono::microseconds waitBeforeRepeat(const http_outcome&) const;

    boost::asio::io_context& m_io;
    std::shared_ptr<http_caller> m_caller;
    const load_settings& m_settings;
    const load_kind& m_kind;
    std::mt19937_64& m_random;
    handler m_handler;
    load_result m_result;
    clock::time_point m_start;
    // What the last refusal gave to be brought back.
    std::string m_context;
    std::string m_ticket;
};

}
