#include "Failures/failing_hotel.h"

#include <iostream>
#include <stdexcept>

namespace {

constexpr int exitUsage = 2;

int play(std::uint64_t seed, int rounds)
{
    std::cout << "seed " << seed << std::endl;
    vanillashunt::failing_hotel hotel(seed);
    int bad = 0;
    for (int round = 1; round <= rounds; ++round) {
        auto report = hotel.playRound();
        bad += report.isGood() ? 0 : 1;
        std::cout << "round " << round << (report.isGood() ? " good: " : " BAD: ") << report.faults
                  << "; requests " << report.requests << ", whole " << report.audit.whole
                  << ", second runs " << report.audit.doubleRuns << ", false not_run " << report.audit.falseNotRun
                  << ", wrong answers " << report.audit.wrongAnswers
                  << (report.servesAgain ? "" : ", does not serve again") << std::endl;
    }
    std::cout << bad << " of " << rounds << " rounds bad" << std::endl;
    return bad == 0 ? 0 : 1;
}

}

int main(int argc, char** argv)
{
    try {
        std::uint64_t seed = argc > 1 ? std::stoull(argv[1]) : std::random_device {}();
        return play(seed, argc > 2 ? std::stoi(argv[2]) : 20);
    } catch (const std::invalid_argument&) {
        std::cerr << "usage: failures [SEED [ROUNDS]]\n";
        return exitUsage;
    } catch (const std::exception& error) {
        std::cerr << "failures: " << error.what() << '\n';
        return 1;
    }
}
