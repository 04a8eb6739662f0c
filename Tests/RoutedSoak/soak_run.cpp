#include "RoutedSoak/soak_run.h"

#include "http/first_request.h"

#include <csignal>

namespace vanillashunt {

namespace {

    using std::chrono::milliseconds;

    constexpr int clientCount = 10;
    // Clients that repeat at once what is refused.
    constexpr int impatientClients = 3;
    // Clients that send requests ahead, besides the others.
    constexpr int pipeliningClients = 2;
    // A connection of a node takes 32 requests; mostly fewer than twice that are sent ahead, at times many more.
    constexpr std::size_t usualDepth = 64;
    constexpr std::size_t maxDepth = 1000;
    // The longest pause of a client between the connection and its first request.
    constexpr milliseconds maxFirstRequestPause { 50 };
    // The pause of a pipelining client after each connection, so that the others get their share.
    constexpr milliseconds pipeliningPause { 100 };
    constexpr const char* service = "desk";

    // The platform's limit for requests that still reach a server after its deregistration was acknowledged.
    constexpr milliseconds drainLimit { 2000 };
    // How long the server stays up after that and counts late requests.
    constexpr milliseconds lateRunWindow { 500 };

    std::int64_t unixMilliseconds()
    {
        return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    }

    // The advised time before a repeat; zero if there is none.
    milliseconds retryDelay(const std::string& head)
    {
        constexpr const char* name = "Retry-After: ";
        auto place = head.find(name);
        if (place == std::string::npos) {
            return {};
        }
        return std::chrono::duration_cast<milliseconds>(std::chrono::duration<double>(std::stod(head.substr(place + std::char_traits<char>::length(name)))));
    }

    std::size_t contentLength(const std::string& head)
    {
        constexpr const char* name = "Content-Length: ";
        auto place = head.find(name);
        return place == std::string::npos ? 0 : std::stoul(head.substr(place + std::char_traits<char>::length(name)));
    }

    std::string requestText(const std::string& requestId, bool idempotent)
    {
        return std::string(idempotent ? "GET /x/1" : "POST /y/1") + " HTTP/1.1\r\nHost: a.example\r\nVanillashunt-Request-Id: " + requestId
            + "\r\nVanillashunt-Deadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n";
    }

    // Reads one answer; returns its head, without the empty line at its end if the connection ended first.
    std::string readAnswer(raw_socket& connection, soak_outcome& outcome)
    {
        auto head = connection.readUntil("\r\n\r\n");
        if (head.find("\r\n\r\n") != std::string::npos) {
            outcome.status = std::stoi(head.substr(9, 3));
            outcome.body = connection.readBytes(contentLength(head));
        }
        return head;
    }

    std::string routeText(const std::string& name, const std::string& prefix, const std::string& kind)
    {
        return R"({"type":"routes","metadata":{"name":")" + name + R"("},"spec":{"host":"a.example","prefix":")" + prefix + R"(","kind":")" + kind
            + R"(","timeout_s":1,"target_latency_s":1,"priority":0,"service":")" + service + R"(","max_attempts":2}})";
    }

}

soak_run::soak_run(std::uint64_t seed, server_restarts restarts)
    : m_random(seed)
    , m_restarts(restarts)
    , m_places(nodeCount)
{
    configure();
    for (std::size_t which = 0; which < nodeCount; ++which) {
        m_places[which].server = std::make_unique<soak_server>(seed * nodeCount + which);
        if (m_restarts == server_restarts::AfterDeregistration) {
            m_places[which].server->startAgainAt(unixMilliseconds());
        }
        startNode(which);
    }
    for (int client = 0; client < clientCount; ++client) {
        m_clients.emplace_back([this, clientSeed = m_random(), isPatient = client >= impatientClients] {
            if (m_restarts == server_restarts::AfterDeregistration) {
                servePersistentClient(clientSeed, isPatient);
            } else {
                serveClient(clientSeed);
            }
        });
    }
    for (int client = 0; client < pipeliningClients; ++client) {
        m_clients.emplace_back([this, clientSeed = m_random()] { servePipeliningClient(clientSeed); });
    }
}

