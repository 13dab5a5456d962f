#include "requestpath.h"

#include <mutex>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "parse.h"

namespace plantainswitch {

namespace {

constexpr int mostAttempts = 3;
constexpr std::chrono::seconds upstreamSilence{60};
constexpr std::size_t largestAnswer = 16 << 20;
/// Bytes that may wait for a slow caller before its upstream is paused.
constexpr std::size_t mostUnflushed = 256 << 10;
constexpr int statusOk = 200;
constexpr int statusUnavailable = 503;

/// One request on its way. Its steps follow one another, on whichever thread; only the caller's
/// leaving comes from aside.
class Passage : public std::enable_shared_from_this<Passage>
{
public:
    Passage(Node &node, std::shared_ptr<Slots> slots, net::HttpClient &client,
            std::shared_ptr<net::HttpReply> reply)
        : node(node)
        , slots(std::move(slots))
        , client(client)
        , reply(std::move(reply))
        , began(node.clock.now())
    {
        ++this->node.inFlight;
        this->id =
            fmt::format("{:08x}-{}", static_cast<std::uint32_t>(node.identity), node.nextRequest++);
    }

    ~Passage() { --this->node.inFlight; }
    Passage(const Passage &) = delete;
    Passage &operator=(const Passage &) = delete;

    void run(net::HttpRequest http);

private:
    void admitCaller();
    void place();
    void dispatch(HeldSlot held);
    net::HttpCall callTo(const Upstream &upstream) const;
    void relayHeaders(int status, const net::Headers &headers);
    bool relayData(std::string_view bytes);
    bool relayStream(std::string_view bytes);
    void upstreamEnded(net::HttpEnd end, const std::string &detail);
    void answerWhole();
    void retryOrRefuse(const Reason &reason, bool mayRepeat);
    void cut(const Reason &reason);
    void refuseWith(const Reason &reason);
    void releaseSlot();
    void account();
    void callerGone();
    void note(std::string step) { this->explanation.steps.push_back(std::move(step)); }

    Node &node;
    std::shared_ptr<Slots> slots;
    net::HttpClient &client;
    std::shared_ptr<net::HttpReply> reply;
    TimePoint began;
    std::string id;
    CallerRequest request;
    Admission admission;
    std::shared_ptr<SlotNeed> need;
    std::optional<HeldSlot> slot;
    std::string attempt;
    int attempts = 0;

    int status = 0;
    net::Headers headers;
    std::string body;
    SseParser parser;
    StreamProgress progress;
    bool started = false;
    bool garbage = false;
    std::atomic<std::size_t> unflushed = 0;

