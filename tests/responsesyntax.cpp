#include <optional>
#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "gatewayfixture.h"
#include "httpclient.h"
#include "responsesyntax.h"
#include "upstreamconnection.h"

using namespace plantainswitch;
using namespace plantainswitch::gateway;

namespace {

/// One part of a response, which is otherwise a 200 with the body "body".
struct SyntaxCase
{
    std::string part;
    std::string response;
    std::string body = "body";
    /// Status that is passed on.
    int status = 200;
    /// The client of the product's own dialect reads the response in another way.
    bool isOfGatewayOnly = false;
};

const std::string length = "Content-Length: 4\r\n";
const std::string chunkedField = "Transfer-Encoding: chunked\r\n";

std::string withStatusLine(const std::string &line)
{
    return line + "\r\n" + length + "\r\nbody";
}

std::string withField(const std::string &field)
{
    return "HTTP/1.1 200 OK\r\n" + field + "\r\n" + length + "\r\nbody";
}

/// \returns a response without any framing but \a fields.
std::string framedBy(const std::string &fields, const std::string &body = "body")
{
    return "HTTP/1.1 200 OK\r\n" + fields + "\r\n" + body;
}

std::string chunked(const std::string &body)
{
    return framedBy(chunkedField, body);
}

/// \returns a response whose head has \a size bytes.
std::string withHeadOf(std::size_t size)
{
    const std::string rest = withField("X-Filler: ");
    const std::size_t bodySize = 4;
    return withField("X-Filler: " + std::string(size + bodySize - rest.size(), 'a'));
}

std::string withSizeLineOf(std::size_t size)
{
    return chunked("4;" + std::string(size - 3, 'a') + "\r\nbody\r\n0\r\n\r\n");
}

std::vector<SyntaxCase> validStatusLines()
{
    return {
        {"reason phrase empty", withStatusLine("HTTP/1.1 200 ")},
        {"reason phrase and its space absent", withStatusLine("HTTP/1.1 200")},
        {"reason phrase with tab and non-ASCII bytes", withStatusLine("HTTP/1.1 200 \xc3\x9c\tb")},
        {"version 1.0", withStatusLine("HTTP/1.0 200 OK")},
        {"version 1.9", withStatusLine("HTTP/1.9 200 OK"), "body", 200, true},
        {"least final status", withStatusLine("HTTP/1.1 200 OK")},
        {"status that is not registered", withStatusLine("HTTP/1.1 299 X"), "body", 299},
        {"redirection", withStatusLine("HTTP/1.1 300 X"), "body", 300},
        {"client error", withStatusLine("HTTP/1.1 499 X"), "body", 499},
        {"greatest status", withStatusLine("HTTP/1.1 599 X"), "body", 599},
        {"least informational status", "HTTP/1.1 100 C\r\n\r\n" + withStatusLine("HTTP/1.1 200 O")},
        {"greatest informational status",
         "HTTP/1.1 199 C\r\n\r\n" + withStatusLine("HTTP/1.1 200 O")},
        {"informational responses with fields",
         "HTTP/1.1 102 P\r\n\r\nHTTP/1.1 103 E\r\nLink: a\r\n\r\n"
             + withStatusLine("HTTP/1.1 200 O")},
        {"204 with a length", "HTTP/1.1 204 N\r\n" + length + "\r\n", "", 204},
        {"204 with a coding", "HTTP/1.1 204 N\r\n" + chunkedField + "\r\n", "", 204},
        {"304 with a length", "HTTP/1.1 304 N\r\n" + length + "\r\n", "", 304},
        {"304 with a coding", "HTTP/1.1 304 N\r\n" + chunkedField + "\r\n", "", 304},
    };
}

std::vector<SyntaxCase> validFields()
{
    return {
        {"name of all token characters", withField("!#$%&'*+-.^_`|~09AZaz: v")},
        {"name of one character", withField("a: v")},
        {"value empty", withField("X-A:")},
        {"value of blanks", withField("X-A: \t ")},
        {"value with tab and non-ASCII bytes", withField("X-A: a\tb \xff\x80")},
        {"value with colons", withField("X-A:b:c::")},
        {"field repeated", withField("X-A: b\r\nX-A: c")},
        {"upgrade offered", withField("Upgrade: h2c\r\nConnection: Upgrade")},
        {"length in other case", framedBy("CONTENT-length: 4\r\n")},
        {"length with blanks around", framedBy("Content-Length:  4 \r\n")},
        {"length with leading zeros", framedBy("Content-Length: 0004\r\n")},
        {"length of nothing", framedBy("Content-Length: 0\r\n", ""), ""},
        {"coding in other case",
         framedBy("transfer-encoding: Chunked\r\n", "4\r\nbody\r\n0\r\n\r\n")},
        {"coding without blank",
         framedBy("Transfer-Encoding:chunked\r\n", "4\r\nbody\r\n0\r\n\r\n")},
        {"neither length nor coding", framedBy("")},
        {"largest head", withHeadOf(net::maxResponseHeadBytes)},
    };
}

std::vector<SyntaxCase> validChunks()
{
    const std::string longBody(27, 'a');
    return {
        {"chunks", chunked("1\r\nb\r\n3\r\nody\r\n0\r\n\r\n")},
        {"no chunk but the last", chunked("0\r\n\r\n"), ""},
        {"size in lower case", chunked("1b\r\n" + longBody + "\r\n0\r\n\r\n"), longBody},
        {"size in upper case", chunked("1B\r\n" + longBody + "\r\n0\r\n\r\n"), longBody},
        {"size with leading zeros", chunked("0004\r\nbody\r\n0000\r\n\r\n")},
        {"extension", chunked("4;a=b\r\nbody\r\n0;c\r\n\r\n")},
        {"extension quoted", chunked("4;a=\"b c\";d=\"\xff\"\r\nbody\r\n0\r\n\r\n")},
        {"extension behind blanks", chunked("4 \t; a = b\r\nbody\r\n0\r\n\r\n")},
        {"size padded with blanks", chunked("4  \r\nbody\r\n0\r\n\r\n")},
        {"largest size line", withSizeLineOf(net::maxChunkSizeLineBytes)},
        {"line ends as data", chunked("4\r\n\r\n\r\n\r\n0\r\n\r\n"), "\r\n\r\n"},
        {"trailers", chunked("4\r\nbody\r\n0\r\nX-A: b\r\nX-B:\r\n\r\n")},
        {"trailer with a length", chunked("4\r\nbody\r\n0\r\nContent-Length: 9\r\n\r\n")},
    };
}

std::vector<SyntaxCase> brokenStatusLines()
{
    std::vector<SyntaxCase> cases;
    for (const std::string status :
         {"000", "001", "099", "101", "600", "601", "999", "1000", "0200", "2000", "20", "2", "",
          "-20", "+20", "2x0", "2 0", "0x2", "\xb2\x30\x30"}) {
        cases.push_back({"status " + status, withStatusLine("HTTP/1.1 " + status + " X")});
    }
    for (const std::string name :
         {"HTTP/0.9", "HTTP/2.0", "HTTP/9.9",  "HTTP/2",   "HTTP/1",    "HTTP/1.",     "HTTP/1.1.1",
          "HTTP/1.x", "HTTP/11",  "HTTP/01.1", "HTTP/1,1", "HTTP 1.1",  "http/1.1",    "HTTp/1.1",
          "HTTX/1.1", "HTTPX1.1", "ICY",       "SSH-2.0",  " HTTP/1.1", "\r\nHTTP/1.1"}) {
        cases.push_back({"version " + name, withStatusLine(name + " 200 OK")});
    }
    for (const std::string &byte : {std::string("\x01"), std::string(1, '\0'), std::string("\x1f"),
                                    std::string("\x7f"), std::string("\r"), std::string("\n")}) {
        cases.push_back(
            {"byte in the reason phrase", withStatusLine("HTTP/1.1 200 a" + byte + "b")});
    }
    cases.push_back({"no space behind the status", withStatusLine("HTTP/1.1 200OK")});
    cases.push_back({"two spaces before the status", withStatusLine("HTTP/1.1  200 OK")});
    cases.push_back({"tab before the status", withStatusLine("HTTP/1.1\t200 OK")});
    cases.push_back({"tab behind the status", withStatusLine("HTTP/1.1 200\tOK")});
    cases.push_back(
        {"protocol switched", "HTTP/1.1 101 S\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n"
                                  + withStatusLine("HTTP/1.1 200 OK")});
    cases.push_back(
        {"informational response with a body",
         "HTTP/1.1 103 E\r\n" + length + "\r\nbody" + withStatusLine("HTTP/1.1 200 O")});
    cases.push_back({"informational response with chunks",
                     "HTTP/1.1 103 E\r\n" + chunkedField + "\r\n4\r\nbody\r\n0\r\n\r\n"
                         + withStatusLine("HTTP/1.1 200 OK")});
    cases.push_back({"broken informational response",
                     "HTTP/1.1 103 E\r\nX A: b\r\n\r\n" + withStatusLine("HTTP/1.1 200 OK")});
    cases.push_back({"line feeds alone", "HTTP/1.1 200 OK\nContent-Length: 4\n\nbody"});
    return cases;
}

std::vector<SyntaxCase> brokenFields()
{
    std::vector<SyntaxCase> cases;
    for (const std::string &name :
         {std::string("X A"), std::string(" X-A"), std::string("\tX-A"), std::string("X-A "),
          std::string("X-A\t"), std::string("X\tA"), std::string("X\x01") + "A",
          std::string("X\0A", 3), std::string("X\x7f") + "A", std::string("X\x80") + "A",
          std::string("X(A)"), std::string("X/A"), std::string("\"X\""), std::string()}) {
        cases.push_back({"name " + name, withField(name + ": v")});
        cases.push_back({"only name " + name, framedBy(name + ": v\r\n")});
        cases.push_back({"trailer " + name, chunked("4\r\nbody\r\n0\r\n" + name + ": v\r\n\r\n")});
    }
    for (const std::string &value :
         {std::string("a\0b", 3), std::string("a\x01"), std::string("\x1f"), std::string("a\x7f"),
          std::string("a\rb")}) {
        cases.push_back({"value " + value, withField("X-A: " + value)});
        cases.push_back({"trailer value", chunked("4\r\nbody\r\n0\r\nX-A: " + value + "\r\n\r\n")});
    }
    cases.push_back({"no colon", withField("X-A")});
    cases.push_back({"trailer without colon", chunked("4\r\nbody\r\n0\r\nX-A\r\n\r\n")});
    cases.push_back({"continued line", withField("X-A: b\r\n c")});
    cases.push_back({"line feed alone", withField("X-A: b\nX-C: d")});
    cases.push_back({"head too large", withHeadOf(net::maxResponseHeadBytes + 1)});
    for (const std::string value :
         {"", "-4", "+4", "4x", "x", "0x4", "4.0", "4,4", "4, 5", "4 4", "4;", "\"4\"",
          "9223372036854775808", "18446744073709551615", "18446744073709551620"}) {
        cases.push_back({"length " + value, framedBy("Content-Length: " + value + "\r\n")});
    }
    cases.push_back({"length twice", framedBy(length + length)});
    cases.push_back({"two lengths", framedBy(length + "Content-Length: 5\r\n")});
    const std::string body = "4\r\nbody\r\n0\r\n\r\n";
    for (const std::string value :
         {"", "gzip", "identity", "deflate", "xchunked", "chunkedx", "chunked;q=1", "gzip, chunked",
          "chunked, gzip", "chunked, chunked", "chunked, identity", "\"chunked\""}) {
        cases.push_back(
            {"coding " + value, framedBy("Transfer-Encoding: " + value + "\r\n", body)});
    }
    cases.push_back({"coding twice", framedBy(chunkedField + chunkedField, body)});
    cases.push_back({"coding before length", framedBy(chunkedField + length, body), "", 0, true});
    cases.push_back({"length before coding", framedBy(length + chunkedField, body), "", 0, true});
    cases.push_back(
        {"coding in version 1.0", "HTTP/1.0 200 OK\r\n" + chunkedField + "\r\n" + body});
    return cases;
}

std::vector<SyntaxCase> brokenChunks()
{
    std::vector<SyntaxCase> cases;
    for (const std::string &line :
         {std::string(), std::string("x"), std::string("-4"), std::string("+4"), std::string("0x4"),
          std::string(" 4"), std::string("4x"), std::string("4 x"), std::string("4,"),
          std::string("4\x01"), std::string("4;a\x01"), std::string("4;a\0", 4),
          std::string("4;a\rb"), std::string("8000000000000000"), std::string("10000000000000004"),
          std::string("fffffffffffffffff")}) {
        cases.push_back({"size line " + line, chunked(line + "\r\nbody\r\n0\r\n\r\n")});
        cases.push_back({"last size line " + line, chunked("4\r\nbody\r\n" + line + "\r\n\r\n")});
    }
    for (const std::string end : {"", "XY", "X\r\n", "\n", "\r", "\rX", "\n\r", "\r\r\n"}) {
        cases.push_back({"end of data " + end, chunked("4\r\nbody" + end + "0\r\n\r\n")});
    }
    cases.push_back({"size line ends with line feed", chunked("4\nbody\r\n0\r\n\r\n")});
    cases.push_back({"size line ends with carriage return", chunked("4\rbody\r\n0\r\n\r\n")});
    cases.push_back({"size line ends with other byte", chunked("4\rXbody\r\n0\r\n\r\n")});
    cases.push_back({"data longer than its size", chunked("3\r\nbody\r\n0\r\n\r\n")});
    cases.push_back({"size line too long", withSizeLineOf(net::maxChunkSizeLineBytes + 1)});
    cases.push_back({"last line ends with line feed", chunked("4\r\nbody\r\n0\r\n\n")});
    cases.push_back({"last line ends with other byte", chunked("4\r\nbody\r\n0\r\n\rX")});
    return cases;
}

/// What a reader made of a response.
struct ReadResult
{
    bool isComplete = false;
    /// Status that was passed on; 0 if none was.
    int status = 0;
    std::string body;
};

/// Reads a response that arrives in parts of \a step bytes and ends with its connection.
ReadResult parse(const std::string &response, std::size_t step)
{
    ReadResult result;
    MessageParser parser(MessageKind::Response, net::maxResponseHeadBytes,
                         {[&result](const MessageHead &head) { result.status = head.status; },
                          [&result](std::string_view bytes) { result.body.append(bytes); }});
    ParseState state = ParseState::Incomplete;
    for (std::size_t at = 0; at < response.size() && state == ParseState::Incomplete; at += step) {
        state = parser.feed(std::string_view(response).substr(at, step));
    }
    if (state == ParseState::Incomplete) {
        state = parser.finish();
    }
    result.isComplete = state == ParseState::Complete;
    return result;
}

/// Reads responses of scripted servers.
class ResponseSyntaxFixture
{
protected:
    /// Reads \a response from a server, with the client of the gateway.
    ReadResult readByGateway(const std::string &response)
    {
        ScriptedServer server = makeServer(response);
        asio::io_context context;
        ReadResult result;
        const auto connection = std::make_shared<UpstreamConnection>(context, this->clock);
        connection->connectAndSend(
            server.endpoint(), Milliseconds{5000}, "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
            {[&result](const MessageHead &head) {
                 result.status = head.status;
                 return true;
             },
             [&result](std::string_view bytes) { result.body.append(bytes); },
             [&result, &context](ResponseOutcome outcome) {
                 result.isComplete = outcome == ResponseOutcome::Complete;
                 context.stop();
             }});
        context.run_for(std::chrono::seconds(20));
        connection->abort();
        return result;
    }