soak_run::~soak_run()
{
    m_ends = true;
    for (auto& client : m_clients) {
        client.join();
    }
}

void soak_run::configure()
{
    m_world.putConfiguration(R"({"version":"r)" + std::to_string(++m_version) + R"(","resources":[)" + routeText("reads", "/x/", "idempotent") + "," + routeText("replies", "/y/", "non_idempotent") + "]}");
}

void soak_run::startNode(std::size_t which)
{
    startNodeWithoutReport(which);
    report(which, "ready");
}

// The caller sends the first report of the server.
void soak_run::startNodeWithoutReport(std::size_t which)
{
    auto& here = m_places[which];
    routed_node_plan plan { "desk-" + std::to_string(which), service, m_world.storeAddress(), here.server->address(), {} };
    for (const auto& other : m_places) {
        if (&other != &here && other.node) {
            plan.join.push_back(other.node->port("peer"));
        }
    }
    here.node = std::make_unique<routed_node>(plan);
    std::lock_guard<std::mutex> lock(m_mutex);
    here.callerPort = here.node->port("caller");
}

void soak_run::report(std::size_t which, const std::string& state)
{
    auto& here = m_places[which];
    ++here.sequence;
    if (m_restarts != server_restarts::ByNewId) {
        here.node->reportOfStart(here.server->born(), state, here.sequence, service, here.server->instance());
        return;
    }
    here.node->report(state, here.sequence, service, here.server->instance());
}

void soak_run::kill(std::size_t which)
{
    m_places[which].node->process->kill();
    startNode(which);
}

// The clients stay until the process is gone.
void soak_run::stop(std::size_t which)
{
    auto& process = *m_places[which].node->process;
    process.signal(SIGTERM);
    process.wait();
    startNode(which);
}

void soak_run::freeze(std::size_t which)
{
    auto& process = *m_places[which].node->process;
    process.signal(SIGSTOP);
    std::this_thread::sleep_for(milliseconds(100 + m_random() % 900));
    process.signal(SIGCONT);
}

// A server that crashes says nothing, counts anew, and is followed by a late word of the
// start before.
void soak_run::restartServer(std::size_t which)
{
    auto& here = m_places[which];
    auto last = here.server->born();
    here.server->startAgainById();
    here.sequence = 0;
    report(which, "ready");
    constexpr int lateSequence = 1000;
    here.node->reportOfStart(last, "draining", lateSequence, service, here.server->instance());
}

// The next start of the server knows nothing of the last one.
void soak_run::replaceServer(std::size_t which)
{
    if (m_restarts == server_restarts::ByOldId) {
        restartServer(which);
        return;
    }
    report(which, "draining");
    m_places[which].server->startAgain();
    report(which, "ready");
}

void soak_run::takeStoreAway()
{
    m_world.setStoreDown(true);
    std::this_thread::sleep_for(milliseconds(m_random() % 500));
    m_world.setStoreDown(false);
}

void soak_run::breakThings(int faults)
{
    for (int fault = 0; fault < faults; ++fault) {
        auto which = m_random() % nodeCount;
        if (m_restarts == server_restarts::AfterDeregistration) {
            injectFaultWithoutKill(which);
        } else {
            injectFault(which);
        }
    }
}

void soak_run::injectFault(std::size_t which)
{
    switch (m_random() % 6) {
    case 0:
        kill(which);
        break;
    case 1:
        stop(which);
        break;
    case 2:
        freeze(which);
        break;
    case 3:
        replaceServer(which);
        break;
    case 4:
        takeStoreAway();
        break;
    default:
        // A node that is killed right after a change has to learn it again.
        configure();
        kill(which);
    }
}

