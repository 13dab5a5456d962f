#include <atomic>
#include <future>
#include <thread>

#include <asio/executor_work_guard.hpp>
#include <catch2/catch.hpp>

#include "httpclient.h"
#include "httpserver.h"
#include "plantainswitch/plantainswitch.h"

using namespace plantainswitch;

namespace {

constexpr int threadCount = 4;
constexpr std::uint32_t rounds = 400;
/// Below every port of a test fleet, so that both can run in parallel.
constexpr std::uint16_t ownPort = 9500;
constexpr int statusOk = 200;

void runTogether(const std::function<void(std::uint32_t thread)> &work)
{
    std::vector<std::thread> threads;
    threads.reserve(threadCount);
    for (std::uint32_t index = 0; index < threadCount; ++index) {
        threads.emplace_back([&work, index] { work(index); });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
}

/// An HTTP server and client on their own worker threads.
class HttpFixture
{
protected:
    HttpFixture()
        : guard(asio::make_work_guard(context))
        , client(context)
    {
        this->server = std::make_unique<net::HttpServer>(
            this->context, net::HttpServerOptions{"127.0.0.1", ownPort},
            [](const net::HttpRequest &request, const std::shared_ptr<net::HttpResponder> &reply) {
                if (request.path == "/cut") {
                    reply->start(statusOk, {});
                    reply->write("part", nullptr);
                    reply->abort();
                    return;
                }
                reply->start(statusOk, {{"x-echo", std::string(request.header("x-name"))}});
                for (int part = 0; part < 10; ++part) {
                    reply->write(request.body, nullptr);
                }
                reply->end();
            });
        this->server->open();
        for (int index = 0; index < threadCount; ++index) {
            this->workers.emplace_back([this] { this->context.run(); });
        }
    }

    ~HttpFixture()
    {
        this->context.stop();
        for (std::thread &worker : this->workers) {
            worker.join();
        }
    }

    net::HttpCall callTo(const std::string &path)
    {
        net::HttpCall call;
        call.method = "POST";
        call.url = "http://127.0.0.1:" + std::to_string(ownPort) + path;
        call.body = "hello";
        return call;
    }

    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> guard;
    net::HttpClient client;
    std::unique_ptr<net::HttpServer> server;
    std::vector<std::thread> workers;
};

} // namespace

TEST_CASE("tables_usedByAllWorkers_stayConsistent", "[concurrency]")
{
    CatalogueTable catalogue;
    MemberTable members;
    UpstreamTable upstreams;
    ShardCoordinator coordinator;
    ExplainTable explain;
    Metrics metrics;
    const Shard shard{"model", "here", 0};
    const std::vector<UpstreamId> engines{1, 2, 3};
    runTogether([&](std::uint32_t thread) {
        for (std::uint32_t round = 1; round <= rounds; ++round) {
            const TimePoint now{Milliseconds{round}};
            const std::string name = "name-" + std::to_string(round % 7);
            catalogue.merge({{{EntryKind::DataClass, name}, round, DataClass{"o", {"here"}, 0}}});
            static_cast<void>(catalogue.view());
            members.receiveHeartbeat({name, "here", {}, {}, round, round, false}, now);
            static_cast<void>(members.active());
            upstreams.replace({{name, VmRole::Engine, "model", "here", {"127.0.0.1", 1}, false}});
            static_cast<void>(upstreams.ready("model", "here", now));
            const std::uint32_t requestId = round;
            const SlotRequest request{requestId, shard, round, round, {}};
            coordinator.grant(thread, request, {engines, {}, false}, true, now);
            coordinator.release(thread, {shardIdOf(shard), {requestId}});
            explain.record({name, {"step"}});
            metrics.record(Timing::Whole, name, "class", Milliseconds{round}, TimePoint{});
            metrics.count(Counter::Requests);
        }
    });
    CHECK(coordinator.loads(shardIdOf(shard)).empty());
    CHECK(metrics.value(Counter::Requests) == std::uint64_t{threadCount} * rounds);
    CHECK(catalogue.view()->version == rounds);
}

TEST_CASE_METHOD(HttpFixture, "httpClient_manyThreads_eachGetsItsOwnWholeAnswer", "[concurrency]")
{
    std::atomic<int> failures = 0;
    runTogether([&](std::uint32_t thread) {
        for (int round = 0; round < 50; ++round) {
            const std::string name = std::to_string(thread) + "-" + std::to_string(round);
            net::HttpCall call = this->callTo("/echo");
            call.headers["x-name"] = name;
            std::promise<net::HttpResponse> answer;
            this->client.fetch(std::move(call), [&answer](net::HttpResponse got) {
                answer.set_value(std::move(got));
            });
            const net::HttpResponse got = answer.get_future().get();
            const bool good = got.outcome == net::HttpOutcome::Complete
                              && got.headers.at("x-echo") == name && got.body.size() == 50;
            failures += good ? 0 : 1;
        }
    });
    CHECK(failures == 0);
}

TEST_CASE_METHOD(HttpFixture, "httpClient_brokenOffAnswer_isNotWhole", "[concurrency]")
{
    // An upstream sends a part of its response and then closes the connection. If that looked like
    // the end, the caller would take the part for the whole response.
    std::promise<net::HttpResponse> answer;
    this->client.fetch(this->callTo("/cut"),
                       [&answer](net::HttpResponse got) { answer.set_value(std::move(got)); });
    CHECK(answer.get_future().get().outcome == net::HttpOutcome::Broken);
}

TEST_CASE_METHOD(HttpFixture, "httpServer_moreConnectionsThanAllowed_marksRequestsCrowded",
                 "[concurrency]")
{
    constexpr std::uint16_t crowdedPort = ownPort + 1;
    std::atomic<bool> crowded = false;
    net::HttpServer small(this->context, net::HttpServerOptions{"127.0.0.1", crowdedPort, 1000, 0},
                          [&crowded](const net::HttpRequest &request,
                                     const std::shared_ptr<net::HttpResponder> &reply) {
                              crowded = request.connectionLimitExceeded;
                              reply->respond(statusOk, {}, "");
                          });
    small.open();
    net::HttpCall call;
    call.url = "http://127.0.0.1:" + std::to_string(crowdedPort) + "/";
    std::promise<net::HttpResponse> answer;
    this->client.fetch(call,
                       [&answer](net::HttpResponse got) { answer.set_value(std::move(got)); });
    CHECK(answer.get_future().get().status == statusOk);
    CHECK(crowded);
}

TEST_CASE_METHOD(HttpFixture, "httpClient_cancelFromOtherThread_endsEachExchangeOnce",
                 "[concurrency]")
{
    std::atomic<int> ends = 0;
    std::vector<std::shared_ptr<net::HttpExchange>> exchanges;
    for (int index = 0; index < 50; ++index) {
        net::HttpEvents events;
        events.onData = [](std::string_view) { return false; };
        events.onEnd = [&ends](net::HttpOutcome, const std::string &) { ++ends; };
        exchanges.push_back(this->client.start(this->callTo("/echo"), std::move(events)));
    }
    runTogether([&](std::uint32_t) {
        for (const auto &exchange : exchanges) {
            exchange->resume();
            exchange->cancel();
        }
    });
    while (ends < 50) {
        std::this_thread::yield();
    }
    CHECK(ends == 50);
}

TEST_CASE("catalogueViews_readDuringEdits_areEachOfOneMerge", "[concurrency]")
{
    // Snapshots share what an edit doesn't change. A reader that keeps one while others are derived
    // from it must see it unchanged: both entries of one merge.
    CatalogueTable table;
    const auto edit = [&table](std::uint64_t version) {
        const auto weight = static_cast<std::uint32_t>(version);
        Workspace body;
        body.token = "token";
        body.weight = weight;
        table.merge({{{EntryKind::Workspace, "a"}, 2 * version, body},
                     {{EntryKind::Workspace, "b"}, 2 * version + 1, body}});
    };
    edit(1);
    std::atomic<int> torn = 0;
    runTogether([&](std::uint32_t thread) {
        for (std::uint32_t round = 2; round < rounds; ++round) {
            if (thread == 0) {
                edit(round);
                continue;
            }
            const auto view = table.view();
            const bool consistent =
                view->workspaces.at("a").weight == view->workspaces.at("b").weight;
            torn += consistent ? 0 : 1;
        }
    });
    CHECK(torn == 0);
    CHECK(table.view()->workspaces.at("a").weight == rounds - 1);
}
