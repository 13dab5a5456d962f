#include <random>

#include <asio/ip/address.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "parse.h"
#include "peer.pb.h"
#include "peercodec.h"
#include "platform.h"
#include "refusal.h"
#include "settings.h"

#include "../src/claims/entrycodec.h"

using namespace plantainswitch;

namespace {

constexpr std::uint64_t fixedSeed = 20'261'202;
constexpr std::size_t byteRounds = 4000;
constexpr std::size_t fieldRounds = 4000;

/// Damages valid samples; the same seed gives the same damage on every run.
class FuzzFixture
{
protected:
    std::size_t below(std::size_t limit) { return this->random() % limit; }

    /// \returns \a sample after a few random changes of bytes.
    std::string damagedBytes(std::string sample)
    {
        for (std::size_t changes = 1 + this->below(4); changes > 0 && !sample.empty(); --changes) {
            const std::size_t at = this->below(sample.size());
            switch (this->below(4)) {
            case 0:
                sample[at] = static_cast<char>(this->random());
                break;
            case 1:
                sample.erase(at, 1 + this->below(8));
                break;
            case 2:
                sample.insert(at, 1, static_cast<char>(this->random()));
                break;
            default:
                sample.insert(at, sample.substr(this->below(sample.size()), this->below(32)));
                break;
            }
        }
        return sample;
    }

    /// \returns a value that a careless or hostile writer might put in place of another.
    nlohmann::json oddValue()
    {
        static const std::vector<nlohmann::json> odd{nullptr,
                                                     true,
                                                     -1,
                                                     0,
                                                     65'536,
                                                     70'000,
                                                     1e300,
                                                     std::uint64_t{1} << 40,
                                                     "",
                                                     std::string(100'000, 'x'),
                                                     "\xc3\xa9",
                                                     nlohmann::json::array(),
                                                     nlohmann::json::object(),
                                                     {{"token", "secret"}},
                                                     {nullptr},
                                                     {"a", ""},
                                                     {{1, 2}, {3}}};
        return odd[this->below(odd.size())];
    }

    /// Replaces one value of \a document. \returns its path.
    std::string damageField(nlohmann::json &document)
    {
        const nlohmann::json flat = document.flatten();
        auto chosen = flat.begin();
        std::advance(chosen, static_cast<std::ptrdiff_t>(this->below(flat.size())));
        document[nlohmann::json::json_pointer(chosen.key())] = this->oddValue();
        return chosen.key();
    }

    std::mt19937_64 random{fixedSeed};
};

const std::string validSettings = R"({
    "id": "r0", "place": "hall-a", "workers": 4,
    "callers": { "address": "127.0.0.1", "port": 8080 },
    "operators": { "address": "127.0.0.1", "port": 8081 },
    "peer": { "address": "127.0.0.1", "datagramPort": 8082, "callPort": 8083 },
    "platform": { "url": "http://127.0.0.1:7000" },
    "largestBody": 65536, "lingerMilliseconds": 500,
    "log": { "format": "json", "level": "info" } })";

const std::vector<std::pair<EntryKind, std::string>> validEntries{
    {EntryKind::DataClass, R"({"owner":"o","places":["a","b"],"maxStaleSeconds":60})"},
    {EntryKind::Workspace,
     R"({"owner":"o","dataClass":"c","token":"secret","services":["m"],"requestsPerSecond":5,
         "maxInFlight":9,"weight":2,"priority":1})"},
    {EntryKind::Service,
     R"({"owner":"o","dataClass":"c","type":"plain","engineCapacity":8,"shards":4,
         "queueMilliseconds":100})"}};

/// A fault has to be one that an operator can act on: it has a path, and it stays short.
void checkFaults(const std::vector<Fault> &faults)
{
    constexpr std::size_t longestFault = 500;
    for (const Fault &fault : faults) {
        REQUIRE(fault.path.starts_with('/'));
        REQUIRE_FALSE(fault.found.empty());
        REQUIRE_FALSE(fault.allowed.empty());
        REQUIRE(toText(fault).size() < longestFault);
    }
}

bool isRelated(const std::string &first, const std::string &second)
{
    return first.starts_with(second) || second.starts_with(first);
}

