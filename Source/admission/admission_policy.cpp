#include "admission/admission_policy.h"

namespace vanillashunt {

std::optional<admission_policy> parseAdmissionPolicy(const std::string& word)
{
    if (word == "none") {
        return admission_policy::None;
    }
    if (word == "hop") {
        return admission_policy::Hop;
    }
    if (word == "full") {
        return admission_policy::Full;
    }
    return std::nullopt;
}

}
