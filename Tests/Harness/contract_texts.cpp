#include "Harness/contract_texts.h"

namespace vanillashunt {

std::string contractWithShare(const std::string& share)
{
    return "customer = \"hotel-seri\"\nshare = " + share + R"(

[[class]]
name = "thread-history"
service = "threads"
method = "GET"
path = "/history"
idempotent = true
importance = "deferrable"
deadline = "5s"
target = 0.99
retries = 2
)";
}

std::string threadsAndDeskContract()
{
    return contractWithShare("0.5") + R"(
[[class]]
name = "desk-reply"
service = "desk"
method = "POST"
path = "/reply"
idempotent = false
importance = "confirmed"
deadline = "5s"
target = 0.999
retries = 2
)";
}

const char* const stayAndDeskContract = R"(
customer = "hotel-seri"
share = 1.0

[[class]]
name = "stay-details"
service = "stay"
method = "GET"
path = "/details"
idempotent = true
importance = "deferrable"
deadline = "1500ms"
target = 0.99
retries = 2

[[class]]
name = "desk-reply"
service = "desk"
method = "POST"
path = "/reply"
idempotent = false
importance = "confirmed"
deadline = "1500ms"
target = 0.999
retries = 2
)";

}