std::string nested(std::size_t depth, const std::string &before, const std::string &after)
{
    return before + std::string(depth, '[') + std::string(depth, ']') + after;
}

constexpr std::size_t hostileDepth = 200'000;

} // namespace

TEST_CASE_METHOD(FuzzFixture, "settings_damagedBytes_giveSettingsOrFaults", "[fuzz]")
{
    for (std::size_t round = 0; round < byteRounds; ++round) {
        std::vector<Fault> faults;
        const auto settings = parseSettings(this->damagedBytes(validSettings), faults);
        REQUIRE(settings.has_value() == faults.empty());
        checkFaults(faults);
    }
}

TEST_CASE_METHOD(FuzzFixture, "settings_damagedField_isNamedByItsFault", "[fuzz]")
{
    for (std::size_t round = 0; round < fieldRounds; ++round) {
        nlohmann::json document = nlohmann::json::parse(validSettings);
        const std::string path = this->damageField(document);
        std::vector<Fault> faults;
        const auto settings = parseSettings(document.dump(), faults);
        REQUIRE(settings.has_value() == faults.empty());
        checkFaults(faults);
        for (const Fault &fault : faults) {
            INFO(path << " " << toText(fault));
            REQUIRE(isRelated(fault.path, path));
        }
    }
}

TEST_CASE_METHOD(FuzzFixture, "entry_damagedField_isNamedAndHidesTokens", "[fuzz]")
{
    for (std::size_t round = 0; round < fieldRounds; ++round) {
        const auto &[kind, text] = validEntries[round % validEntries.size()];
        nlohmann::json document = nlohmann::json::parse(text);
        const std::string path = this->damageField(document);
        std::vector<Fault> faults;
        const auto body = parseEntry(kind, document, faults);
        REQUIRE(body.has_value() == faults.empty());
        checkFaults(faults);
        for (const Fault &fault : faults) {
            INFO(path << " " << toText(fault));
            REQUIRE(isRelated(fault.path, path));
            REQUIRE((path != "/token" || fault.found.find("secret") == std::string::npos));
        }
    }
}

TEST_CASE_METHOD(FuzzFixture, "entry_acceptedBody_readsBackEqual", "[fuzz]")
{
    std::size_t accepted = 0;
    for (std::size_t round = 0; round < byteRounds; ++round) {
        const auto &[kind, text] = validEntries[round % validEntries.size()];
        std::vector<Fault> faults;
        const auto json = parseJson(this->damagedBytes(text), faults);
        const auto body = json ? parseEntry(kind, *json, faults) : std::nullopt;
        if (!body) {
            REQUIRE_FALSE(faults.empty());
            checkFaults(faults);
            continue;
        }
        ++accepted;
        const auto again = parseEntry(kind, toJson(*body), faults);
        REQUIRE(again);
        REQUIRE(toJson(*again) == toJson(*body));
    }
    CHECK(accepted > 0);
}

TEST_CASE_METHOD(FuzzFixture, "catalogue_randomBatches_versionsNeverFall", "[fuzz]")
{
    CatalogueTable table;
    std::map<std::string, std::uint64_t> highest;
    std::uint64_t seen = 0;
    constexpr std::size_t rounds = 500;
    for (std::size_t round = 0; round < rounds; ++round) {
        std::vector<Entry> batch;
        for (std::size_t each = this->below(5); each > 0; --each) {
            const std::string name = "class-" + std::to_string(this->below(8));
            const std::uint64_t version = 1 + this->below(1000);
            Entry entry{{EntryKind::DataClass, name}, version, std::nullopt};
            if (this->below(3) > 0) {
                entry.body = DataClass{std::to_string(version), {"a"}, 0};
            }
            highest[name] = std::max(highest[name], version);
            batch.push_back(std::move(entry));
        }
        table.merge(batch);
        for (const Entry &entry : table.entriesAbove(0)) {
            REQUIRE(entry.version == highest[entry.key.name]);
        }
        const std::uint64_t version = table.view() ? table.view()->version : 0;
        REQUIRE(version >= seen);
        seen = version;
    }
}

