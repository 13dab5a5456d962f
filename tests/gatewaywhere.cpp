#include <atomic>
#include <condition_variable>
#include <filesystem>
#include <fstream>
#include <future>
#include <iostream>
#include <mutex>
#include <sstream>

#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <unistd.h>

#include "gatewayfixture.h"
#include "where.h"

using namespace plantainswitch;
using namespace plantainswitch::gateway;

namespace {

using nlohmann::json;

/// Captures what is written to a stream.
class Captured
{
public:
    explicit Captured(std::ostream &stream)
        : stream(stream)
        , before(stream.rdbuf(this->text.rdbuf()))
    {}
    ~Captured() { this->stream.rdbuf(this->before); }
    Captured(const Captured &) = delete;
    Captured &operator=(const Captured &) = delete;

    [[nodiscard]] std::string str() const { return this->text.str(); }

private:
    std::ostringstream text;
    std::ostream &stream;
    std::streambuf *before;
};

class WhereFixture : public GatewayFixture
{
protected:
    WhereFixture()
    {
        this->changeSettings([](GatewaySettings &settings) {
            settings.followsEvacuations = true;
            settings.areas = {{"hall-a", "south"}};
        });
        for (const std::string service : {"plain", "model"}) {
            for (int i = 0; i < 4; ++i) {
                const std::string id = service + "-" + std::to_string(i);
                this->addUpstream(id, service, [this, id](ServerConnection &connection) {
                    while (const auto request = connection.read()) {
                        this->serve(connection, *request, id);
                    }
                });
            }
        }
    }
    ~WhereFixture() { this->release(); }

    /// Holds requests whose attempts begin with "held" until release().
    void serve(ServerConnection &connection, const ReceivedRequest &request, const std::string &id)
    {
        if (request.head.find("X-Attempt-Id")->starts_with("held")) {
            std::unique_lock lock(this->mutex);
            ++this->held;
            this->released.wait(lock, [this] { return this->isReleased; });
        }
        connection.send(makeResponse(request, id));
    }

    void release()
    {
        const std::lock_guard lock(this->mutex);
        this->isReleased = true;
        this->released.notify_all();
    }

    ReceivedResponse query(const std::string &body)
    {
        asio::ip::tcp::socket socket(this->callerContext);
        const Endpoint endpoint = this->gateway->readinessEndpoint();
        socket.connect({asio::ip::make_address(endpoint.host), endpoint.port});
        asio::write(socket,
                    asio::buffer(fmt::format("POST /where HTTP/1.1\r\nContent-Length: {}\r\n\r\n{}",
                                             body.size(), body)));
        return readResponse(socket);
    }

    json ask(const json &body)
    {
        const ReceivedResponse response = this->query(body.dump());
        CHECK(response.status == 200);
        return json::parse(response.body);
    }

    /// \returns the metrics without the gauges that change with time alone.
    std::string metrics()
    {
        std::istringstream page(this->getInternalPage("/metrics").body);
        std::string kept;
        for (std::string line; std::getline(page, line);) {
            const bool isOfTime = line.find("seconds") != std::string::npos
                                  || line.find("control_") != std::string::npos
                                  || line.find("platform_calls") != std::string::npos;
            kept += isOfTime ? std::string() : line + "\n";
        }
        return kept;
    }

    std::mutex mutex;
    std::condition_variable released;
    std::atomic<int> held = 0;
    bool isReleased = false;
};

class WhereCommandFixture : public WhereFixture
{
protected:
    /// \returns the exit code; \a out and \a error have what was printed.
    int run(ctl::WhereOptions options, ctl::OutputFormat output = ctl::OutputFormat::Table)
    {
        if (options.router.empty()) {
            options.router = toText(this->gateway->readinessEndpoint());
        }
        const Captured printed(std::cout);
        const Captured complained(std::cerr);
        const int code = ctl::showWhere(options, output);
        this->out = printed.str();
        this->error = complained.str();
        return code;
    }

    std::string out;
    std::string error;
};

} // namespace

TEST_CASE_METHOD(WhereFixture, "whereQuery_nextIdenticalRequest_goesToTheNamedUpstream",
                 "[gateway]")
{
    // Guards against a query that decides by other rules, or other figures, than requests.
    this->start();
    std::vector<std::future<ReceivedResponse>> running;
    for (int i = 0; i < 24; ++i) {
        const std::string key = fmt::format("key-{}", i);
        const json plain = this->ask({{"route", "safe"}, {"workspace", "alpha"}, {"key", key}});
        CHECK(plain["outcome"] == "send");
        CHECK(this->call(makeRequest("/safe/x", key)).body == plain["upstream"]);
        const std::string prompt = fmt::format("{:x}:400, {:x}:90", 16 + i % 5, 1000 + i);
        const json chat = this->ask(
            {{"route", "stream"}, {"workspace", "alpha"}, {"key", key}, {"prompt", prompt}});
        CHECK(chat["outcome"] == "ask-coordinator");
        CHECK(this->call(makeRequest("/stream/x", key, "", "X-Prompt-Prefix: " + prompt + "\r\n"))
                  .body
              == chat["upstream"]);
        if (i % 4 == 0) {
            // The load grows.
            running.push_back(std::async(std::launch::async, [this, i] {
                return this->call(makeRequest("/safe/x", fmt::format("held-{}", i)));
            }));
            REQUIRE(eventually([this, i] { return this->held == i / 4 + 1; }));
        }
    }
    this->release();
    for (auto &each : running) {
        CHECK(each.get().status == 200);
    }
}

