#include "BrokenAnswers/broken_server.h"
#include "backend/backend_health_monitor.h"
#include "operator/peer_rpc.h"

#include <gtest/gtest.h>

#include <future>

namespace vanillashunt {

namespace {

    constexpr std::chrono::seconds longest { 30 };
    // More than the sockets of both sides hold, so that the call is still being written when the answer comes.
    constexpr std::size_t largeBytes = std::size_t { 16 } * 1024 * 1024;

    // What a call to an operator port with a large parameter brings if the port answers so.
    operator_result resultOfCall(const broken_answer& answer)
    {
        broken_server server(answer);
        context_thread loop;
        std::unique_ptr<http_client> client;
        std::unique_ptr<peer_rpc> rpc;
        std::promise<operator_result> result;
        Json::Value parameters;
        parameters["document"] = std::string(largeBytes, 'd');
        loop.runAndWait([&] {
            client = std::make_unique<http_client>(loop.context, http_client_settings {});
            rpc = std::make_unique<peer_rpc>(*client);
            rpc->call(server.address(), "change", parameters, longest, [&](operator_result value) { result.set_value(std::move(value)); });
        });
        auto ended = result.get_future().get();
        loop.runAndWait([&] { client.reset(); });
        return ended;
    }

    // A monitor of a server with a health check.
    struct monitored_server {
        monitored_server()
        {
            loop.runAndWait([&] {
                client = std::make_unique<backend_client>(loop.context, http_client_settings {});
                monitor = std::make_unique<backend_health_monitor>(loop.context, *client, [](bool) {});
                backend_announcement announcement;
                announcement.service = "desk";
                announcement.address = server.address();
                announcement.healthPath = "/health";
                monitor->setBackend(announcement);
            });
        }

        ~monitored_server()
        {
            loop.runAndWait([this] {
                monitor.reset();
                client.reset();
            });
        }

        monitored_server(const monitored_server&) = delete;
        monitored_server& operator=(const monitored_server&) = delete;

        bool isHealthy()
        {
            bool result = false;
            loop.runAndWait([&] { result = monitor->isHealthy(); });
            return result;
        }

        // Answers health checks so until it is seen to be healthy, or not.
        void answerUntil(const broken_answer& answer, bool healthy)
        {
            server.setAnswer(answer);
            while (isHealthy() != healthy) {
                std::this_thread::sleep_for(std::chrono::milliseconds(20));
            }
        }

        broken_server server;
        context_thread loop;
        std::unique_ptr<backend_client> client;
        std::unique_ptr<backend_health_monitor> monitor;
    };

}

// Guards against a call that is reported as refused, while it may have been executed, by a part of its answer.
TEST(BrokenAnswersToControlCalls, LeaveAnOperatorsCallUnknown)
{
    for (const char* part : { "", "{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":", "{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":7}" }) {
        auto result = resultOfCall({ std::string("HTTP/1.1 200 OK\r\n\r\n") + part, connection_end::Reset, answer_time::BeforeBody });
        const auto* error = std::get_if<operator_error>(&result);
        ASSERT_NE(error, nullptr) << part;
        EXPECT_EQ(error->kind, operator_failure::Lost) << part;
    }
    auto sound = resultOfCall({ "HTTP/1.1 200 OK\r\n\r\n{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":7}", connection_end::ClosedThenReset, answer_time::BeforeBody });
    ASSERT_TRUE(std::holds_alternative<Json::Value>(sound));
    EXPECT_EQ(std::get<Json::Value>(sound), Json::Value(7));
}

// Guards against a server that counts as healthy by an answer that is none, or as unhealthy by an informational one.
TEST(BrokenAnswersToControlCalls, DecideNoHealthCheck)
{
    const std::string sound = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    monitored_server server;
    server.answerUntil({ "HTTP/1.1 000 x\r\nContent-Length: 0\r\n\r\n" + sound }, false);
    server.answerUntil({ "HTTP/1.1 103 Early Hints\r\n\r\n" + sound }, true);
    server.answerUntil({ "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ncut" }, false);
    server.answerUntil({ sound }, true);
    server.answerUntil({ "HTTP/1.1 200 OK\r\nContent-Le" }, false);
}

}
