#pragma once

#include <chrono>

namespace vanillashunt {

// When a node pushes its news to others: as soon as it has some, once more a little
// later, and within an allowance that keeps a storm of changes from filling the network.
class push_schedule {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // The second push of a piece of news comes so much later than the first.
    push_schedule(std::chrono::milliseconds secondPush, time_point now);

    // There is news: push it soon, and again later.
    void newsCame(time_point now);

    // What is known already is to be pushed once more.
    void repeatLater(time_point now) { m_second = now + m_secondPush; }

    // The next pushes are allowed whatever went before.
    void refill();

    bool isSoon() const { return m_soon; }

    // Whether the time for a push has come; asks for the second one only once.
    bool takeDue(time_point now);

    // Takes one push from the allowance. Otherwise it stays due.
    bool take(time_point now);

private:
    std::chrono::milliseconds m_secondPush;
    bool m_soon = false;
    time_point m_second = time_point::max();
    double m_allowance;
    time_point m_refilled;
};

}
