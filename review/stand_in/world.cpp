#include "world.h"

#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>

namespace review {

namespace {

    using std::chrono::milliseconds;

    sockaddr_in socketAddress(const address& at)
    {
        sockaddr_in result {};
        result.sin_family = AF_INET;
        result.sin_port = htons(static_cast<std::uint16_t>(at.port));
        inet_pton(AF_INET, at.ip.c_str(), &result.sin_addr);
        return result;
    }

    int newSocket()
    {
        int file = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (file < 0) {
            throw cannot_run("no socket");
        }
        return file;
    }

    std::string base64(const std::string& bytes)
    {
        constexpr const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (std::size_t at = 0; at < bytes.size(); at += 3) {
            std::uint32_t group = 0;
            for (std::size_t next = 0; next < 3; ++next) {
                group = group << 8U | (at + next < bytes.size() ? static_cast<unsigned char>(bytes[at + next]) : 0U);
            }
            for (std::size_t next = 0; next < 4; ++next) {
                text += at + next <= bytes.size() ? digits[group >> (18U - 6U * next) & 63U] : '=';
            }
        }
        return text;
    }

    std::string queryValue(const std::string& target, const std::string& name)
    {
        auto place = target.find(name + "=", target.find('?'));
        if (place == std::string::npos) {
            return "";
        }
        place += name.size() + 1;
        auto raw = target.substr(place, target.find_first_of("& ", place) - place);
        std::string value;
        for (std::size_t at = 0; at < raw.size(); ++at) {
            if (raw[at] == '%' && at + 2 < raw.size()) {
                value += static_cast<char>(std::stoi(raw.substr(at + 1, 2), nullptr, 16));
                at += 2;
            } else {
                value += raw[at];
            }
        }
        return value;
    }

    // The text of a member of a flat JSON object, without its quotes.
    std::string member(const std::string& json, const std::string& name, std::size_t from = 0)
    {
        auto place = json.find('"' + name + "\":", from);
        if (place == std::string::npos) {
            return "";
        }
        place += name.size() + 3;
        if (json[place] == '"') {
            return json.substr(place + 1, json.find('"', place + 1) - place - 1);
        }
        return json.substr(place, json.find_first_of(",}]", place) - place);
    }

    // The text of a list of flat objects.
    std::string listOf(const std::string& json, const std::string& name)
    {
        auto place = json.find('"' + name + "\":[");
        return place == std::string::npos ? "" : json.substr(place, json.find(']', place) - place);
    }

    bool beginsWith(const std::string& text, const std::string& beginning)
    {
        return text.compare(0, beginning.size(), beginning) == 0;
    }

}

record_file::record_file(const std::string& path)
    : m_file(open(path.c_str(), O_CREAT | O_TRUNC | O_WRONLY | O_CLOEXEC, 0644))
{
    if (m_file < 0) {
        throw cannot_run("cannot write " + path);
    }
}

record_file::~record_file()
{
    close(m_file);
}

double record_file::seconds() const
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - m_start).count();
}

void record_file::line(const std::string& text)
{
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f ", seconds());
    auto whole = time + text + "\n";
    std::lock_guard<std::mutex> lock(m_mutex);
    if (write(m_file, whole.data(), whole.size()) < 0) {
        std::perror("record.txt");
    }
}

address freeAddress(const std::string& ip)
{
    int file = newSocket();
    auto name = socketAddress({ ip, 0 });
    socklen_t size = sizeof name;
    auto* generic = reinterpret_cast<sockaddr*>(&name);
    bool bound = bind(file, generic, size) == 0 && getsockname(file, generic, &size) == 0;
    close(file);
    if (!bound) {
        throw cannot_run("no free port at " + ip);
    }
    return { ip, ntohs(name.sin_port) };
}

int http_text::status() const
{
    auto space = first.find(' ');
    return space == std::string::npos ? 0 : std::atoi(first.c_str() + space);
}

std::string http_text::field(const std::string& lowerName) const
{
    auto found = fields.find(lowerName);
    return found == fields.end() ? "" : found->second;
}

