// Stand-ins of the users' platform for the cases of the second review: the store, application
// servers, clients and the nodes as processes. They speak what the users' pages tell.
#pragma once

#include <jsoncpp/json/json.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <regex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review2 {

using steady = std::chrono::steady_clock;

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;

// Lines with the time since the start, for record.txt.
class recorder {
public:
    explicit recorder(const std::string& file)
        : m_file(file)
    {
    }

    double seconds() const { return std::chrono::duration<double>(steady::now() - m_start).count(); }

    void line(const std::string& text)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f ", seconds());
        m_file << time << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    steady::time_point m_start = steady::now();
};

inline void pause(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

inline std::string lowered(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

struct message {
    // The request line or the status line.
    std::string first;
    std::map<std::string, std::string> fields;
    std::string body;

    std::string field(const std::string& name) const
    {
        auto found = fields.find(lowered(name));
        return found == fields.end() ? "" : found->second;
    }
    std::string word(std::size_t index) const
    {
        std::istringstream words(first);
        std::string result;
        for (std::size_t i = 0; i <= index; ++i) {
            result.clear();
            words >> result;
        }
        return result;
    }
    int status() const { return std::atoi(word(1).c_str()); }
};

// One blocking connection.
class wire {
public:
    explicit wire(int socket)
        : m_socket(socket)
    {
    }
    ~wire() { ::close(m_socket); }
    wire(const wire&) = delete;
    wire& operator=(const wire&) = delete;

    static std::unique_ptr<wire> connect(const std::string& ip, int port, double timeout = 1)
    {
        int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto result = std::make_unique<wire>(socket);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        result->setTimeout(timeout);
        if (::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
            return nullptr;
        }
        int on = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        return result;
    }

    void setTimeout(double seconds) const
    {
        timeval time {};
        time.tv_sec = static_cast<time_t>(seconds);
        time.tv_usec = static_cast<suseconds_t>((seconds - static_cast<double>(time.tv_sec)) * 1e6);
        setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
        setsockopt(m_socket, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof time);
    }

    bool send(const std::string& bytes) const
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            auto count = ::send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    // Reads one message with a length, or without a body; false at the end, an error or the timeout.
    bool read(message& result)
    {
        auto end = m_buffer.find("\r\n\r\n");
        while (end == std::string::npos) {
            if (!more()) {
                return false;
            }
            end = m_buffer.find("\r\n\r\n");
        }
        result = {};
        std::istringstream head(m_buffer.substr(0, end));
        std::getline(head, result.first);
        for (std::string line; std::getline(head, line);) {
            auto colon = line.find(':');
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            if (colon != std::string::npos) {
                auto value = line.substr(colon + 1);
                value.erase(0, value.find_first_not_of(' '));
                result.fields[lowered(line.substr(0, colon))] = value;
            }
        }
        m_buffer.erase(0, end + 4);
        auto length = static_cast<std::size_t>(std::atoll(result.field("Content-Length").c_str()));
        while (m_buffer.size() < length) {
            if (!more()) {
                return false;
            }
        }
        result.body = m_buffer.substr(0, length);
        m_buffer.erase(0, length);
        return true;
    }

    bool isClosedByPeer() const
    {
        pollfd polled { m_socket, POLLRDHUP, 0 };
        return ::poll(&polled, 1, 0) > 0 && (polled.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    }

    int socket() const { return m_socket; }

private:
    bool more()
    {
        char bytes[16384];
        auto count = ::recv(m_socket, bytes, sizeof bytes, 0);
        if (count <= 0) {
            return false;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    int m_socket;
    std::string m_buffer;
};

// Listens at an address, with a thread for each connection, until it is stopped.
class listener {
public:
    using handler = std::function<void(wire&, const std::string& peer)>;

    listener(std::string ip, int port, handler serve)
        : m_ip(std::move(ip))
        , m_port(port)
        , m_serve(std::move(serve))
    {
    }
    ~listener() { stop(); }

    bool start()
    {
        m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int on = 1;
        setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(m_port));
        inet_pton(AF_INET, m_ip.c_str(), &address.sin_addr);
        if (::bind(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || ::listen(m_socket, 512) != 0) {
            return false;
        }
        m_acceptor = std::thread([this] { accept(); });
        return true;
    }

    // Ends the listening and every connection, as at the end of the process.
    void stop()
    {
        if (m_socket < 0 || m_stopped.exchange(true)) {
            return;
        }
        ::shutdown(m_socket, SHUT_RDWR);
        m_acceptor.join();
        ::close(m_socket);
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            for (int open : m_open) {
                ::shutdown(open, SHUT_RDWR);
            }
        }
        for (auto& thread : m_threads) {
            thread.join();
        }
    }

    bool isStopped() const { return m_stopped; }

private:
    void accept()
    {
        while (!m_stopped) {
            sockaddr_in address {};
            socklen_t size = sizeof address;
            int socket = ::accept4(m_socket, reinterpret_cast<sockaddr*>(&address), &size, SOCK_CLOEXEC);
            if (socket < 0) {
                return;
            }
            int on = 1;
            setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            char peer[INET_ADDRSTRLEN] {};
            inet_ntop(AF_INET, &address.sin_addr, peer, sizeof peer);
            std::lock_guard<std::mutex> lock(m_mutex);
            m_open.push_back(socket);
            m_threads.emplace_back([this, socket, text = std::string(peer)] {
                wire connection(socket);
                m_serve(connection, text);
                std::lock_guard<std::mutex> inner(m_mutex);
                m_open.erase(std::remove(m_open.begin(), m_open.end(), socket), m_open.end());
            });
        }
    }

    std::string m_ip;
    int m_port;
    handler m_serve;
    int m_socket = -1;
    std::atomic<bool> m_stopped { false };
    std::thread m_acceptor;
    std::mutex m_mutex;
    std::vector<int> m_open;
    std::vector<std::thread> m_threads;
};

inline std::string base64(const std::string& bytes)
{
    constexpr const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned value = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            value = value << 8U | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            result += i + j > bytes.size() ? '=' : digits[value >> (18U - 6U * j) & 63U];
        }
    }
    return result;
}

inline std::string fromBase64(const std::string& text)
{
    const std::string digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    unsigned value = 0;
    unsigned bits = 0;
    for (char letter : text) {
        auto digit = digits.find(letter);
        if (digit == std::string::npos) {
            continue;
        }
        value = value << 6U | static_cast<unsigned>(digit);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            result += static_cast<char>(value >> bits & 255U);
        }
    }
    return result;
}

inline std::string jsonText(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

// The platform's store, with as much as nodes use of it. Its writes are acknowledged at once.
class store {
public:
    store(const std::string& ip, int port)
        : m_listener(ip, port, [this](wire& connection, const std::string& peer) { serve(connection, peer); })
    {
    }
    ~store() { stop(); }

    bool start() { return m_listener.start(); }
    void stop()
    {
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            m_ending = true;
            m_changed.notify_all();
        }
        m_listener.stop();
    }

    void put(const std::string& key, const std::string& value)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        putLocked(key, value);
    }

    // From now on the store turns these machines away with 503; empty for none.
    void turnAway(std::set<std::string> machines)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_turnedAway = std::move(machines);
        m_changed.notify_all();
    }

    // When the machine last began to wait for changes of the configuration; nothing if it never did.
    std::map<std::string, steady::time_point> waitsForConfiguration()
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        return m_waits;
    }