void soak_run::injectFaultWithoutKill(std::size_t which)
{
    switch (m_random() % 5) {
    case 0:
        stop(which);
        break;
    case 1:
        freeze(which);
        break;
    case 2:
        deregisterServer(which);
        break;
    case 3:
        deregisterServerAfterRestart(which);
        break;
    default:
        takeStoreAway();
    }
}

// Deregisters or drains the server, at times behind a late report of a crashed server at its address, and delivers
// late reports that it is ready.
void soak_run::deregisterServer(std::size_t which)
{
    auto& here = m_places[which];
    if (m_random() % 2 == 0) {
        here.node->reportOfStart(here.server->born() - 1, "ready", 1, service, "crashed-" + std::to_string(m_random()));
    }
    if (m_random() % 2 == 0) {
        here.node->deregister(here.server->instance());
    } else {
        report(which, "draining");
    }
    auto acknowledged = std::chrono::steady_clock::now();
    report(which, "ready");
    report(which, "ready");
    countLateRuns(which, acknowledged);
}

// Deregisters the server at a node process that has just started and has no report of it.
void soak_run::deregisterServerAfterRestart(std::size_t which)
{
    auto& process = *m_places[which].node->process;
    process.signal(SIGTERM);
    process.wait();
    startNodeWithoutReport(which);
    deregisterServer(which);
}

// Counts the requests that the server begins to run after the drain limit, then starts it again by its id.
void soak_run::countLateRuns(std::size_t which, std::chrono::steady_clock::time_point acknowledged)
{
    auto& here = m_places[which];
    std::this_thread::sleep_until(acknowledged + drainLimit + lateRunWindow);
    m_lateRuns += here.server->runsStartedAfter(acknowledged + drainLimit);
    here.server->startAgainAt(unixMilliseconds());
    here.sequence = 0;
    report(which, "ready");
}

soak_outcome soak_run::ask(const std::string& address, const std::string& requestId, bool idempotent) const
{
    soak_outcome result { requestId, idempotent, 0, {} };
    try {
        auto socket = raw_socket::connectTo(address);
        socket.send(std::string(idempotent ? "GET /x/1" : "POST /y/1") + " HTTP/1.1\r\nHost: a.example\r\nVanillashunt-Request-Id: " + requestId
            + "\r\nVanillashunt-Deadline-Ms: 2000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        auto answer = socket.readToEnd();
        auto body = answer.find("\r\n\r\n");
        if (body != std::string::npos) {
            result.status = std::stoi(answer.substr(9, 3));
            result.body = answer.substr(body + 4);
        }
    } catch (const boost::system::system_error&) {
        // The process is gone: no answer, as far as a client can tell.
    }
    return result;
}

std::string soak_run::addressOf(std::size_t which)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_places[which].callerPort;
}

void soak_run::serveClient(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    for (int number = 0; !m_ends; ++number) {
        auto outcome = ask(addressOf(random() % nodeCount), "c" + std::to_string(seed) + "-" + std::to_string(number), random() % 2 == 0);
        std::lock_guard<std::mutex> lock(m_mutex);
        m_outcomes.push_back(std::move(outcome));
    }
}

// Like ask(), but reuses the connection until either side closes it. Connects if there is none, and pauses before
// it sends the first request.
soak_outcome soak_run::askOnConnection(std::unique_ptr<raw_socket>& connection, const std::string& address, const std::string& requestId, bool idempotent, milliseconds pause, milliseconds& retryAfter) const
{
    soak_outcome result { requestId, idempotent, 0, {} };
    try {
        auto begun = std::chrono::steady_clock::now();
        bool isNew = !connection;
        if (isNew) {
            connection = std::make_unique<raw_socket>(raw_socket::connectTo(address));
            std::this_thread::sleep_for(pause);
        }
        connection->send(requestText(requestId, idempotent));
        bool isSentInTime = std::chrono::steady_clock::now() - begun < first_request::maxWait;
        auto head = readAnswer(*connection, result);
        // The operating system resets what arrives in the moment in which the port is closed.
        result.isCutOff = isNew && isSentInTime && connection->isClosedByPeer();
        retryAfter = retryDelay(head);
        if (result.status == 0 || head.find("Connection: close") != std::string::npos) {
            connection.reset();
        }
    } catch (const boost::system::system_error&) {
        connection.reset();
    }
    return result;
}

