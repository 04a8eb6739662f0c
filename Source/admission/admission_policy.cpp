#include "admission/admission_policy.h"

namespace vanillashunt {

std::optional<admission_policy> parseAdmissionPolicy(const std::string& name)
{
    if (name == "none") {
        return admission_policy::None;
    }
    if (name == "hop") {
        return admission_policy::Hop;
    }
    if (name == "full") {
        return admission_policy::Full;
    }
    return std::nullopt;
}

}