connection::connection(int file)
    : m_file(file)
{
    int on = 1;
    setsockopt(m_file, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

connection::~connection()
{
    close(m_file);
}

std::unique_ptr<connection> connection::to(const address& target, milliseconds timeout)
{
    int file = newSocket();
    timeval limit { timeout.count() / 1000, static_cast<suseconds_t>(timeout.count() % 1000 * 1000) };
    setsockopt(file, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    auto name = socketAddress(target);
    if (connect(file, reinterpret_cast<sockaddr*>(&name), sizeof name) != 0) {
        close(file);
        return nullptr;
    }
    timeval longer { 20, 0 };
    setsockopt(file, SOL_SOCKET, SO_SNDTIMEO, &longer, sizeof longer);
    return std::make_unique<connection>(file);
}

bool connection::send(const std::string& bytes) const
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        auto count = ::send(m_file, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

void connection::shutdown() const
{
    ::shutdown(m_file, SHUT_RDWR);
}

bool connection::cut(http_text& message)
{
    auto end = m_received.find("\r\n\r\n");
    if (end == std::string::npos) {
        return false;
    }
    http_text read;
    auto lineEnd = m_received.find("\r\n");
    read.first = m_received.substr(0, lineEnd);
    while (lineEnd < end) {
        auto begin = lineEnd + 2;
        lineEnd = m_received.find("\r\n", begin);
        auto colon = m_received.find(':', begin);
        auto name = m_received.substr(begin, colon - begin);
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
        auto value = m_received.find_first_not_of(' ', colon + 1);
        read.fields[name] = m_received.substr(value, lineEnd - value);
    }
    auto length = static_cast<std::size_t>(std::atoll(read.field("content-length").c_str()));
    if (m_received.size() < end + 4 + length) {
        return false;
    }
    read.body = m_received.substr(end + 4, length);
    m_received.erase(0, end + 4 + length);
    message = std::move(read);
    return true;
}

read_result connection::read(http_text& message, milliseconds timeout)
{
    auto until = std::chrono::steady_clock::now() + timeout;
    std::vector<char> bytes(1U << 20U);
    while (!cut(message)) {
        auto left = std::chrono::duration_cast<milliseconds>(until - std::chrono::steady_clock::now()).count();
        pollfd waits { m_file, POLLIN, 0 };
        if (left <= 0 || poll(&waits, 1, static_cast<int>(left)) == 0) {
            return read_result::TimedOut;
        }
        auto count = recv(m_file, bytes.data(), bytes.size(), 0);
        if (count == 0) {
            return read_result::Closed;
        }
        if (count < 0) {
            return read_result::Reset;
        }
        m_received.append(bytes.data(), static_cast<std::size_t>(count));
    }
    return read_result::Message;
}

std::string httpAnswer(int status, const std::string& fields, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Answer\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

listener::listener(const address& at, handler serve)
    : m_file(newSocket())
    , m_serve(std::move(serve))
{
    int on = 1;
    setsockopt(m_file, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto name = socketAddress(at);
    if (bind(m_file, reinterpret_cast<sockaddr*>(&name), sizeof name) != 0 || listen(m_file, 512) != 0) {
        close(m_file);
        throw cannot_run("cannot listen at " + at.text());
    }
    m_accepting = std::thread([this] { accept(); });
}

void listener::accept()
{
    while (!m_ends) {
        pollfd waits { m_file, POLLIN, 0 };
        if (poll(&waits, 1, 50) <= 0) {
            continue;
        }
        int file = accept4(m_file, nullptr, nullptr, SOCK_CLOEXEC);
        if (file < 0) {
            continue;
        }
        auto open = std::make_shared<connection>(file);
        std::lock_guard<std::mutex> lock(m_mutex);
        m_open.push_back(open);
        m_threads.emplace_back([this, open] {
            m_serve(*open);
            open->shutdown();
        });
    }
}

listener::~listener()
{
    m_ends = true;
    m_accepting.join();
    close(m_file);
    for (auto& open : m_open) {
        open->shutdown();
    }
    for (auto& thread : m_threads) {
        thread.join();
    }
}

store::store(const address& at)
    : m_at(at)
{
    m_listener = std::make_unique<listener>(at, [this](connection& open) { serve(open); });
}

void store::put(const std::string& key, const std::string& value)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    auto& entry = m_items[key];
    entry.value = base64(value);
    entry.revision = ++m_revision;
    entry.created = entry.created == 0 ? m_revision : entry.created;
}

void store::serve(connection& open)
{
    http_text request;
    while (open.read(request, std::chrono::minutes(5)) == read_result::Message) {
        if (!open.send(answer(request))) {
            return;
        }
    }
}

std::string store::itemText(const std::string& key) const
{
    const auto& entry = m_items.at(key);
    return R"({"key":")" + key + R"(","value":")" + entry.value + R"(","revision":)" + std::to_string(entry.revision) + R"(,"create_rev":)" + std::to_string(entry.created) + R"(,"lease":0})";
}

std::string store::answer(const http_text& request)
{
    constexpr const char* json = "Content-Type: application/json\r\n";
    auto target = request.first.substr(request.first.find(' ') + 1);
    if (beginsWith(target, "/kv-watch")) {
        return httpAnswer(200, json, watch(target));
    }
    std::lock_guard<std::mutex> lock(m_mutex);
    auto revision = R"("store_revision":)" + std::to_string(m_revision);
    if (beginsWith(target, "/kv-key")) {
        auto key = queryValue(target, "key");
        if (m_items.count(key) == 0) {
            return httpAnswer(404, json, "{" + revision + "}");
        }
        auto text = itemText(key);
        text.back() = ',';
        return httpAnswer(200, json, text + revision + "}");
    }
    if (beginsWith(target, "/kv-range")) {
        std::string items;
        for (const auto& [key, entry] : m_items) {
            if (beginsWith(key, queryValue(target, "prefix"))) {
                items += (items.empty() ? "" : ",") + itemText(key);
            }
        }
        return httpAnswer(200, json, R"({"items":[)" + items + R"(],"more_pages":false,)" + revision + "}");
    }
    if (beginsWith(target, "/kv-txn")) {
        auto body = change(request.body);
        return httpAnswer(beginsWith(body, R"({"items")") ? 412 : 200, json, body);
    }
    return httpAnswer(503, json, "{}");
}

// The nodes change one key under a condition on that key.
std::string store::change(const std::string& body)
{
    auto conditions = listOf(body, "precondition");
    auto key = member(conditions, "key");
    auto found = m_items.find(key);
    auto revision = found == m_items.end() ? 0 : found->second.revision;
    if (!key.empty() && revision != std::atoll(member(conditions, "revision").c_str())) {
        return R"({"items":[)" + (found == m_items.end() ? "" : itemText(key)) + "]}";
    }
    auto puts = listOf(body, "puts");
    auto& entry = m_items[member(puts, "key")];
    entry.value = member(puts, "value");
    entry.revision = ++m_revision;
    entry.created = entry.created == 0 ? m_revision : entry.created;
    return R"({"revision":)" + std::to_string(m_revision) + "}";
}

std::string store::watch(const std::string& target)
{
    auto prefix = queryValue(target, "prefix");
    auto after = std::atoll(queryValue(target, "after").c_str());
    auto until = std::chrono::steady_clock::now() + milliseconds(std::atoi(queryValue(target, "wait_ms").c_str()));
    while (true) {
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            std::string events;
            for (const auto& [key, entry] : m_items) {
                if (beginsWith(key, prefix) && entry.revision > after) {
                    events += (events.empty() ? "" : ",") + itemText(key);
                }
            }
            if (!events.empty() || std::chrono::steady_clock::now() >= until) {
                return R"({"events":[)" + events + R"(],"store_revision":)" + std::to_string(m_revision) + "}";
            }
        }
        pause(milliseconds(10));
    }
}

app_server::app_server(record_file& record, const address& at, const address& control, std::string service, std::string zone, std::string instance, int capacity)
    : m_record(record)
    , m_at(at)
    , m_control(control)
    , m_service(std::move(service))
    , m_zone(std::move(zone))
    , m_instance(std::move(instance))
    , m_capacity(capacity)
{
    m_listener = std::make_unique<listener>(at, [this](connection& open) { serve(open); });
}

app_server::~app_server()
{
    stopHeartbeats();
    exit();
}

void app_server::exit()
{
    m_listener.reset();
}

void app_server::serve(connection& open)
{
    http_text request;
    while (open.read(request, std::chrono::seconds(10)) == read_result::Message) {
        auto id = request.field("vanillashunt-request-id");
        auto echo = "Vanillashunt-Request-Id: " + id + "\r\n";
        auto load = "Vanillashunt-Instance-Load: " + std::to_string(m_running) + ",0," + std::to_string(m_capacity) + "\r\n";
        if (beginsWith(request.first, "GET /health ")) {
            m_record.line("server " + m_instance + " health check answered " + (m_leaving ? "503" : "200"));
            open.send(httpAnswer(m_leaving ? 503 : 200, "Vanillashunt-Instance-Id: " + m_instance + "\r\n" + load, ""));
            continue;
        }
        if (request.field("vanillashunt-expect-instance") != m_instance) {
            open.send(httpAnswer(421, echo + "Vanillashunt-Instance-Id: " + m_instance + "\r\n", ""));
            continue;
        }
        if (++m_running > m_capacity) {
            --m_running;
            open.send(httpAnswer(503, echo + "Vanillashunt-Not-Executed: 1\r\n", ""));
            continue;
        }
        std::size_t place = 0;
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            place = m_runs.size();
            m_runs.push_back({ id, m_record.seconds(), false });
        }
        m_record.line("server " + m_instance + " runs " + id);
        pause(milliseconds(m_workMilliseconds));
        --m_running;
        auto body = "done " + id + " with " + std::to_string(request.body.size()) + " bytes\n";
        echo.append(load).append("Keep-Alive: timeout=10\r\nVanillashunt-Server-Seal: seal-").append(m_instance).append("-").append(id).append("\r\n");
        bool sent = open.send(httpAnswer(200, echo, body));
        std::lock_guard<std::mutex> lock(m_mutex);
        m_runs[place].answered = sent;
    }
}

std::vector<run_note> app_server::runs()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_runs;
}

std::string app_server::nextHeartbeat()
{
    return R"({"service":")" + m_service + R"(","address":")" + m_at.text() + R"(","zone":")" + m_zone + R"(","version":"v1","capacity":)" + std::to_string(m_capacity)
        + R"(,"state":"ready","warmup_left_s":0,"sequence":)" + std::to_string(++m_sequence) + "}";
}

bool app_server::post(const std::string& path, const std::string& body)
{
    auto open = connection::to(m_control);
    http_text answer;
    auto text = "POST " + path + " HTTP/1.1\r\nHost: " + m_control.text() + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    return open && open->send(text) && open->read(answer, std::chrono::seconds(1)) == read_result::Message && answer.status() == 200;
}

bool app_server::sendHeartbeat(const std::string& body)
{
    return post("/Instances.Heartbeat/" + m_instance, body);
}

bool app_server::deregister()
{
    return post("/Instances.Deregister/" + m_instance, "");
}

void app_server::startHeartbeats()
{
    m_beats = true;
    m_beating = std::thread([this] {
        int left = 0;
        while (m_beats) {
            if (left <= 0) {
                // One that is not acknowledged is sent again soon: the node may be starting.
                left = sendHeartbeat(nextHeartbeat()) ? 1500 : 300;
            }
            pause(milliseconds(20));
            left -= 20;
        }
    });
}

void app_server::stopHeartbeats()
{
    m_beats = false;
    if (m_beating.joinable()) {
        m_beating.join();
    }
}

machine::machine(record_file& record, std::string name, const std::string& ip, std::string zone, std::string service, const address& storeAddress, const std::vector<std::string>& zones)
    : m_record(record)
    , m_name(std::move(name))
    , m_ip(ip)
    , m_zone(std::move(zone))
    , m_service(std::move(service))
    , m_store(storeAddress)
    , m_outbound(freeAddress(ip))
    , m_control(freeAddress(ip))
    , m_ready(freeAddress(ip))
    , m_peer(freeAddress(ip))
    , m_operators(freeAddress(ip))
    , m_application(freeAddress(ip))
{
    const char* folder = std::getenv("CASE_FOLDER");
    if (folder == nullptr) {
        throw cannot_run("CASE_FOLDER is not set");
    }
    m_settingsPath = std::string(folder) + "/" + m_name + ".toml";
    std::string zoneList;
    for (const auto& each : zones) {
        zoneList.append(zoneList.empty() ? "\"" : ",\"").append(each).append("\"");
    }
    // deploy/node.toml, filled in as the platform does.
    std::ofstream(m_settingsPath) << "[node]\nname = \"" << m_name << "\"\navailability_zone = \"" << m_zone << "\"\nregion = \"klang\"\nmesh = \"" << m_store.text() << "\"\noutgoing_address = \"" << m_ip
                                  << "\"\n\n[caller]\nlisten = \"" << m_outbound.text() << "\"\n\n[backend]\nlisten = \"" << m_control.text() << "\"\n\n[peer]\nlisten = \"" << m_peer.text()
                                  << "\"\n\n[operators]\nlisten = \"" << m_operators.text() << "\"\n\n[platform]\nendpoints = [\"" << m_store.text() << "\"]\n\n[limits]\nmax_body = \"64MiB\"\n\n[routes]\nservice = \"" << m_service
                                  << "\"\nserver = \"" << m_application.text() << "\"\nready_listen = \"" << m_ready.text()
                                  << "\"\nretry_ratio = 0.2\nretry_slack = 48\nretry_window_seconds = 10\ngrace_seconds = 6\nzones = [" << zoneList << "]\n";
}

machine::~machine()
{
    kill(SIGKILL);
}

void machine::start()
{
    auto log = m_settingsPath + ".log";
    std::lock_guard<std::mutex> lock(m_mutex);
    m_process = fork();
    if (m_process == 0) {
        int output = open(log.c_str(), O_CREAT | O_APPEND | O_WRONLY, 0644);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        setenv("VANILLASHUNT_CONFIG", m_settingsPath.c_str(), 1);
        execl("target/vanillashunt", "target/vanillashunt", "routed-node", static_cast<char*>(nullptr));
        _exit(127);
    }
    m_record.line("machine " + m_name + " starts its node");
}

void machine::kill(int signal)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    if (m_process <= 0) {
        return;
    }
    ::kill(m_process, signal);
    if (signal == SIGKILL) {
        waitpid(m_process, nullptr, 0);
        m_process = -1;
    }
}

bool machine::running()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    if (m_process > 0 && waitpid(m_process, nullptr, WNOHANG) == m_process) {
        m_process = -1;
        m_record.line("machine " + m_name + ": its node ended by itself");
    }
    return m_process > 0;
}