TEST_CASE("json_hostilelyNested_isAFaultAndNoCrash", "[fuzz]")
{
    // A value of the platform may be a megabyte: an entry that is nested 200,000 deep. Copying or
    // printing such a value recurses once a level, and the stack of every router that watches
    // the catalogue overflows at the same moment.
    const std::string text = nested(hostileDepth, R"({"owner":)", "}");
    std::vector<Fault> faults;
    CHECK_FALSE(parseJson(text, faults));
    CHECK_FALSE(faults.empty());
    CHECK_FALSE(parseSettings(text, faults));
    CHECK_FALSE(net::changesOf(R"({"version":1,"objects":[{"kind":"workspace","name":"w",)"
                               R"("version":1,"body":)"
                               + text + "}]}"));
}

TEST_CASE("json_sameFieldTwice_isAFault", "[fuzz]")
{
    // A chat names its model twice. The router would admit it by the last, an engine may run it
    // by the first: a request would be served that nobody admitted.
    std::vector<Fault> faults;
    CHECK_FALSE(parseJson(R"({"a":{"model":"x","model":"y"}})", faults));
    REQUIRE(faults.size() == 1);
    CHECK(faults.front().found.find("model") != std::string::npos);
    CHECK(parseJson(R"({"a":{"model":"x"},"b":{"model":"y"}})", faults));
}

TEST_CASE_METHOD(FuzzFixture, "callerRequest_damaged_isUnderstoodOrRefusedAsNotRun", "[fuzz]")
{
    constexpr std::size_t largestBody = 4096;
    const std::string body =
        R"({"model":"sharpen-llm","stream":true,"messages":[{"role":"user","content":"hob"}]})";
    for (std::size_t round = 0; round < byteRounds; ++round) {
        net::HttpRequest http;
        http.method = this->below(4) == 0 ? "GET" : "POST";
        http.path = this->below(3) == 0 ? this->damagedBytes("/services/job-desk/tickets")
                                        : "/v1/chat/completions";
        http.headers = {{"authorization", this->damagedBytes("Bearer token")},
                        {"x-chat-id", this->damagedBytes(std::string(199, 'c'))},
                        {"x-non-idempotent", this->below(2) == 0 ? "true" : "false"},
                        {"idempotency-key", this->below(3) == 0 ? "" : this->damagedBytes("key")}};
        http.body = this->damagedBytes(body);
        const std::string sent = http.body;
        Reason reason;
        const auto request = parseRequest(std::move(http), largestBody, reason);
        if (!request) {
            REQUIRE(errorRow(reason.kind).ran == Ran::No);
            REQUIRE(reason.kind != ErrorKind::Internal);
            REQUIRE(nlohmann::json::accept(refusalBody(reason, "1")));
            continue;
        }
        REQUIRE(request->body == sent);
        REQUIRE(request->chat.size() <= longestName);
        REQUIRE((!request->nonIdempotent || !request->idempotencyKey.empty()));
        REQUIRE_FALSE(request->service.empty());
    }
}

TEST_CASE("callerRequest_bodyBeyondTheLimit_isRefusedAsTooLarge", "[fuzz]")
{
    net::HttpRequest http;
    http.method = "POST";
    http.path = "/v1/chat/completions";
    http.body.assign(101, ' ');
    Reason reason;
    const auto request = parseRequest(std::move(http), 100, reason);
    CHECK_FALSE(request);
    CHECK(reason.kind == ErrorKind::TooLarge);
}

