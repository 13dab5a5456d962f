#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <string>
#include <thread>

#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include "gatewayfixture.h"

using namespace plantainswitch;
using namespace plantainswitch::gateway;

namespace {

/// How an upstream ends a connection on which it has responded without a length.
enum class ResponseEnd : std::uint8_t { Reset, Close, EndThenReset };

constexpr std::array<std::string_view, 3> endNames{"reset", "close", "end of sending, reset"};

/// Larger than the buffers of a connection.
constexpr std::size_t largeUpload = 12 << 20;
constexpr std::size_t smallUpload = 4 << 10;
/// Time in which the end of the sending side arrives before the reset.
constexpr std::chrono::milliseconds resetDelay{50};

/// Upstreams that respond to an upload at once, without a length, and break off in the middle.
class GatewayUploadsFixture : public GatewayFixture
{
protected:
    struct Upload
    {
        std::size_t size = 0;
        bool isChunked = false;
        /// Bytes that the upstream reads before it responds.
        std::size_t read = 0;
        ResponseEnd end = ResponseEnd::Reset;
    };

    /// Adds two upstreams of \a service, whose responses are parts of whole ones.
    void addUpstreams(const std::string &service)
    {
        for (const std::string number : {"-0", "-1"}) {
            this->addUpstream(service + number, service,
                              [this, service](ServerConnection &connection) {
                                  this->breakOff(connection, service == "model");
                              });
        }
    }

    void breakOff(ServerConnection &connection, bool isStream)
    {
        // A probe opens a connection before the upload that uses it.
        connection.readBytes(1);
        connection.readBytes(this->upload.read);
        ++this->runs;
        connection.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + this->attempt
                        + "\r\nX-Server-Stamp: s\r\n"
                        + (isStream ? "Content-Type: text/event-stream\r\n\r\n" + makeEvent(1)
                                    : std::string("\r\npart")));
        if (this->upload.end == ResponseEnd::EndThenReset) {
            connection.endSending();
            std::this_thread::sleep_for(resetDelay);
        }
        if (this->upload.end == ResponseEnd::Close) {
            connection.close();
        } else {
            connection.reset();
        }
    }

    /// Sends the upload to \a path with a length or in chunks.
    ReceivedResponse send(const std::string &path)
    {
        this->attempt = "a" + std::to_string(++this->uploads);
        const std::string body(this->upload.size, 'a');
        if (!this->upload.isChunked) {
            return this->call(makeRequest(path, this->attempt, body));
        }
        std::string head = makeRequest(path, this->attempt);
        head.replace(head.find("Content-Length: 0"), std::string_view("Content-Length: 0").size(),
                     "Transfer-Encoding: chunked");
        return this->call(head + makeChunk(body) + "0\r\n\r\n");
    }

    /// Checks uploads of each form to \a path.
    template<typename Check>
    void forEachUpload(const std::string &path, Check check)
    {
        for (const ResponseEnd end :
             {ResponseEnd::Reset, ResponseEnd::Close, ResponseEnd::EndThenReset}) {
            for (const std::size_t percent : {0, 1, 50, 90}) {
                for (const bool isChunked : {false, true}) {
                    for (const std::size_t size : {smallUpload, largeUpload}) {
                        // The system of an upstream receives what fits its buffers. A response that
                        // ends after that is whole.
                        if (end == ResponseEnd::EndThenReset
                            && (size == smallUpload || percent == 90)) {
                            continue;
                        }
                        this->upload = {size, isChunked, size * percent / 100, end};
                        INFO(path << ", " << endNames.at(static_cast<std::size_t>(end)) << ", "
                                  << size << " bytes, " << percent << " % read, "
                                  << (isChunked ? "in chunks" : "with a length"));
                        check(this->send(path));
                    }
                }
            }
        }
    }

    Upload upload;
    std::string attempt;
    std::atomic<int> runs = 0;
    int uploads = 0;
};

} // namespace

TEST_CASE_METHOD(GatewayUploadsFixture, "earlyResponse_toUpload_partNeverReachesCaller",
                 "[gateway]")
{
    // Guards against a part of a body that the caller takes for whole, because its upstream broke
    // off while the request was still being written.
    this->setMaxBodyBytes(largeUpload);
    this->addUpstreams("plain");
    this->start();
    for (const std::string path : {"/once/x", "/safe/x"}) {
        this->forEachUpload(path, [](const ReceivedResponse &response) {
            CHECK(response.status == 502);
            CHECK(response.isComplete);
            CHECK(response.body.empty());
        });
    }
    CHECK(this->runs >= this->uploads);
}

TEST_CASE_METHOD(GatewayUploadsFixture, "earlyStream_toUpload_neverLooksWhole", "[gateway]")
{
    // Guards against the same for a stream, of which the caller may get whole events.
    this->setMaxBodyBytes(largeUpload);
    this->addUpstreams("model");
    this->start();
    this->forEachUpload("/stream/x", [](const ReceivedResponse &response) {
        CHECK((!response.isComplete || response.status == 502));
    });
    CHECK(this->runs >= this->uploads);
}