    std::mutex exchangeMutex;
    std::shared_ptr<net::HttpExchange> exchange;
    std::atomic<bool> gone = false;
    Explanation explanation;
};

void Passage::run(net::HttpRequest http)
{
    this->node.metrics.count(Counter::Requests);
    this->explanation.requestId = this->id;
    Reason reason;
    auto parsed = parseRequest(std::move(http), this->node.settings.largestBody, reason);
    if (!parsed) {
        this->refuseWith(reason);
        return;
    }
    this->request = std::move(*parsed);
    this->reply->onGone([weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->callerGone();
        }
    });
    this->admitCaller();
}

void Passage::admitCaller()
{
    const auto view = this->node.catalogue.view();
    const auto confirmed = this->node.catalogue.confirmedAt();
    if (!view) {
        this->refuseWith({ErrorKind::NoCatalogue, "", std::nullopt});
        return;
    }
    const Duration staleness = confirmed ? this->began - *confirmed : Duration{0};
    Reason reason;
    auto admitted = admit(*view, this->request.token, this->request.service, staleness, reason);
    if (!admitted) {
        this->refuseWith(reason);
        return;
    }
    this->admission = std::move(*admitted);
    const bool modelService = this->admission.serviceEntry.type == ServiceType::Model;
    if (modelService != this->request.model) {
        this->refuseWith({ErrorKind::NotFound, "the service is of another type", std::nullopt});
        return;
    }
    this->note(fmt::format("workspace {} class {} catalogue {} permitted {}",
                           this->admission.workspace, this->admission.limits.dataClass,
                           this->admission.catalogueVersion,
                           fmt::join(this->admission.places, ",")));
    this->place();
}

void Passage::place()
{
    const std::string &chat = this->request.chat.empty() ? this->id : this->request.chat;
    const std::uint64_t chatHash = mixHash(hashOf(this->admission.workspace), hashOf(chat));
    Reason reason;
    auto plan = planPlacement(this->admission, chatHash, this->node.upstreams,
                              this->node.clock.now(), reason);
    if (!plan) {
        this->refuseWith(reason);
        return;
    }
    auto next = std::make_shared<SlotNeed>();
    next->plan = std::move(*plan);
    next->chat = chatHash;
    next->fingerprint = hashOf(this->request.body, hashOf(this->admission.workspace));
    if (this->need) {
        next->avoid = this->need->avoid;
    }
    this->need = next;
    this->slots->acquire(
        next, [self = this->shared_from_this()](std::string step) { self->note(std::move(step)); },
        [self = this->shared_from_this()](std::optional<HeldSlot> held, const Reason &why) {
            if (!held) {
                self->refuseWith(why);
                return;
            }
            self->dispatch(std::move(*held));
        });
}

net::HttpCall Passage::callTo(const Upstream &upstream) const
{
    net::HttpCall call;
    call.method = this->request.method;
    call.url = "http://" + toText(upstream.vm.endpoint) + this->request.path;
    call.headers["x-request-id"] = this->attempt;
    call.headers["x-workspace"] = this->admission.workspace;
    call.headers["x-priority"] = std::to_string(this->admission.limits.priority);
    if (!this->request.contentType.empty()) {
        call.headers["content-type"] = this->request.contentType;
    }
    if (!this->request.idempotencyKey.empty()) {
        call.headers["idempotency-key"] = this->request.idempotencyKey;
    }
    call.body = this->request.body;
    call.silenceTimeout = upstreamSilence;
    call.freshConnection = this->request.nonIdempotent;
    return call;
}

void Passage::dispatch(HeldSlot held)
{
    this->slot = std::move(held);
    if (this->gone) {
        this->releaseSlot();
        this->account();
        return;
    }
    ++this->attempts;
    this->attempt = fmt::format("{}.{}", this->id, this->attempts);
    this->status = 0;
    this->body.clear();
    this->parser = {};
    this->progress = {};
    this->garbage = false;
    this->note("attempt " + this->attempt + " to " + this->slot->upstream.vm.id);
    this->node.metrics.record(Timing::Placement, this->admission.workspace,
                              this->admission.limits.dataClass,
                              this->node.clock.now() - this->began);
    net::HttpEvents events;
    const auto self = this->shared_from_this();
    events.onHeaders = [self](int code, const net::Headers &fields) {
        self->relayHeaders(code, fields);
    };
    events.onData = [self](std::string_view bytes) { return self->relayData(bytes); };
    events.onEnd = [self](net::HttpEnd end, const std::string &detail) {
        self->upstreamEnded(end, detail);
    };
    const std::lock_guard lock(this->exchangeMutex);
    this->exchange = this->client.start(this->callTo(this->slot->upstream), std::move(events));
}

void Passage::relayHeaders(int code, const net::Headers &fields)
{
    this->status = code;
    this->headers = fields;
    this->node.metrics.record(Timing::FirstByte, this->admission.workspace,
                              this->admission.limits.dataClass,
                              this->node.clock.now() - this->began);
}

bool Passage::relayData(std::string_view bytes)
{
    if (this->garbage) {
        return true;
    }
    if (this->request.stream && this->status == statusOk) {
        return this->relayStream(bytes);
    }
    if (this->body.size() + bytes.size() > largestAnswer) {
        this->garbage = true;
        return true;
    }
    this->body.append(bytes);
    return true;
}

bool Passage::relayStream(std::string_view bytes)
{
    if (this->unflushed > mostUnflushed) {
        return false;
    }
    std::vector<std::string> events;
    bool good = this->parser.feed(bytes, events);
    std::string chunk;
    for (const std::string &event : events) {
        good = good && acceptEvent(event, this->attempt, this->progress);
        if (!good) {
            break;
        }
        chunk += "data: " + event + "\n\n";
    }
    if (!good) {
        this->garbage = true;
        const std::lock_guard lock(this->exchangeMutex);
        this->exchange->cancel();
    }
    if (chunk.empty() || this->gone) {
        return true;
    }
    if (!this->started) {
        this->started = true;
        this->reply->start(statusOk, {{"content-type", "text/event-stream"},
                                      {"cache-control", "no-store"},
                                      {"x-request-id", this->id}});
    }
    const std::size_t size = chunk.size();
    this->unflushed += size;
    this->reply->write(std::move(chunk), [self = this->shared_from_this(), size](bool) {
        const std::size_t before = self->unflushed.fetch_sub(size);
        if (before > mostUnflushed && before - size <= mostUnflushed) {
            const std::lock_guard lock(self->exchangeMutex);
            self->exchange->resume();
        }
    });
    return true;
}

void Passage::upstreamEnded(net::HttpEnd end, const std::string &detail)
{
    const Upstream upstream = this->slot->upstream;
    this->releaseSlot();
    if (this->gone) {
        this->node.metrics.count(Counter::CallersGone);
        logEvent(Event::CallerGone, {{"request", this->id}});
        this->account();
        return;
    }
    if (this->garbage) {
        logEvent(Event::UpstreamGarbage, {{"request", this->id}, {"upstream", upstream.vm.id}});
        this->cut({ErrorKind::UpstreamGarbage, "", std::nullopt});
        return;
    }
    if (end == net::HttpEnd::NotConnected) {
        logEvent(Event::UpstreamUnreachable, {{"upstream", upstream.vm.id}, {"why", detail}});
        this->node.upstreams.markUnreachable(upstream.shortId, this->node.clock.now());
        this->need->avoid.push_back(upstream.shortId);
        this->retryOrRefuse({ErrorKind::UpstreamUnreachable, detail, std::nullopt}, true);
        return;
    }
    if (end != net::HttpEnd::Whole) {
        this->need->avoid.push_back(upstream.shortId);
        this->retryOrRefuse({ErrorKind::UpstreamFailed, detail, std::nullopt},
                            !this->request.nonIdempotent);
        return;
    }
    if (this->status == statusUnavailable && this->headers["x-ran"] == "no") {
        if (this->headers["x-leaving"] == "true") {
            logEvent(Event::UpstreamLeaving, {{"upstream", upstream.vm.id}});
            this->node.upstreams.markLeaving(upstream.vm.id);
        }
        this->need->avoid.push_back(upstream.shortId);
        this->retryOrRefuse({ErrorKind::Overloaded, "the engine refused", std::nullopt}, true);
        return;
    }
    this->answerWhole();
}

void Passage::answerWhole()
{
    if (this->request.stream && this->status == statusOk) {
        if (!this->progress.done || this->parser.hasRemainder()) {
            this->retryOrRefuse({ErrorKind::UpstreamFailed, "the stream ended early", {}},
                                !this->request.nonIdempotent);
            return;
        }
        this->reply->end();
    } else {
        const bool model = this->request.model && this->status == statusOk;
        if (model && !isWholeAnswer(this->body, this->attempt)) {
            this->cut({ErrorKind::UpstreamGarbage, "", std::nullopt});
            return;
        }
        const auto type = this->headers.find("content-type");
        this->reply->respond(
            this->status,
            {{"content-type", type == this->headers.end() ? "application/json" : type->second},
             {"x-request-id", this->id}},
            std::move(this->body));
    }
    this->node.metrics.count(Counter::AnswersWhole);
    this->node.metrics.record(Timing::Whole, this->admission.workspace,
                              this->admission.limits.dataClass,
                              this->node.clock.now() - this->began);
    logEvent(Event::RequestDone, {{"request", this->id}, {"workspace", this->admission.workspace}});
    this->account();
}

void Passage::retryOrRefuse(const Reason &reason, bool mayRepeat)
{
    if (this->started) {
        this->cut({ErrorKind::AnswerCut, reason.detail, std::nullopt});
        return;
    }
    if (!mayRepeat || this->attempts >= mostAttempts) {
        this->refuseWith(reason);
        return;
    }
    this->node.metrics.count(Counter::Retries);
    this->place();
}

void Passage::cut(const Reason &reason)
{
    if (!this->started) {
        this->refuseWith(reason);
        return;
    }
    // The caller already has a part. An error event without [DONE] and a broken chunk encoding
    // tell it that this is not the whole answer; a clean end would look complete.
    const ErrorKind kind = ErrorKind::AnswerCut;
    this->node.metrics.count(Counter::AnswersCut);
    logEvent(Event::AnswerCut, {{"request", this->id}, {"why", reason.detail}});
    this->reply->write("event: error\ndata: "
                           + refusalBody({kind, reason.detail, std::nullopt}, this->id) + "\n\n",
                       nullptr);
    this->reply->abort();
    this->account();
}

void Passage::refuseWith(const Reason &reason)
{
    this->node.metrics.countRefusal(reason.kind);
    this->note("refused: " + std::string(errorRow(reason.kind).name) + " " + reason.detail);
    logEvent(Event::RequestRefused, {{"request", this->id},
                                     {"kind", std::string(errorRow(reason.kind).name)},
                                     {"detail", reason.detail}});
    refuse(*this->reply, reason, this->id);
    this->account();
}

void Passage::releaseSlot()
{
    if (this->slot) {
        this->slots->release(*this->slot);
        this->slot.reset();
    }
}

void Passage::account()
{
    this->node.explain.keep(std::move(this->explanation));
}

void Passage::callerGone()
{
    this->gone = true;
    const std::lock_guard lock(this->exchangeMutex);
    if (this->exchange) {
        this->exchange->cancel();
    }
}

} // namespace