namespace {

Heartbeat heartbeatOf(std::string id, const Endpoint &datagrams, const Endpoint &calls)
{
    Heartbeat heartbeat;
    heartbeat.id = std::move(id);
    heartbeat.place = "hall-a";
    heartbeat.datagrams = datagrams;
    heartbeat.calls = calls;
    heartbeat.incarnation = 5;
    heartbeat.catalogueVersion = 6;
    heartbeat.leaving = true;
    return heartbeat;
}

std::vector<PeerMessage> validMessages()
{
    const Endpoint address{"10.0.0.1", 8082};
    const Shard shard{"model", "hall-a", 3};
    SwimMessage swim;
    swim.kind = SwimKind::PingRequest;
    swim.probe = 9;
    swim.from = heartbeatOf("r0", address, address);
    swim.target = address;
    swim.updates = {{heartbeatOf("r1", address, address), MemberState::Suspect}};
    return {{1, swim},
            {5, LeavingNotice{}},
            {2, SlotAsk{7, shard, 8, 9, {10, 11}}},
            {3, SlotReply{7, SlotVerdict::Overflow, 12}},
            {4, SlotRelease{13, {14, 15, 16}}},
            {5, ClaimAsk{{{1, 2}, 3, 4, 5}, 6}},
            {6, ClaimReply{4, ClaimVerdict::Taken, {{1, 2}, 3, 4, 5}}},
            {7, ClaimRelease{{1, 2}, 4}},
            {8, LimitReport{9, {{10, 11.5, 12, 13.5, 14}}}},
            {9, LimitShares{9, {{10, 15.5, 16}}}}};
}

void checkAddress(const Endpoint &endpoint)
{
    asio::error_code error;
    static_cast<void>(asio::ip::make_address(endpoint.host, error));
    REQUIRE_FALSE(error);
    REQUIRE(endpoint.port != 0);
}

void checkHeartbeat(const Heartbeat &heartbeat)
{
    checkAddress(heartbeat.datagrams);
    checkAddress(heartbeat.calls);
    REQUIRE_FALSE(heartbeat.id.empty());
}

} // namespace

TEST_CASE("datagram_validMessage_decodesToTheSame", "[fuzz]")
{
    for (const PeerMessage &message : validMessages()) {
        const std::string bytes = encode(message);
        const auto decoded = decode(bytes);
        REQUIRE(decoded);
        CHECK(decoded->sender == message.sender);
        CHECK(decoded->body.index() == message.body.index());
        CHECK(encode(*decoded) == bytes);
    }
}

TEST_CASE_METHOD(FuzzFixture, "datagram_damaged_isRefusedOrReadsBackEqual", "[fuzz]")
{
    const std::vector<PeerMessage> samples = validMessages();
    std::size_t accepted = 0;
    constexpr std::size_t rounds = 10 * byteRounds;
    for (std::size_t round = 0; round < rounds; ++round) {
        const auto message = decode(this->damagedBytes(encode(samples[round % samples.size()])));
        if (!message) {
            continue;
        }
        ++accepted;
        const std::string once = encode(*message);
        const auto again = decode(once);
        REQUIRE(again);
        REQUIRE(encode(*again) == once);
        if (const auto *swim = std::get_if<SwimMessage>(&message->body)) {
            checkHeartbeat(swim->from);
            if (swim->kind == SwimKind::PingRequest) {
                checkAddress(swim->target);
            }
            for (const MemberUpdate &update : swim->updates) {
                checkHeartbeat(update.member);
            }
        }
    }
    CHECK(accepted > 0);
}

TEST_CASE("pingRequest_withoutTarget_isRefused", "[fuzz]")
{
    // A datagram asks a router to probe somebody, and the field that names whom was lost. The
    // probe would go to no address at all, which can't be turned into an IP number: the router
    // that tries ends.
    const Endpoint good{"10.0.0.1", 2};
    SwimMessage swim;
    swim.from = heartbeatOf("r0", good, good);
    wire::Datagram request;
    REQUIRE(request.ParseFromString(encode({1, swim})));
    CHECK(decode(request.SerializeAsString()));
    request.mutable_swim()->set_kind(static_cast<std::uint32_t>(SwimKind::PingRequest));
    CHECK_FALSE(decode(request.SerializeAsString()));
}

TEST_CASE("swimMessage_longNames_staysWithinADatagram", "[fuzz]")
{
    // Operators give routers names of 200 bytes. Eight rumours beside the sender's heartbeat are
    // then larger than a datagram may be; every receiver refuses it, and the whole place comes
    // to think that nobody is there.
    const Endpoint good{"10.0.0.1", 2};
    SwimMessage swim;
    constexpr std::size_t longName = 200;
    swim.from = heartbeatOf(std::string(longName, 'r'), good, good);
    swim.updates.assign(SwimSettings{}.updatesInMessage,
                        {heartbeatOf(std::string(longName, 's'), good, good), MemberState::Alive});
    const auto decoded = decode(encode({1, swim}));
    REQUIRE(decoded);
    CHECK(std::get<SwimMessage>(decoded->body).from.id == swim.from.id);
}