    /// The same with the client of the product's own dialect.
    static ReadResult readByHttpClient(const std::string &response)
    {
        ScriptedServer server = makeServer(response);
        asio::io_context context;
        ReadResult result;
        net::HttpClient client(context);
        net::HttpCall call;
        call.url = "http://" + toText(server.endpoint()) + "/";
        net::HttpEvents events;
        events.onHeaders = [&result](int status, const net::Headers &) { result.status = status; };
        events.onData = [&result](std::string_view bytes) {
            result.body.append(bytes);
            return true;
        };
        events.onEnd = [&](net::HttpOutcome outcome, const std::string &) {
            result.isComplete = outcome == net::HttpOutcome::Complete;
            context.stop();
        };
        const auto exchange = client.start(std::move(call), std::move(events));
        context.run_for(std::chrono::seconds(20));
        return result;
    }

    void checkValid(const std::vector<SyntaxCase> &cases)
    {
        for (const SyntaxCase &each : cases) {
            INFO(each.part);
            checkResult(parse(each.response, each.response.size()), each);
            checkResult(parse(each.response, 1), each);
            checkResult(this->readByGateway(each.response), each);
            if (!each.isOfGatewayOnly) {
                checkResult(readByHttpClient(each.response), each);
            }
        }
    }

    void checkBroken(const std::vector<SyntaxCase> &cases)
    {
        for (const SyntaxCase &each : cases) {
            INFO(each.part);
            CHECK_FALSE(parse(each.response, each.response.size()).isComplete);
            CHECK_FALSE(parse(each.response, 1).isComplete);
            CHECK_FALSE(this->readByGateway(each.response).isComplete);
            if (!each.isOfGatewayOnly) {
                CHECK_FALSE(readByHttpClient(each.response).isComplete);
            }
        }
    }

