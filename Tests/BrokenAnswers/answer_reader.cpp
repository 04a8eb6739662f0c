#include "BrokenAnswers/answer_reader.h"

#include "RawSocket/raw_socket.h"
#include "backend/instance_client.h"
#include "http/http_client.h"

#include <future>

namespace vanillashunt {

namespace {

    constexpr std::chrono::seconds longest { 30 };

    read_answer wholeAnswer(const http_response& response)
    {
        return { true, false, response.status, response.fields, std::string(response.body.text()) };
    }

    template <typename Failure>
    read_answer toReadAnswer(const std::variant<http_response, Failure>& result)
    {
        if (const auto* failure = std::get_if<Failure>(&result)) {
            read_answer answer;
            answer.mayHaveRun = failure->sent;
            return answer;
        }
        return wholeAnswer(std::get<http_response>(result));
    }

    // Runs a client on a thread of its own.
    template <typename Client, typename Result>
    class client_reader : public answer_reader {
    public:
        using send_function = std::function<void(Client&, const std::string& address, const http_request&, std::function<void(Result)>)>;

        template <typename Settings>
        client_reader(const Settings& settings, send_function send)
            : m_send(std::move(send))
        {
            m_loop.runAndWait([&] { m_client = std::make_unique<Client>(m_loop.context, settings); });
        }

        ~client_reader() override
        {
            m_loop.runAndWait([this] { m_client.reset(); });
        }

        client_reader(const client_reader&) = delete;
        client_reader& operator=(const client_reader&) = delete;

        read_answer send(const std::string& address, const http_request& request) override
        {
            auto result = std::make_shared<std::promise<Result>>();
            m_loop.runAndWait([&] {
                m_send(*m_client, address, request, [result](Result value) { result->set_value(std::move(value)); });
            });
            return toReadAnswer(result->get_future().get());
        }

        read_answer sendInTurn(const std::string& address, const http_request& first, const http_request& second) override
        {
            auto result = std::make_shared<std::promise<Result>>();
            m_loop.runAndWait([&] {
                m_send(*m_client, address, first, [this, address, second, result](const Result&) {
                    m_send(*m_client, address, second, [result](Result value) { result->set_value(std::move(value)); });
                });
            });
            return toReadAnswer(result->get_future().get());
        }

    private:
        send_function m_send;
        context_thread m_loop;
        std::unique_ptr<Client> m_client;
    };

}

std::unique_ptr<answer_reader> makeInstanceReader()
{
    instance_client_settings settings;
    settings.isAnswerTo = [](const http_response&, const std::string&) { return true; };
    auto send = [](instance_client& client, const std::string& address, const http_request& request, const std::function<void(instance_result)>& handler) {
        client.send(address, "r", request, handler);
    };
    return std::make_unique<client_reader<instance_client, instance_result>>(settings, send);
}

std::unique_ptr<answer_reader> makeHttpReader()
{
    auto send = [](http_client& client, const std::string& address, const http_request& request, const std::function<void(http_result)>& handler) {
        client.send(address, request, longest, handler);
    };
    return std::make_unique<client_reader<http_client, http_result>>(http_client_settings {}, send);
}

}
