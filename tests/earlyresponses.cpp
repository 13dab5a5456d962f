#include <algorithm>
#include <array>
#include <limits>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include "gatewayfixture.h"
#include "httpclient.h"
#include "upstreamconnection.h"

using namespace plantainswitch;
using namespace plantainswitch::gateway;

namespace {

/// How an upstream ends a connection whose request it has read in part.
enum class UploadEnd : std::uint8_t {
    Reset,
    /// Its system resets the connection once more of the request arrives.
    Close,
    /// It reads the rest of the request.
    EndSending,
    /// It ends its side of the connection and resets it later.
    EndThenReset,
};

constexpr std::string_view nameOf(UploadEnd end) noexcept
{
    constexpr std::array names{std::string_view{"reset"}, std::string_view{"close"},
                               std::string_view{"end of sending"},
                               std::string_view{"end of sending, reset"}};
    return names.at(static_cast<std::size_t>(end));
}

/// Sizes of uploads: one that fits the buffers of a connection, and one that does not.
constexpr std::array<std::size_t, 3> uploadSizes{4 << 10, 512 << 10, 24 << 20};
/// Parts of an upload, in percent, after which the upstream responds.
constexpr std::array<std::size_t, 4> readPercents{0, 1, 50, 90};

/// The upstream reads the request to its end.
constexpr std::size_t wholeRequest = std::numeric_limits<std::size_t>::max();
/// Time in which the end of the sending side arrives before the reset.
constexpr std::chrono::milliseconds resetDelay{50};

const std::string untilClose = "HTTP/1.1 200 OK\r\n\r\npart";
const std::string withLength = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart";
const std::string inChunks =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n";
const std::string chunkedPart =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n";

/// An upstream that responds before it has read the whole request.
class EarlyResponseFixture
{
protected:
    struct Upload
    {
        std::size_t size = 0;
        /// Bytes that the upstream reads before it responds.
        std::size_t read = 0;
        UploadEnd end = UploadEnd::Reset;
    };

    static ScriptedServer::Script respondEarly(const Upload &upload, const std::string &response)
    {
        return [&upload, &response](ServerConnection &peer) {
            if (upload.read == wholeRequest) {
                static_cast<void>(peer.read());
            } else {
                // Before the first byte, the client may not know that the connection is
                // established.
                peer.readBytes(std::max<std::size_t>(upload.read, 1));
            }
            peer.send(response);
            switch (upload.end) {
            case UploadEnd::Reset:
                peer.reset();
                break;
            case UploadEnd::Close:
                peer.close();
                break;
            case UploadEnd::EndSending:
                peer.endSending();
                peer.waitForEnd();
                break;
            case UploadEnd::EndThenReset:
                peer.endSending();
                std::this_thread::sleep_for(resetDelay);
                peer.reset();
                break;
            }
        };
    }

    /// Sends the upload with the client of the gateway. \returns whether it took the response for
    /// complete.
    bool isCompleteToGateway(const Upload &upload, const std::string &response)
    {
        ScriptedServer server(respondEarly(upload, response));
        asio::io_context context;
        std::optional<ResponseOutcome> outcome;
        const auto connection = std::make_shared<UpstreamConnection>(context, this->clock);
        connection->connectAndSend(
            server.endpoint(), Milliseconds{5000},
            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(upload.size)
                + "\r\n\r\n" + std::string(upload.size, 'a'),
            {[](const MessageHead &) { return true; }, [](std::string_view) {},
             [&outcome, &context](ResponseOutcome end) {
                 outcome = end;
                 context.stop();
             }});
        context.run_for(std::chrono::seconds(20));
        connection->abort();
        REQUIRE(outcome);
        return outcome == ResponseOutcome::Complete;
    }

    /// The same with the client of the product's own dialect.
    static bool isCompleteToHttpClient(const Upload &upload, const std::string &response)
    {
        ScriptedServer server(respondEarly(upload, response));
        asio::io_context context;
        net::HttpClient client(context);
        net::HttpCall call;
        call.method = "POST";
        call.url = "http://" + toText(server.endpoint()) + "/";
        call.body.assign(upload.size, 'a');
        call.freshConnection = true;
        std::optional<net::HttpOutcome> outcome;
        const auto exchange = client.fetch(std::move(call), [&](net::HttpResponse received) {
            outcome = received.outcome;
            context.stop();
        });
        context.run_for(std::chrono::seconds(20));
        REQUIRE(outcome);
        return outcome == net::HttpOutcome::Complete;
    }

