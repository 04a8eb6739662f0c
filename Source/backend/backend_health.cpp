#include "backend/backend_health.h"

namespace vanillashunt {

namespace {

    constexpr std::uint32_t mostUnreachable = 2;
    constexpr std::uint32_t mostUnwell = 5;

    // While calls are answered, an endpoint that says "unwell" is not believed.
    constexpr std::chrono::milliseconds answerOutweighs { 1000 };

}

void backend_health::probed(probe_result result, std::chrono::steady_clock::time_point now)
{
    m_unreachableInRow = result == probe_result::Unreachable ? m_unreachableInRow + 1 : 0;
    m_unwellInRow = result == probe_result::Unwell ? m_unwellInRow + 1 : 0;
    if (result == probe_result::Well) {
        m_offered = true;
        return;
    }
    bool answersCalls = m_everAnswered && now - m_lastAnswer < answerOutweighs;
    if (m_unreachableInRow >= mostUnreachable || (m_unwellInRow >= mostUnwell && !answersCalls)) {
        m_offered = false;
    }
}

void backend_health::callAnswered(std::chrono::steady_clock::time_point now)
{
    m_everAnswered = true;
    m_lastAnswer = now;
}

}