TEST_CASE_METHOD(WhereFixture, "whereQuery_anyNumber_changesNothing", "[gateway]")
{
    // Guards against queries that take permits, count as requests or create entries of services.
    this->start();
    CHECK(this->call(makeRequest("/safe/x", "a1")).status == 200);
    std::string before;
    REQUIRE(eventually([this, &before] {
        const std::string last = std::exchange(before, this->metrics());
        return last == before;
    }));
    for (const std::string route : {"safe", "once", "stream", "homed", "none"}) {
        for (int i = 0; i < 5; ++i) {
            this->query(
                json{{"route", route}, {"key", fmt::format("k{}", i)}, {"prompt", "1:9"}}.dump());
        }
    }
    CHECK(this->metrics() == before);
}

TEST_CASE_METHOD(WhereFixture, "whereQuery_upstreamsNotConsidered_statesWhy", "[gateway]")
{
    // Guards against an explanation that hides why an upstream is left out.
    this->start();
    std::promise<void> done;
    this->gateway->post([this, &done] {
        GatewayState &state = this->gateway->sharedState();
        state.upstreams.find("plain-0")->announcedDraining = true;
        state.upstreams.find("plain-1")->backoffUntil = this->clock.now() + Seconds{60};
        state.upstreams.find("plain-2")->ownRunning = 100;
        done.set_value();
    });
    done.get_future().wait();
    const json reply = this->ask({{"route", "safe"}});
    CHECK(reply["upstream"] == "plain-3");
    const json &list = reply["candidates"];
    REQUIRE(list.size() == 4);
    for (const json &each : list) {
        const std::string id = each["id"];
        const std::string expected = id == "plain-0"   ? "leaving"
                                     : id == "plain-1" ? "in back-off"
                                     : id == "plain-2" ? "over its share of the load"
                                                       : "";
        CHECK(each.value("excluded", "") == expected);
        CHECK(each["dataCentre"] == "hall-a");
    }
}

TEST_CASE_METHOD(WhereFixture, "whereQuery_faulty_getsItsStatusAndName", "[gateway]")
{
    // Guards against a fault of the query that looks like a decision.
    this->start();
    const auto check = [this](const std::string &body, int status, const std::string &name) {
        INFO(body);
        const ReceivedResponse response = this->query(body);
        CHECK(response.status == status);
        CHECK(json::parse(response.body)["error"] == name);
    };
    for (const std::string body :
         {"", "[]", "{}", R"({"route":3})", R"({"route":"safe","x":"y"})",
          R"({"route":"safe","prompt":"1"})", R"({"route":"safe","route":"once"})"}) {
        check(body, 400, "bad-request");
    }
    check(R"({"route":"none"})", 404, "not-found");
    check(R"({"route":"safe","workspace":"none"})", 404, "not-found");
    check(R"({"route":"homed"})", 503, "no-permitted-place");
}

TEST_CASE_METHOD(WhereCommandFixture, "whereCommand_answer_isPrintedAsTableOrJson", "[gateway]")
{
    // Guards against a table without what the JSON object states.
    this->start();
    const auto path =
        std::filesystem::temp_directory_path() / fmt::format("plantain-where-{}", ::getpid());
    std::ofstream(path) << "10:400, 20:90\n";
    const ctl::WhereOptions options{"", "stream", "alpha", "k1", path};
    REQUIRE(this->run(options, ctl::OutputFormat::Json) == ctl::exitOk);
    const json reply = json::parse(this->out);
    REQUIRE(this->run(options) == ctl::exitOk);
    std::filesystem::remove(path);
    for (const char *name : {"router", "route", "service", "outcome", "upstream", "reason"}) {
        CHECK(this->out.find(reply[name].get<std::string>()) != std::string::npos);
    }
    CHECK(reply["candidates"].size() == 4);
    for (const json &each : reply["candidates"]) {
        CHECK(this->out.find(each["id"].get<std::string>()) != std::string::npos);
    }
    for (const json &each : reply["notApplied"]) {
        CHECK(this->out.find(each.get<std::string>()) != std::string::npos);
    }
    CHECK(this->error.empty());
}

TEST_CASE_METHOD(WhereCommandFixture, "whereCommand_failures_haveExitCodesAndMessages", "[gateway]")
{
    // Guards against scripts that take a failure for an answer.
    this->start();
    const auto check = [this](const ctl::WhereOptions &options, int code, const char *message) {
        CHECK(this->run(options) == code);
        CHECK(this->out.empty());
        INFO(this->error);
        CHECK(this->error.find(message) != std::string::npos);
    };
    check({"nowhere", "safe", "", "", ""}, ctl::exitBadInput, "--router HOST:PORT");
    check({"", "", "", "", ""}, ctl::exitBadInput, "--route NAME");
    check({"", "safe", "", "", "/nonexistent"}, ctl::exitBadInput, "can't be read");
    check({"", "none", "", "", ""}, ctl::exitNotFound, "no route");
    check({"", "safe", "none", "", ""}, ctl::exitNotFound, "no workspace");
    check({"", "homed", "", "", ""}, ctl::exitFailed, "no-permitted-place");
    ScriptedServer earlier([](ServerConnection &connection) {
        connection.read();
        connection.send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
        connection.close();
    });
    check({toText(earlier.endpoint()), "safe", "", "", ""}, ctl::exitFailed, "does not support");
    ScriptedServer silent([](ServerConnection &connection) { connection.waitForEnd(); });
    check({toText(silent.endpoint()), "safe", "", "", ""}, ctl::exitFailed, "does not respond");
    silent.stopAccepting();
}