TEST_CASE("heartbeat_withoutUsableAddress_isRefused", "[fuzz]")
{
    // One damaged heartbeat names a peer by "ghost" instead of an IP number. The next beat goes
    // to every member, the address can't be turned into one, and the router would end: each
    // router of the fleet that hears the datagram, at its next beat.
    const Endpoint good{"10.0.0.1", 2};
    SwimMessage swim;
    swim.from = heartbeatOf("r0", {"ghost", 1}, good);
    CHECK_FALSE(decode(encode({1, swim})));
    swim.from = heartbeatOf("r0", good, good);
    CHECK(decode(encode({1, swim})));
    swim.kind = SwimKind::PingRequest;
    swim.target = {"ghost", 1};
    CHECK_FALSE(decode(encode({1, swim})));
    swim.kind = SwimKind::Gossip;
    swim.updates = {{heartbeatOf("r1", good, {"ghost", 1}), MemberState::Alive}};
    CHECK_FALSE(decode(encode({1, swim})));
    wire::Datagram wide;
    wire::Heartbeat &from = *wide.mutable_swim()->mutable_from();
    from.set_id("r0");
    for (wire::Endpoint *endpoint : {from.mutable_datagrams(), from.mutable_calls()}) {
        endpoint->set_host("10.0.0.1");
        endpoint->set_port(65'536 + 22);
    }
    CHECK_FALSE(decode(wide.SerializeAsString()));
}

TEST_CASE("datagram_beyondTheLimit_isRefused", "[fuzz]")
{
    SlotRelease release{1, std::vector<std::uint32_t>(longestDatagram, 7)};
    CHECK_FALSE(decode(encode({1, release})));
}

TEST_CASE_METHOD(FuzzFixture, "sse_anySplit_givesTheSameEvents", "[fuzz]")
{
    const std::string stream = ": hello\n\ndata: {\"id\":\"a\"}\r\n\r\nevent: x\ndata:one\ndata: "
                               "two\n\ndata:\n\ndata: [DONE]\n\n";
    for (std::size_t round = 0; round < byteRounds; ++round) {
        const std::string bytes = this->damagedBytes(stream);
        SseParser whole;
        std::vector<std::string> wholeEvents;
        const bool wholeOk = whole.feed(bytes, wholeEvents);
        SseParser split;
        std::vector<std::string> splitEvents;
        bool splitOk = true;
        for (std::size_t at = 0; at < bytes.size() && splitOk;) {
            const std::size_t size = 1 + this->below(7);
            splitOk = split.feed(std::string_view(bytes).substr(at, size), splitEvents);
            at += size;
        }
        REQUIRE(wholeOk == splitOk);
        REQUIRE(wholeEvents == splitEvents);
        REQUIRE((!wholeOk || whole.hasRemainder() == split.hasRemainder()));
    }
}

TEST_CASE_METHOD(FuzzFixture, "sse_parserThatForgetsPieces_isCaughtBySplitting", "[fuzz]")
{
    // The check above has to be able to fail: a parser made anew for each piece forgets the line
    // that was cut, so splitting must show a difference.
    const std::string bytes = "data: one\n\ndata: two\n\n";
    std::vector<std::string> events;
    for (const char byte : bytes) {
        SseParser forgetful;
        static_cast<void>(forgetful.feed(std::string_view(&byte, 1), events));
    }
    CHECK(events != std::vector<std::string>{"one", "two"});
}

TEST_CASE_METHOD(FuzzFixture, "sse_endlessEvent_isRefusedInBoundedMemory", "[fuzz]")
{
    const bool oneLine = GENERATE(true, false);
    const std::string chunk =
        oneLine ? std::string(1000, 'x') : "data: " + std::string(992, 'x') + "\n";
    SseParser parser;
    std::vector<std::string> events;
    std::size_t taken = 0;
    while (parser.feed(chunk, events)) {
        taken += chunk.size();
        REQUIRE(taken <= 2 * longestEvent);
    }
    CHECK(events.empty());
}

TEST_CASE_METHOD(FuzzFixture, "chatEvent_damaged_neverPassesUnderAnotherAttempt", "[fuzz]")
{
    const std::string event =
        R"({"id":"attempt-7","choices":[{"delta":{"content":"a"},"finish_reason":null}]})";
    for (std::size_t round = 0; round < byteRounds; ++round) {
        const std::string damaged = this->damagedBytes(event);
        StreamProgress progress;
        REQUIRE_FALSE(acceptEvent(damaged, "attempt-8-of-another", progress));
        REQUIRE(progress.events == 0);
        if (acceptEvent(damaged, "attempt-7", progress)) {
            REQUIRE(nlohmann::json::parse(damaged)["id"] == "attempt-7");
        }
    }
}

TEST_CASE_METHOD(FuzzFixture, "platformAnswer_damaged_isRefusedOrUsable", "[fuzz]")
{
    const nlohmann::json valid = nlohmann::json::parse(
        R"({"version":9,"objects":[{"kind":"workspace","name":"w","version":7,"body":{"a":1}},
            {"kind":"service","name":"s","version":9,"body":null}]})");
    for (std::size_t round = 0; round < fieldRounds; ++round) {
        nlohmann::json document = valid;
        this->damageField(document);
        const std::string text =
            this->below(2) == 0 ? document.dump() : this->damagedBytes(valid.dump());
        const auto changes = net::changesOf(text);
        for (const net::PlatformObject &object :
             changes ? changes->objects : std::vector<net::PlatformObject>{}) {
            REQUIRE_FALSE(object.kind.empty());
            REQUIRE_FALSE(object.name.empty());
        }
    }
}