bool machine::ready() const
{
    auto open = connection::to(m_ready);
    http_text answer;
    return open && open->send("GET /ready HTTP/1.1\r\nHost: " + m_ready.text() + "\r\n\r\n") && open->read(answer, std::chrono::seconds(1)) == read_result::Message && answer.status() == 200;
}

void machine::waitUntilReady() const
{
    for (int tries = 0; tries < 100; ++tries) {
        if (ready()) {
            return;
        }
        pause(milliseconds(100));
    }
    throw cannot_run(m_name + " does not become ready");
}

std::uint64_t machine::memory() const
{
    std::ifstream status("/proc/" + std::to_string(m_process) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (beginsWith(line, "VmRSS:")) {
            return std::strtoull(line.c_str() + 6, nullptr, 10) * 1024;
        }
    }
    return 0;
}

std::string configuration(int version, const std::vector<route_text>& routes, const std::vector<std::string>& services)
{
    std::string resources;
    for (const auto& route : routes) {
        resources += R"({"type":"routes","metadata":{"name":")" + route.name + R"("},"spec":{"host":")" + routeHost + R"(","prefix":")" + route.prefix + R"(","kind":")" + route.kind
            + R"(","timeout_s":)" + std::to_string(route.timeoutSeconds) + R"(,"target_latency_s":1.5,"priority":)" + std::to_string(route.priority) + R"(,"service":")" + route.service + R"(","max_attempts":2}},)";
    }
    for (const auto& service : services) {
        resources += R"({"type":"services","metadata":{"name":")" + service + R"("},"spec":{"health_check_path":"/health","max_connections":934,"protocol":"h1","tls":false}},)";
    }
    resources += R"({"type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}})";
    return R"({"version":"r)" + std::to_string(version) + R"(","resources":[)" + resources + "]}";
}

