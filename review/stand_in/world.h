// Stand-ins for the cases of this review: the platform's store, application servers, clients
// and the machine that starts and ends the project's processes. Each follows the users' pages;
// where a page is silent it does what a sound program does.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

using steady_time = std::chrono::steady_clock::time_point;

// A case that cannot run ends with this.
class cannot_run : public std::exception {
public:
    explicit cannot_run(std::string text)
        : m_text(std::move(text))
    {
    }
    const char* what() const noexcept override { return m_text.c_str(); }

private:
    std::string m_text;
};

// Writes record.txt: one line for each thing sent, answered, run or done.
class record_file {
public:
    explicit record_file(const std::string& path);
    ~record_file();
    record_file(const record_file&) = delete;
    record_file& operator=(const record_file&) = delete;
    void line(const std::string& text);
    double seconds() const;

private:
    std::mutex m_mutex;
    steady_time m_start = std::chrono::steady_clock::now();
    int m_file = -1;
};

struct address {
    std::string ip;
    int port = 0;
    std::string text() const { return ip + ":" + std::to_string(port); }
};

// A port that is free now.
address freeAddress(const std::string& ip);

struct http_text {
    std::string first;
    std::map<std::string, std::string> fields;
    std::string body;
    int status() const;
    std::string field(const std::string& lowerName) const;
};

enum class read_result { Message,
    Closed,
    Reset,
    TimedOut };

// One TCP connection with blocking calls.
class connection {
public:
    explicit connection(int file);
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    // Returns null if nobody listens there.
    static std::unique_ptr<connection> to(const address& target, std::chrono::milliseconds timeout = std::chrono::seconds(1));

    bool send(const std::string& bytes) const;
    read_result read(http_text& message, std::chrono::milliseconds timeout);
    void shutdown() const;

private:
    bool cut(http_text& message);

    int m_file;
    std::string m_received;
};

std::string httpAnswer(int status, const std::string& fields, const std::string& body);

// Accepts connections and runs the handler for each on a thread of its own.
class listener {
public:
    using handler = std::function<void(connection&)>;

    listener(const address& at, handler serve);
    ~listener();
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;

private:
    void accept();

    int m_file = -1;
    handler m_serve;
    std::atomic<bool> m_ends { false };
    std::mutex m_mutex;
    std::vector<std::shared_ptr<connection>> m_open;
    std::vector<std::thread> m_threads;
    std::thread m_accepting;
};

// The platform's store with as much of its interface as the nodes use. Linearizable.
class store {
public:
    explicit store(const address& at);

    address at() const { return m_at; }
    void put(const std::string& key, const std::string& value);

private:
    struct item {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t created = 0;
    };

    void serve(connection&);
    std::string answer(const http_text& request);
    std::string itemText(const std::string& key) const;
    std::string change(const std::string& body);
    std::string watch(const std::string& target);

    address m_at;
    std::mutex m_mutex;
    // Values are kept as they travel, in base64.
    std::map<std::string, item> m_items;
    std::int64_t m_revision = 1;
    std::unique_ptr<listener> m_listener;
};

// One run of a request at a server.
struct run_note {
    std::string requestId;
    double started = 0;
    bool answered = false;
};

// One application server: runs a request only if it names this instance, and answers it with its
// seal. Sends heartbeats to the node beside it until it leaves.
class app_server {
public:
    app_server(record_file& record, const address& at, const address& control, std::string service, std::string zone, std::string instance, int capacity);
    ~app_server();
    app_server(const app_server&) = delete;
    app_server& operator=(const app_server&) = delete;

    void setWork(std::chrono::milliseconds work) { m_workMilliseconds = static_cast<int>(work.count()); }
    const std::string& service() const { return m_service; }
    const std::string& instance() const { return m_instance; }

    void startHeartbeats();
    void stopHeartbeats();
    // The body of a heartbeat with the next sequence number; it counts as sent now.
    std::string nextHeartbeat();
    // Whether the node acknowledged it.
    bool sendHeartbeat(const std::string& body);
    bool deregister();
    // From now on the health check says that it leaves.
    void leave() { m_leaving = true; }
    // The process ends: its connections close, with whatever runs.
    void exit();

    std::vector<run_note> runs();

private:
    void serve(connection&);
    bool post(const std::string& path, const std::string& body);

    record_file& m_record;
    address m_at;
    address m_control;
    std::string m_service;
    std::string m_zone;
    std::string m_instance;
    int m_capacity;
    std::atomic<int> m_workMilliseconds { 100 };
    std::atomic<int> m_running { 0 };
    std::atomic<int> m_sequence { 0 };
    std::atomic<bool> m_leaving { false };
    std::atomic<bool> m_beats { false };
    std::thread m_beating;
    std::mutex m_mutex;
    std::vector<run_note> m_runs;
    std::unique_ptr<listener> m_listener;
};

// One machine: its addresses, and the node process on it, started with the command and the
// settings of the deploy file.
class machine {
public:
    machine(record_file& record, std::string name, const std::string& ip, std::string zone, std::string service, const address& storeAddress, const std::vector<std::string>& zones);
    ~machine();
    machine(const machine&) = delete;
    machine& operator=(const machine&) = delete;

    void start();
    // Sends the signal and, if it ends the process, waits for that.
    void kill(int signal);
    bool running();
    bool ready() const;
    void waitUntilReady() const;
    // Bytes in memory now; 0 if the process does not run.
    std::uint64_t memory() const;

    const std::string& name() const { return m_name; }
    const std::string& zone() const { return m_zone; }
    address outbound() const { return m_outbound; }
    address control() const { return m_control; }
    address application() const { return m_application; }

private:
    record_file& m_record;
    std::string m_name;
    std::string m_ip;
    std::string m_zone;
    std::string m_service;
    address m_store;
    address m_outbound;
    address m_control;
    address m_ready;
    address m_peer;
    address m_operators;
    address m_application;
    std::string m_settingsPath;
    std::mutex m_mutex;
    pid_t m_process = -1;
};

struct route_text {
    std::string name;
    std::string prefix;
    std::string kind;
    std::string service;
    double timeoutSeconds = 5;
    int priority = 2;
};

constexpr const char* routeHost = "hulo84.example";

// A configuration as the operator writes it, with the limits that `fleetbench wire` shows.
std::string configuration(int version, const std::vector<route_text>& routes, const std::vector<std::string>& services);

// Text of one client request, with a length if it has a body.
std::string requestText(const std::string& method, const std::string& path, const std::string& id, int deadlineMilliseconds, const std::string& body = "");

// A new id, as clients make them.
std::string newRequestId();

void pause(std::chrono::milliseconds time);

// Whether the environment asks for the disruption; TROUBLE=0 asks for none.
bool withTrouble();

// Runs the case: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
int runCase(const std::function<bool(record_file&)>& body);

}