TEST_CASE_METHOD(FuzzFixture, "claimRecord_damagedField_isRefusedOrReadsBackEqual", "[fuzz]")
{
    const ClaimLogEntry entry{{{1, 2}, 3, 4, 5}, false};
    const nlohmann::json batch = encodeBatch({9, "nonce", 10, {entry}});
    const nlohmann::json segment = encodeSegment({11, 12, 13, {entry}});
    for (std::size_t round = 0; round < fieldRounds; ++round) {
        nlohmann::json document = batch;
        this->damageField(document);
        if (const auto read = decodeBatch(document)) {
            REQUIRE(decodeBatch(encodeBatch(*read)));
        }
        document = segment;
        this->damageField(document);
        if (const auto read = decodeSegment(document)) {
            REQUIRE(decodeSegment(encodeSegment(*read)));
        }
    }
    REQUIRE(encodeBatch(*decodeBatch(batch)) == batch);
    REQUIRE(encodeSegment(*decodeSegment(segment)) == segment);
}

TEST_CASE("platformAnswer_versionAsText_isRefused", "[fuzz]")
{
    // A proxy before the platform answers in its place with JSON of another shape. Reading the
    // version threw, on every router's watch at once, and ended each of them.
    CHECK_FALSE(net::changesOf(R"({"version":"9","objects":[]})"));
    CHECK_FALSE(net::changesOf(R"({"version":-1,"objects":[]})"));
    CHECK_FALSE(net::changesOf(R"({"version":9,"objects":{}})"));
    CHECK_FALSE(net::changesOf("<html>"));
    CHECK(net::changesOf(R"({"version":9,"objects":[]})"));
}

TEST_CASE_METHOD(FuzzFixture, "platformVm_damaged_isLeftOutOrUsable", "[fuzz]")
{
    const nlohmann::json valid = nlohmann::json::parse(
        R"([{"id":"e1","role":"engine","service":"m","place":"a","host":"10.0.0.1","port":9000,
             "leaving":false},
            {"id":"r1","role":"router","place":"a","host":"10.0.0.2","port":8082}])");
    for (std::size_t round = 0; round < fieldRounds; ++round) {
        nlohmann::json document = valid;
        this->damageField(document);
        const auto vms = net::vmsOf(document.dump());
        for (const Vm &vm : vms ? *vms : std::vector<Vm>{}) {
            checkAddress(vm.endpoint);
            REQUIRE_FALSE(vm.id.empty());
        }
    }
}