    /// Checks also that no status was passed on.
    void checkBrokenHeads(const std::vector<SyntaxCase> &cases)
    {
        this->checkBroken(cases);
        for (const SyntaxCase &each : cases) {
            if (each.part.starts_with("trailer") || each.isOfGatewayOnly) {
                continue;
            }
            INFO(each.part);
            CHECK(parse(each.response, each.response.size()).status == 0);
            CHECK(parse(each.response, each.response.size()).body.empty());
            CHECK(readByHttpClient(each.response).status == 0);
        }
    }

    SystemClock clock;

private:
    static ScriptedServer makeServer(const std::string &response)
    {
        return ScriptedServer([&response](ServerConnection &peer) {
            static_cast<void>(peer.read());
            peer.send(response);
            peer.close();
        });
    }

    static void checkResult(const ReadResult &result, const SyntaxCase &expected)
    {
        CHECK(result.isComplete);
        CHECK(result.status == expected.status);
        CHECK(result.body == expected.body);
    }
};

} // namespace

TEST_CASE_METHOD(ResponseSyntaxFixture, "responseSyntax_rareValidForms_areRead", "[responses]")
{
    // Guards against a reader that rejects what upstreams soundly send.
    this->checkValid(validStatusLines());
    this->checkValid(validFields());
    this->checkValid(validChunks());
}