private:
    struct item {
        std::string value;
        int revision = 0;
    };

    void putLocked(const std::string& key, const std::string& value)
    {
        m_items[key] = { value, ++m_revision };
        m_changed.notify_all();
    }

    Json::Value itemOf(const std::string& key) const
    {
        const auto& entry = m_items.at(key);
        Json::Value json;
        json["key"] = key;
        json["value"] = base64(entry.value);
        json["revision"] = entry.revision;
        json["create_rev"] = entry.revision;
        json["lease"] = 0;
        return json;
    }

    static std::map<std::string, std::string> queryOf(const std::string& target)
    {
        std::map<std::string, std::string> result;
        auto mark = target.find('?');
        std::istringstream parts(mark == std::string::npos ? "" : target.substr(mark + 1));
        for (std::string part; std::getline(parts, part, '&');) {
            auto equals = part.find('=');
            std::string value;
            for (std::size_t i = equals + 1; i < part.size(); ++i) {
                if (part[i] == '%' && i + 2 < part.size()) {
                    value += static_cast<char>(std::stoi(part.substr(i + 1, 2), nullptr, 16));
                    i += 2;
                } else {
                    value += part[i];
                }
            }
            result[part.substr(0, equals)] = value;
        }
        return result;
    }

    void serve(wire& connection, const std::string& peer)
    {
        message request;
        while (connection.read(request)) {
            int status = 200;
            auto body = jsonText(answer(request, peer, status));
            if (!connection.send("HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body)) {
                return;
            }
        }
    }

    Json::Value answer(const message& request, const std::string& peer, int& status)
    {
        auto target = request.word(1);
        auto path = target.substr(0, target.find('?'));
        auto query = queryOf(target);
        std::unique_lock<std::mutex> lock(m_mutex);
        Json::Value json(Json::objectValue);
        auto isTurnedAway = [this, &peer] { return m_turnedAway.count(peer) != 0; };
        if (isTurnedAway()) {
            status = 503;
            return json;
        }
        if (path == "/kv-key") {
            bool isThere = m_items.count(query["key"]) != 0;
            status = isThere ? 200 : 404;
            json = isThere ? itemOf(query["key"]) : json;
        } else if (path == "/kv-range") {
            json["items"] = since(query["prefix"], 0);
            json["more_pages"] = false;
        } else if (path == "/kv-watch") {
            if (query["prefix"] == "op/config") {
                m_waits[peer] = steady::now();
            }
            auto until = steady::now() + std::chrono::milliseconds(std::stoi(query["wait_ms"]));
            auto after = std::stoi(query["after"]);
            m_changed.wait_until(lock, until, [&] { return m_ending || isTurnedAway() || !since(query["prefix"], after).empty(); });
            if (isTurnedAway()) {
                status = 503;
                return json;
            }
            json["events"] = since(query["prefix"], after);
        } else if (path == "/kv-txn") {
            return change(request.body, status);
        } else {
            status = 404;
        }
        json["store_revision"] = m_revision;
        return json;
    }

    Json::Value since(const std::string& prefix, int revision) const
    {
        Json::Value result(Json::arrayValue);
        for (const auto& [key, entry] : m_items) {
            if (key.compare(0, prefix.size(), prefix) == 0 && entry.revision > revision) {
                result.append(itemOf(key));
            }
        }
        return result;
    }

    Json::Value change(const std::string& body, int& status)
    {
        Json::Value call;
        std::istringstream(body) >> call;
        Json::Value json(Json::objectValue);
        for (const auto& row : call["precondition"]) {
            auto found = m_items.find(row["key"].asString());
            if ((found == m_items.end() ? 0 : found->second.revision) != row["revision"].asInt()) {
                status = 412;
            }
        }
        if (status == 412) {
            json["items"] = Json::Value(Json::arrayValue);
            for (const auto& row : call["precondition"]) {
                if (m_items.count(row["key"].asString()) != 0) {
                    json["items"].append(itemOf(row["key"].asString()));
                }
            }
            return json;
        }
        for (const auto& row : call["puts"]) {
            putLocked(row["key"].asString(), fromBase64(row["value"].asString()));
        }
        for (const auto& key : call["remove"]) {
            m_items.erase(key.asString());
        }
        json["revision"] = m_revision;
        return json;
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, item> m_items;
    std::map<std::string, steady::time_point> m_waits;
    std::set<std::string> m_turnedAway;
    int m_revision = 1;
    bool m_ending = false;
    listener m_listener;
};

struct planned_route {
    std::string name;
    std::string prefix;
    std::string service;
    std::string kind = "idempotent";
    double timeout = 2.5;
};

constexpr const char* host = "guests.example";

// A configuration as the operator writes it.
inline std::string configuration(int version, const std::vector<planned_route>& routes, const std::vector<std::string>& services)
{
    Json::Value root;
    root["version"] = "r" + std::to_string(version);
    root["base_version"] = "r" + std::to_string(version - 1);
    for (const auto& each : routes) {
        Json::Value entry;
        entry["type"] = "routes";
        entry["metadata"]["name"] = each.name;
        auto& spec = entry["spec"];
        spec["host"] = host;
        spec["prefix"] = each.prefix;
        spec["kind"] = each.kind;
        spec["timeout_s"] = each.timeout;
        spec["target_latency_s"] = 1.2;
        spec["priority"] = 2;
        spec["service"] = each.service;
        spec["max_attempts"] = 2;
        root["resources"].append(entry);
    }
    for (const auto& each : services) {
        Json::Value entry;
        entry["type"] = "services";
        entry["metadata"]["name"] = each;
        entry["spec"]["health_check_path"] = "/health";
        entry["spec"]["max_connections"] = 934;
        entry["spec"]["protocol"] = "h1";
        entry["spec"]["tls"] = false;
        root["resources"].append(entry);
    }
    Json::Value limits;
    limits["type"] = "limits";
    limits["metadata"] = Json::Value(Json::objectValue);
    limits["spec"]["max_header_bytes"] = 16384;
    limits["spec"]["max_body_bytes"] = 67108864;
    limits["spec"]["header_timeout_s"] = 3;
    limits["spec"]["idle_timeout_s"] = 15;
    root["resources"].append(limits);
    return jsonText(root);
}

constexpr int serverPort = 8301;
constexpr int inboundPort = 8300;
constexpr int readyPort = 8302;
constexpr int outboundPort = 8304;
constexpr int controlPort = 8306;
constexpr int storePort = 8309;
constexpr int firstInternalPort = 7620;
constexpr int lastInternalPort = 7635;

// A machine: its address, its application server and its node.
class machine {
public:
    machine(std::string ip, std::string zone, std::string service, recorder& record)
        : ip(std::move(ip))
        , zone(std::move(zone))
        , service(std::move(service))
        , instance("i-" + std::to_string(getpid()) + "-" + this->ip)
        , m_record(record)
        , m_server(this->ip, serverPort, [this](wire& connection, const std::string&) { serve(connection); })
    {
    }
    ~machine() { lose(); }

    bool startServer() { return m_server.start(); }

    // Starts the node with the command of the deploy file and its template filled in.
    void startNode(const std::string& folder, const std::string& storeAddress, const std::map<std::string, std::string>& more)
    {
        auto file = folder + "/" + ip + ".toml";
        std::ifstream input("deploy/node.toml");
        std::string text((std::istreambuf_iterator<char>(input)), std::istreambuf_iterator<char>());
        auto address = [this](int port) { return ip + ":" + std::to_string(port); };
        std::map<std::string, std::string> values {
            { "node_name", "sidecar-" + ip }, { "zone", zone }, { "region", "klang" }, { "provider.address", storeAddress }, { "ip", ip },
            { "listen.outbound", address(outboundPort) }, { "listen.control", address(controlPort) }, { "listen.ready", address(readyPort) },
            { "internal_ports.0", std::to_string(firstInternalPort) }, { "internal_ports.1", std::to_string(lastInternalPort) }, { "service", service },
            { "app_addr", address(serverPort) }, { "bounds.retry_budget_ratio", "0.2" }, { "bounds.budget_slack", "48" }, { "bounds.budget_window_s", "10" }, { "bounds.grace_s", "6" }
        };
        for (const auto& [name, value] : more) {
            values[name] = value;
        }
        text = std::regex_replace(text, std::regex(R"(\{\{#zones\}\}.*\{\{/zones\}\})"), values["zones"]);
        text = std::regex_replace(text, std::regex(R"(\{\{#bounds\.quota[^\n]*\n)"), "");
        for (const auto& [name, value] : values) {
            auto mark = "{{" + name + "}}";
            for (auto place = text.find(mark); place != std::string::npos; place = text.find(mark)) {
                text.replace(place, mark.size(), value);
            }
        }
        std::ofstream(file) << text;
        auto log = folder + "/" + ip + ".log";
        process = fork();
        if (process == 0) {
            // The node ends with the case, also if that is killed.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            dup2(output, 1);
            dup2(output, 2);
            execl("target/vanillashunt", "target/vanillashunt", "routed-node", file.c_str(), nullptr);
            _exit(127);
        }
    }

    // Sends heartbeats until the machine is lost.
    void startHeartbeats()
    {
        m_heartbeats = std::thread([this] {
            for (int sequence = 1; !m_lost; ++sequence) {
                report(instance, "ready", sequence);
                for (int i = 0; i < 15 && !m_lost; ++i) {
                    pause(0.1);
                }
            }
        });
    }

    bool isReady() const
    {
        auto connection = wire::connect(ip, readyPort);
        message answer;
        return connection && connection->send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n") && connection->read(answer) && answer.status() == 200;
    }

    // The machine is lost with what runs on it: its node and its server.
    void lose()
    {
        m_lost = true;
        if (process > 0) {
            kill(process, SIGKILL);
            waitpid(std::exchange(process, 0), nullptr, 0);
        }
        m_server.stop();
        if (m_heartbeats.joinable()) {
            m_heartbeats.join();
        }
    }

    // Sends one report of a server start; returns whether it was acknowledged.
    bool report(const std::string& start, const std::string& state, int sequence) const
    {
        auto connection = wire::connect(ip, controlPort);
        if (!connection) {
            return false;
        }
        Json::Value body;
        body["service"] = service;
        body["address"] = ip + ":" + std::to_string(serverPort);
        body["zone"] = zone;
        body["version"] = "v1";
        body["capacity"] = 139;
        body["state"] = state;
        body["warmup_left_s"] = 0;
        body["sequence"] = sequence;
        auto text = jsonText(body);
        message answer;
        return connection->send("POST /Instances.Heartbeat/" + start + " HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text) && connection->read(answer) && answer.status() == 200;
    }

    // Sends the deregistration of the server; returns whether it was acknowledged.
    bool deregister() const
    {
        auto connection = wire::connect(ip, controlPort);
        message answer;
        return connection && connection->send("POST /Instances.Deregister/" + instance + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n") && connection->read(answer) && answer.status() == 200;
    }

    // Kills the node alone; the server goes on.
    void killNode()
    {
        kill(process, SIGKILL);
        waitpid(std::exchange(process, 0), nullptr, 0);
    }

    // How often the server has run a request of this id.
    int runs(const std::string& requestId)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        return m_runs[requestId];
    }

    std::string ip;
    std::string zone;
    std::string service;
    std::string instance;
    pid_t process = 0;
    // Whether the server has reported that it is leaving; its health check tells so.
    std::atomic<bool> isLeaving { false };
    // Answers a request in a way of its own, and returns whether it did; empty for a sound server.
    std::function<bool(wire&, const std::string& head)> spoil;
    // How long a run takes.
    double workSeconds = 0.05;

private:
    void serve(wire& connection)
    {
        message request;
        while (connection.read(request)) {
            auto id = request.field("Vanillashunt-Request-Id");
            std::string head = "HTTP/1.1 200 OK\r\nVanillashunt-Request-Id: " + id + "\r\nVanillashunt-Instance-Id: " + instance + "\r\n";
            if (request.word(1) == "/health") {
                connection.send(isLeaving ? "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n" : head + "Content-Length: 0\r\n\r\n");
                continue;
            }
            if (request.field("Vanillashunt-Expect-Instance") != instance) {
                connection.send("HTTP/1.1 421 Misdirected Request\r\nVanillashunt-Instance-Id: " + instance + "\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            {
                std::lock_guard<std::mutex> lock(m_mutex);
                ++m_runs[id];
            }
            m_record.line("server " + instance + " (" + service + ") runs " + id + " " + request.first);
            pause(workSeconds);
            if (spoil && spoil(connection, head)) {
                return;
            }
            auto body = "answer of " + instance + " to " + id;
            if (!connection.send(head + "Vanillashunt-Server-Seal: seal." + instance + "." + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body)) {
                return;
            }
        }
    }

    recorder& m_record;
    std::atomic<bool> m_lost { false };
    std::mutex m_mutex;
    std::map<std::string, int> m_runs;
    listener m_server;
    std::thread m_heartbeats;
};

// One client request on a connection of its own; status 0 if it got no whole answer.
inline message ask(const std::string& ip, const std::string& path, const std::string& requestId, int deadlineMilliseconds)
{
    message answer;
    auto connection = wire::connect(ip, outboundPort);
    if (connection) {
        connection->setTimeout(deadlineMilliseconds / 1000.0);
        connection->send("GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\nVanillashunt-Request-Id: " + requestId + "\r\nVanillashunt-Deadline-Ms: " + std::to_string(deadlineMilliseconds) + "\r\n\r\n");
        if (!connection->read(answer)) {
            answer = {};
        }
    }
    return answer;
}

// Whether the port of the address is free.
inline bool isFree(const std::string& ip, int port)
{
    int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    bool result = ::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    ::close(socket);
    return result;
}

// The first three bytes of a block of loopback addresses where all ports of the case are free.
inline std::string freeBlock(int machines)
{
    for (int i = 0; i < 200; ++i) {
        auto block = "127." + std::to_string(20 + (getpid() + i) % 200) + "." + std::to_string(1 + (getpid() / 200) % 200) + ".";
        bool allFree = isFree(block + "250", storePort);
        for (int number = 1; number <= machines; ++number) {
            for (int port : { inboundPort, serverPort, readyPort, outboundPort, controlPort, firstInternalPort, lastInternalPort }) {
                allFree = allFree && isFree(block + std::to_string(number), port);
            }
        }
        if (allFree) {
            return block;
        }
    }
    return "";
}

// A temporary folder that is removed at the end.
struct temporary_folder {
    temporary_folder()
    {
        std::string pattern = std::filesystem::temp_directory_path() / "review-XXXXXX";
        path = mkdtemp(pattern.data());
    }
    ~temporary_folder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(path, ignored);
    }
    std::string path;
};

}