std::string requestText(const std::string& method, const std::string& path, const std::string& id, int deadlineMilliseconds, const std::string& body)
{
    auto text = method + " " + path + " HTTP/1.1\r\nHost: " + routeHost + "\r\nVanillashunt-Request-Id: " + id + "\r\nVanillashunt-Deadline-Ms: " + std::to_string(deadlineMilliseconds) + "\r\n";
    if (method != "GET") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

std::string newRequestId()
{
    static std::mutex mutex;
    static std::mt19937_64 random { std::random_device {}() };
    std::lock_guard<std::mutex> lock(mutex);
    char text[32];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
    return text;
}

void pause(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

bool withTrouble()
{
    const char* trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::strcmp(trouble, "0") != 0;
}

int runCase(const std::function<bool(record_file&)>& body)
{
    constexpr int ruleHeld = 0;
    constexpr int ruleBroken = 1;
    constexpr int couldNotRun = 2;
    std::signal(SIGPIPE, SIG_IGN);
    const char* path = std::getenv("RECORD");
    try {
        record_file record(path == nullptr ? "record.txt" : path);
        record.line(withTrouble() ? "with the disruption" : "without the disruption");
        bool broken = body(record);
        record.line(broken ? "verdict: the rule was broken" : "verdict: the rule held");
        std::cout << (broken ? "the rule was broken" : "the rule held") << std::endl;
        return broken ? ruleBroken : ruleHeld;
    } catch (const std::exception& error) {
        std::cerr << "the case could not run: " << error.what() << std::endl;
        return couldNotRun;
    }
}

}