TEST_CASE_METHOD(ResponseSyntaxFixture, "httpClient_lengthBesideChunks_readsTheChunks",
                 "[responses]")
{
    // Guards against rejecting the streams of engines in the product's own dialect.
    const std::string body = "4\r\nbody\r\n0\r\n\r\n";
    for (const std::string &fields :
         {"Content-Length: 0\r\n" + chunkedField, chunkedField + length}) {
        const ReadResult result = readByHttpClient(framedBy(fields, body));
        CHECK(result.isComplete);
        CHECK(result.body == "body");
    }
}

TEST_CASE_METHOD(ResponseSyntaxFixture, "responseSyntax_brokenStatusLine_isNoResponse",
                 "[responses]")
{
    // Guards against a status such as 000 that reaches the caller.
    this->checkBrokenHeads(brokenStatusLines());
}

TEST_CASE_METHOD(ResponseSyntaxFixture, "responseSyntax_brokenField_isNoResponse", "[responses]")
{
    // Guards against a field that is passed on though it is none, and bodies that are framed or
    // coded in another way than the router believes.
    this->checkBrokenHeads(brokenFields());
}

TEST_CASE_METHOD(ResponseSyntaxFixture, "responseSyntax_brokenChunk_isNoResponse", "[responses]")
{
    // Guards against chunks that two readers delimit in two ways, so that the body that is passed
    // on is not the upstream's.
    this->checkBroken(brokenChunks());
}

TEST_CASE_METHOD(ResponseSyntaxFixture, "responseSyntax_endedAnywhere_isNotComplete", "[responses]")
{
    // Guards against a response cut in its head, or within its body, that looks whole.
    const std::string withLength = withField("X-A: b");
    const std::string inChunks = chunked("2;a\r\nbo\r\n2\r\ndy\r\n0\r\nX-A: b\r\n\r\n");
    for (const std::string &whole : {withLength, inChunks}) {
        REQUIRE(parse(whole, 1).isComplete);
        for (std::size_t size = 0; size < whole.size(); ++size) {
            const std::string part = whole.substr(0, size);
            INFO(part);
            CHECK_FALSE(parse(part, 1).isComplete);
            CHECK_FALSE(parse(part, whole.size()).isComplete);
            CHECK_FALSE(readByHttpClient(part).isComplete);
        }
    }
}