RequestPath::RequestPath(Node &node, std::shared_ptr<Slots> slots,
                         std::vector<net::HttpClient *> clients)
    : node(node)
    , slots(std::move(slots))
    , clients(std::move(clients))
{}

void RequestPath::serve(net::HttpRequest request, std::shared_ptr<net::HttpReply> reply)
{
    net::HttpClient &client = *this->clients[this->nextClient++ % this->clients.size()];
    auto passage = std::make_shared<Passage>(this->node, this->slots, client, std::move(reply));
    passage->run(std::move(request));
}

std::string refusalBody(const Reason &reason, const std::string &requestId)
{
    const ErrorRow &row = errorRow(reason.kind);
    nlohmann::ordered_json error{{"kind", row.name},
                                 {"message", row.sentence},
                                 {"detail", reason.detail},
                                 {"ran", nameOf(row.ran)},
                                 {"request", requestId}};
    const std::optional<int> retry = reason.retryAfter ? reason.retryAfter : row.retryAfter;
    error["retryAfterSeconds"] = retry ? nlohmann::ordered_json(*retry) : nlohmann::ordered_json();
    return nlohmann::ordered_json{{"error", error}}.dump(-1, ' ', false,
                                                         nlohmann::json::error_handler_t::replace);
}

void refuse(net::HttpReply &reply, const Reason &reason, const std::string &requestId)
{
    const ErrorRow &row = errorRow(reason.kind);
    net::Headers headers{{"content-type", "application/json"}, {"x-request-id", requestId}};
    const std::optional<int> retry = reason.retryAfter ? reason.retryAfter : row.retryAfter;
    if (retry) {
        headers["retry-after"] = std::to_string(*retry);
    }
    reply.respond(row.status, headers, refusalBody(reason, requestId));
}

} // namespace plantainswitch
