#include "Measure/call_cost.h"

#include "Measure/process_usage.h"
#include "RoutedWorld/platform_world.h"
#include "RoutedWorld/routed_node.h"

#include "backend/instance_client.h"

#include <atomic>
#include <thread>

namespace vanillashunt {

namespace {

    // What a call of a deep service takes there, so that as many are in progress at once
    // as on a busy node: 4,000 calls a second hold 116 slots.
    constexpr std::chrono::milliseconds serviceTime { 29 };
    constexpr std::uint32_t slots = 512;

    constexpr std::chrono::seconds warmUp { 2 };
    constexpr std::chrono::seconds measured { 6 };
    constexpr std::chrono::milliseconds callPeriod { 1 };
    // Idle connections that the callers keep, as many as they use at once.
    constexpr std::size_t mostIdle = 1024;

    // Answers each request after the service time.
    class timed_server {
    public:
        timed_server()
        {
            m_server = std::make_unique<http_server>(m_loop.context, "127.0.0.1:0", http_server_limits {},
                [this](const http_request& request, const std::shared_ptr<http_exchange>& exchange) { called(request, exchange); });
        }

        ~timed_server()
        {
            m_loop.runAndWait([&] {
                m_server.reset();
            });
        }

        std::string address() const { return m_server->address(); }

    private:
        void called(const http_request& request, const std::shared_ptr<http_exchange>& exchange)
        {
            http_response response;
            response.status = 200;
            response.fields = { { "Vanillashunt-Request-Id", fieldValue(request.fields, "Vanillashunt-Request-Id") }, { "Vanillashunt-Server-Seal", "3e1b.07.5a2.600.0.c9f2a4d1" },
                { "Vanillashunt-Instance-Load", "3,0,8" }, { "Keep-Alive", "timeout=10" } };
            response.body = std::string(400, 'x');
            auto timer = std::make_shared<boost::asio::steady_timer>(m_loop.context, serviceTime);
            timer->async_wait([timer, exchange, response = std::move(response)](boost::system::error_code) { exchange->respond(response); });
        }

        context_thread m_loop;
        std::unique_ptr<http_server> m_server;
    };

    instance_client_settings callerSettings()
    {
        instance_client_settings settings;
        settings.maxIdle = mostIdle;
        settings.isAnswerTo = [](const http_response&, const std::string&) { return true; };
        return settings;
    }

    // Calls the node at an even rate over kept connections.
    class even_load {
    public:
        even_load(std::string address, double callsPerSecond)
            : m_address(std::move(address))
            , m_callsPerSecond(callsPerSecond)
        {
            boost::asio::post(m_loop.context, [this] { step(); });
        }

        ~even_load()
        {
            m_loop.runAndWait([&] {
                m_stopped = true;
                m_timer.cancel();
                m_client.reset();
            });
        }

        std::uint64_t answered() const { return m_answered; }
        std::uint64_t failed() const { return m_failed; }

    private:
        void step()
        {
            if (m_stopped) {
                return;
            }
            auto since = std::chrono::duration<double>(std::chrono::steady_clock::now() - m_started);
            while (static_cast<double>(m_sent) < since.count() * m_callsPerSecond) {
                call();
            }
            m_timer.expires_after(callPeriod);
            m_timer.async_wait([this](boost::system::error_code error) {
                if (!error) {
                    step();
                }
            });
        }

        void call()
        {
            http_request request;
            request.method = "GET";
            request.target = "/x/" + std::to_string(++m_sent);
            request.fields = { { "Host", "a.example" }, { "Vanillashunt-Request-Id", "9c41d07be2a3" + std::to_string(m_sent) },
                { "Vanillashunt-Deadline-Ms", "5000" }, { "Vanillashunt-Caller-Service", "forged" } };
            m_client->send(m_address, "", request, [this](const instance_result& result) {
                const auto* response = std::get_if<http_response>(&result);
                ++(response && response->status == 200 ? m_answered : m_failed);
            });
        }

        std::string m_address;
        double m_callsPerSecond;
        std::uint64_t m_sent = 0;
        std::atomic<std::uint64_t> m_answered = 0;
        std::atomic<std::uint64_t> m_failed = 0;
        bool m_stopped = false;
        std::chrono::steady_clock::time_point m_started = std::chrono::steady_clock::now();
        context_thread m_loop;
        boost::asio::steady_timer m_timer { m_loop.context };
        std::unique_ptr<instance_client> m_client = std::make_unique<instance_client>(m_loop.context, callerSettings());
    };

    // A node's log is read, as the platform does, or its pipe would fill.
    class log_reader {
    public:
        explicit log_reader(routed_node& node)
            : m_thread([this, &node] {
                while (!m_stopped) {
                    node.process->readLine(std::chrono::milliseconds(100));
                }
            })
        {
        }

        ~log_reader()
        {
            m_stopped = true;
            m_thread.join();
        }

    private:
        std::atomic<bool> m_stopped = false;
        std::thread m_thread;
    };

}

Json::Value measureCallCost(double callsPerSecond)
{
    platform_world world;
    timed_server server;
    world.configure(1, "stock");
    routed_node target({ "target", "stock", world.storeAddress(), server.address(), {} });
    target.report("ready", 1, "stock", "i-1", slots);
    routed_node entry({ "entry", "desk", world.storeAddress(), world.serverAddress(), { target.port("peer") } });
    if (entry.getUntil("200").substr(9, 3) != "200") {
        throw std::runtime_error("the nodes do not serve");
    }
    // A wait at this store is answered at once; nodes leave one that is down alone for a while.
    world.setStoreDown(true);
    log_reader targetLog(target);
    log_reader entryLog(entry);
    even_load load(entry.port("caller"), callsPerSecond);
    std::this_thread::sleep_for(warmUp);
    auto answeredBefore = load.answered();
    auto entryBefore = usageOf(entry.process->id());
    auto targetBefore = usageOf(target.process->id());
    std::this_thread::sleep_for(measured);
    auto calls = static_cast<double>(load.answered() - answeredBefore);
    auto entryAfter = usageOf(entry.process->id());
    auto targetAfter = usageOf(target.process->id());
    Json::Value report;
    report["scenario"] = "call-cost";
    report["calls_per_second"] = calls / std::chrono::duration<double>(measured).count();
    report["failed"] = Json::UInt64(load.failed());
    report["entry_us_per_call"] = (entryAfter.cpuSeconds - entryBefore.cpuSeconds) * 1e6 / calls;
    report["target_us_per_call"] = (targetAfter.cpuSeconds - targetBefore.cpuSeconds) * 1e6 / calls;
    report["entry_resident_mb"] = entryAfter.residentMegabytes;
    report["target_resident_mb"] = targetAfter.residentMegabytes;
    return report;
}

}