// Sends all its requests to one node over a persistent connection, and reconnects when that ends.
void soak_run::servePersistentClient(std::uint64_t seed, bool isPatient)
{
    std::mt19937_64 random(seed);
    auto which = random() % nodeCount;
    std::unique_ptr<raw_socket> connection;
    for (int number = 0; !m_ends; ++number) {
        milliseconds retryAfter { 0 };
        auto pause = milliseconds(random() % maxFirstRequestPause.count());
        auto outcome = askOnConnection(connection, addressOf(which), "k" + std::to_string(seed) + "-" + std::to_string(number), random() % 2 == 0, pause, retryAfter);
        outcome.isPatient = isPatient;
        if (isPatient) {
            std::this_thread::sleep_for(retryAfter);
        }
        if (outcome.status == 0) {
            // The process has exited; its successor listens on another port.
            std::this_thread::sleep_for(milliseconds(10));
        }
        std::lock_guard<std::mutex> lock(m_mutex);
        m_outcomes.push_back(std::move(outcome));
    }
}

// Sends idempotent requests ahead on one connection, and leaves after this number of answers. Returns what it
// was told of each request that it waited for.
std::vector<soak_outcome> soak_run::askAhead(const std::string& address, const std::vector<std::string>& requestIds, std::size_t answersRead) const
{
    std::string requests;
    for (const auto& requestId : requestIds) {
        requests += requestText(requestId, true);
    }
    std::vector<soak_outcome> result;
    try {
        auto connection = raw_socket::connectTo(address);
        // If the connection ends while the requests are sent, the answers that have arrived are still read.
        connection.trySend(requests);
        bool isOpen = true;
        for (std::size_t number = 0; number < answersRead; ++number) {
            soak_outcome outcome { requestIds[number], true, 0, {}, false };
            isOpen = isOpen && readAnswer(connection, outcome).find("Connection: close") == std::string::npos && outcome.status != 0;
            result.push_back(std::move(outcome));
        }
    } catch (const boost::system::system_error&) {
        // The process is gone, and accepts no connection.
    }
    return result;
}

// Sends many requests ahead, each time over a new connection to any node; leaves early at times.
void soak_run::servePipeliningClient(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    for (int number = 0; !m_ends; ++number) {
        std::vector<std::string> requestIds;
        auto depth = 1 + random() % (random() % 8 == 0 ? maxDepth : usualDepth);
        for (std::size_t request = 0; request < depth; ++request) {
            requestIds.push_back("p" + std::to_string(seed) + "-" + std::to_string(number) + "-" + std::to_string(request));
        }
        bool leavesEarly = random() % 4 == 0;
        auto answersRead = leavesEarly ? random() % depth : depth;
        auto outcomes = askAhead(addressOf(random() % nodeCount), requestIds, answersRead);
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            m_outcomes.insert(m_outcomes.end(), outcomes.begin(), outcomes.end());
        }
        std::this_thread::sleep_for(pipeliningPause);
    }
}

std::vector<soak_outcome> soak_run::outcomes()
{
    m_ends = true;
    for (auto& client : m_clients) {
        client.join();
    }
    m_clients.clear();
    return m_outcomes;
}

std::map<std::string, int> soak_run::runs()
{
    std::map<std::string, int> all;
    for (auto& each : m_places) {
        for (const auto& [id, count] : each.server->runs()) {
            all[id] += count;
        }
    }
    return all;
}

bool soak_run::allServe()
{
    for (auto& each : m_places) {
        if (each.node->getUntil("200").substr(9, 3) != "200") {
            return false;
        }
    }
    return true;
}

}
