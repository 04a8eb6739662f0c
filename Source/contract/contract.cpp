#include "contract/contract.h"

namespace vanillashunt {

const request_class* findClass(const contract& terms, const std::string& service, const std::string& method, const std::string& path)
{
    const request_class* best = nullptr;
    for (const auto& candidate : terms.classes) {
        if (candidate.service != service || candidate.method != method) {
            continue;
        }
        if (path.compare(0, candidate.pathPrefix.size(), candidate.pathPrefix) != 0) {
            continue;
        }
        if (!best || best->pathPrefix.size() < candidate.pathPrefix.size()) {
            best = &candidate;
        }
    }
    return best;
}

}