    /// Calls \a check with uploads of each size that the upstream ends in the middle.
    template<typename Check>
    static void forEachUpload(std::initializer_list<UploadEnd> ends, Check check)
    {
        for (const UploadEnd end : ends) {
            for (const std::size_t size : uploadSizes) {
                for (const std::size_t percent : readPercents) {
                    const Upload upload{size, size * percent / 100, end};
                    INFO(nameOf(end) << ", " << size << " bytes, " << percent << " % read");
                    check(upload);
                }
            }
        }
    }

    SystemClock clock;
};

} // namespace

TEST_CASE_METHOD(EarlyResponseFixture, "earlyResponse_cutByReset_isNotComplete", "[gateway]")
{
    // Guards against a part of a body that is passed on as whole, because the connection seems to
    // end in an orderly way while the request is still being written.
    forEachUpload({UploadEnd::Reset}, [this](const Upload &upload) {
        CHECK_FALSE(this->isCompleteToGateway(upload, untilClose));
        CHECK_FALSE(this->isCompleteToGateway(upload, chunkedPart));
        CHECK_FALSE(isCompleteToHttpClient(upload, untilClose));
        CHECK_FALSE(isCompleteToHttpClient(upload, chunkedPart));
    });
}

TEST_CASE_METHOD(EarlyResponseFixture, "earlyResponse_cutByClose_isNotComplete", "[gateway]")
{
    // The same where the reset follows the end of the response, as the upstream has closed its
    // connection without reading on.
    for (const UploadEnd end : {UploadEnd::Close, UploadEnd::EndThenReset}) {
        for (const std::size_t percent : {0, 1, 50}) {
            const Upload running{uploadSizes.back(), uploadSizes.back() * percent / 100, end};
            INFO(nameOf(end) << ", " << percent << " % read");
            CHECK_FALSE(this->isCompleteToGateway(running, untilClose));
            CHECK_FALSE(isCompleteToHttpClient(running, untilClose));
        }
    }
    forEachUpload({UploadEnd::Close}, [this](const Upload &upload) {
        CHECK_FALSE(this->isCompleteToGateway(upload, chunkedPart));
        CHECK_FALSE(isCompleteToHttpClient(upload, chunkedPart));
    });
}

TEST_CASE_METHOD(EarlyResponseFixture, "earlyResponse_resetFollowsItsEnd_isNotComplete",
                 "[gateway]")
{
    // Guards against a part of a body that is passed on as whole, because the reset by an upstream
    // which has not read a short request arrives just behind the end of its response.
    constexpr int repetitions = 50;
    const Upload upload{uploadSizes.front(), uploadSizes.front() / 2, UploadEnd::Close};
    int wrong = 0;
    int wrongInOwnDialect = 0;
    for (int i = 0; i < repetitions; ++i) {
        wrong += this->isCompleteToGateway(upload, untilClose) ? 1 : 0;
        wrongInOwnDialect += isCompleteToHttpClient(upload, untilClose) ? 1 : 0;
    }
    CHECK(wrong == 0);
    CHECK(wrongInOwnDialect == 0);
}

TEST_CASE_METHOD(EarlyResponseFixture, "earlyResponse_wholeBeforeReset_isComplete", "[gateway]")
{
    // Guards against whole responses, such as early rejections of long requests, that are lost
    // because the rest of the request cannot be written.
    forEachUpload({UploadEnd::Reset, UploadEnd::Close}, [this](const Upload &upload) {
        CHECK(this->isCompleteToGateway(upload, withLength));
        CHECK(this->isCompleteToGateway(upload, inChunks));
    });
}

TEST_CASE_METHOD(EarlyResponseFixture, "response_afterWholeUpload_isComplete", "[gateway]")
{
    // Guards against rejecting a response without a length to a request that was read before it.
    for (const std::size_t size : uploadSizes) {
        INFO(size);
        const Upload upload{size, wholeRequest, UploadEnd::Close};
        CHECK(this->isCompleteToGateway(upload, untilClose));
        CHECK(isCompleteToHttpClient(upload, untilClose));
    }
}

TEST_CASE_METHOD(EarlyResponseFixture, "earlyResponse_restOfRequestIsRead_isComplete", "[gateway]")
{
    // Guards against rejecting what an upstream soundly sends: it ends a response without a length
    // early, and still reads the request.
    forEachUpload({UploadEnd::EndSending}, [this](const Upload &upload) {
        CHECK(this->isCompleteToGateway(upload, untilClose));
        CHECK(this->isCompleteToGateway(upload, withLength));
    });
}
