#include "enginestandin.h"

#include <atomic>
#include <mutex>

#include <asio/steady_timer.hpp>

#include "answers.h"
#include "enginesetup.h"

namespace plantainswitch::lab {

namespace {

using nlohmann::json;
using ReplyPointer = std::shared_ptr<net::HttpResponder>;

constexpr int statusOk = 200;
constexpr int statusBad = 400;
constexpr int statusNotFound = 404;
constexpr int statusUnavailable = 503;
constexpr std::uint32_t defaultTokens = 16;
/// A prompt with this text crashes the engine that runs it.
constexpr std::string_view crashMark = "crash-the-engine";
/// Time after a crash in which the engine takes nothing.
constexpr std::chrono::milliseconds restartTime{300};

struct Call
{
    ReplyPointer reply;
    std::uint64_t promptHash = 0;
    std::uint32_t cached = 0;
    std::uint32_t promptTokens = 0;
    bool stream = false;
    std::string text;
    /// Events sent so far, so that a broken stream can be resumed.
    std::vector<std::string> sent;
    bool ended = false;
    TimePoint taken;
};

std::int64_t nanosecondsOf(TimePoint instant)
{
    return Duration(instant.time_since_epoch()).count();
}

void respond(net::HttpResponder &reply, int status, const json &body)
{
    reply.respond(status, {{"content-type", "application/json"}}, body.dump());
}

json usageOf(const Call &call, std::uint32_t made)
{
    return {{"prompt_tokens", call.promptTokens},
            {"completion_tokens", made},
            {"prompt_tokens_details", {{"cached_tokens", call.cached}}}};
}

} // namespace

struct EngineStandIn::State : public std::enable_shared_from_this<EngineStandIn::State>
{
    State(asio::io_context &context, Vm vm, EngineSpeed speed)
        : vm(std::move(vm))
        , model(speed)
        , timer(context)
    {}

    void serve(const net::HttpRequest &request, const ReplyPointer &reply);
    void serveChat(const net::HttpRequest &request, const ReplyPointer &reply);
    void serveResume(const net::HttpRequest &request, const ReplyPointer &reply);
    void dropStreams();
    void watchCaller(const std::string &id, const ReplyPointer &reply);
    void crash();
    void scheduleStep();
    void step();
    void deliver(const EngineToken &token);

    Vm vm;
    mutable std::mutex mutex;
    EngineModel model;
    SimulatedSetup setup;
    asio::steady_timer timer;
    std::map<std::string, Call> calls;
    bool leaving = false;
    bool stepping = false;
    TimePoint downUntil;
    std::atomic<std::uint64_t> crashes = 0;
    std::atomic<std::uint64_t> cachedTokens = 0;
    std::atomic<std::uint64_t> promptTokens = 0;
};

void EngineStandIn::State::serve(const net::HttpRequest &request, const ReplyPointer &reply)
{
    const std::lock_guard lock(this->mutex);
    if (request.path == "/v1/chat/completions" && request.method == "POST") {
        this->serveChat(request, reply);
    } else if (request.path == "/load") {
        respond(*reply, statusOk,
                {{"load", this->model.load()},
                 {"queued", this->model.queued()},
                 {"cachedTokens", this->model.cachedTokens()},
                 {"leaving", this->leaving}});
    } else if (request.path == "/orders") {
        const auto [status, answer] = this->setup.serve(request.method, request.body);
        respond(*reply, status, answer);
    } else if (request.path == "/control" && request.method == "PUT") {
        const json wanted = json::parse(request.body, nullptr, false);
        this->leaving = wanted.is_object() && wanted.value("leaving", false);
        respond(*reply, statusOk, json::object());
    } else {
        respond(*reply, statusNotFound, {{"error", "no such path"}});
    }
}

void EngineStandIn::State::serveChat(const net::HttpRequest &request, const ReplyPointer &reply)
{
    if (this->setup.loading()) {
        reply->respond(statusUnavailable, {{"x-ran", "no"}}, "loading");
        return;
    }
    if (this->leaving) {
        reply->respond(statusUnavailable, {{"x-ran", "no"}, {"x-leaving", "true"}}, "leaving");
        return;
    }
    if (!request.header("x-resume-attempt").empty()) {
        this->serveResume(request, reply);
        return;
    }
    if (std::chrono::steady_clock::now() < this->downUntil) {
        reply->respond(statusUnavailable, {{"x-ran", "no"}}, "restarting");
        return;
    }
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("messages") || !body["messages"].is_array()) {
        respond(*reply, statusBad, {{"error", "no messages"}});
        return;
    }
    if (request.body.find(crashMark) != std::string::npos) {
        this->crash();
        reply->start(statusOk, {});
        reply->abort();
        return;
    }
    EngineRequest work;
    work.id = std::string(request.header("x-request-id"));
    work.prompt = blocksOf(body["messages"]);
    work.answerTokens = body.value("max_tokens", defaultTokens);
    Call call;
    call.reply = reply;
    call.stream = body.value("stream", false);
    call.taken = std::chrono::steady_clock::now();
    call.promptHash = work.prompt.empty() ? 0 : work.prompt.back().prefixHash;
    for (const PromptBlock &block : work.prompt) {
        call.promptTokens += block.tokens;
    }
    const std::string id = work.id;
    call.cached = this->model.submit(std::move(work));
    this->cachedTokens += call.cached;
    this->promptTokens += call.promptTokens;
    this->watchCaller(id, reply);
    if (call.stream) {
        reply->start(statusOk, {{"content-type", "text/event-stream"}, {"x-request-id", id}});
    }
    this->calls[id] = std::move(call);
    this->scheduleStep();
}

void EngineStandIn::State::watchCaller(const std::string &id, const ReplyPointer &reply)
{
    reply->onDisconnect([weak = this->weak_from_this(), id] {
        if (const auto self = weak.lock()) {
            const std::lock_guard lock(self->mutex);
            self->model.cancel(id);
            self->calls.erase(id);
        }
    });
}

void EngineStandIn::State::serveResume(const net::HttpRequest &request, const ReplyPointer &reply)
{
    const std::string id(request.header("x-resume-attempt"));
    const auto found = this->calls.find(id);
    const auto had = std::stoul("0" + std::string(request.header("x-resume-events")));
    if (found == this->calls.end() || !found->second.stream || had > found->second.sent.size()) {
        respond(*reply, statusNotFound, {{"error", "no such stream"}});
        return;
    }
    Call &call = found->second;
    reply->start(statusOk, {{"content-type", "text/event-stream"}, {"x-request-id", id}});
    std::string rest;
    for (std::size_t index = had; index < call.sent.size(); ++index) {
        rest += call.sent[index];
    }
    if (call.ended && had == call.sent.size()) {
        rest = "data: [DONE]\n\n";
    }
    reply->write(std::move(rest), nullptr);
    if (call.ended) {
        reply->end();
        this->calls.erase(found);
        return;
    }
    call.reply = reply;
    this->watchCaller(id, reply);
}

/// Breaks the connections of all streams; the engine goes on and keeps them for a resume.
void EngineStandIn::State::dropStreams()
{
    for (auto &[id, call] : this->calls) {
        if (call.stream && call.reply) {
            call.reply->abort();
            call.reply.reset();
        }
    }
}

void EngineStandIn::State::crash()
{
    ++this->crashes;
    this->downUntil = std::chrono::steady_clock::now() + restartTime;
    for (auto &[id, call] : this->calls) {
        if (!call.reply) {
            continue;
        }
        if (!call.stream) {
            call.reply->start(statusOk, {});
        }
        call.reply->abort();
    }
    this->calls.clear();
    this->model.clear();
}

void EngineStandIn::State::scheduleStep()
{
    if (this->stepping || this->model.load() == 0) {
        return;
    }
    this->stepping = true;
    this->timer.expires_after(this->model.speedSettings().step);
    this->timer.async_wait([self = this->shared_from_this()](const asio::error_code &error) {
        if (!error) {
            const std::lock_guard lock(self->mutex);
            self->stepping = false;
            self->step();
            self->scheduleStep();
        }
    });
}

void EngineStandIn::State::step()
{
    for (const EngineToken &token : this->model.step()) {
        this->deliver(token);
    }
}

void EngineStandIn::State::deliver(const EngineToken &token)
{
    const auto found = this->calls.find(token.id);
    if (found == this->calls.end()) {
        return;
    }
    Call &call = found->second;
    const std::string word = answerWord(call.promptHash, token.index);
    const json finish = token.last ? json("stop") : json();
    if (call.stream) {
        json event{{"id", token.id},
                   {"object", "chat.completion.chunk"},
                   {"choices",
                    {{{"index", 0}, {"delta", {{"content", word}}}, {"finish_reason", finish}}}},
                   {"taken_ns", nanosecondsOf(call.taken)},
                   {"sent_ns", nanosecondsOf(std::chrono::steady_clock::now())}};
        std::string text;
        if (token.last) {
            event["usage"] = usageOf(call, token.index + 1);
            text = "data: " + event.dump() + "\n\ndata: [DONE]\n\n";
        } else {
            text = "data: " + event.dump() + "\n\n";
        }
        call.sent.push_back(text);
        call.ended = token.last;
        if (!call.reply) {
            return;
        }
        call.reply->write(std::move(text), nullptr);
        if (token.last) {
            call.reply->end();
        }
    } else {
        call.text += word;
        if (token.last) {
            respond(*call.reply, statusOk,
                    {{"id", token.id},
                     {"object", "chat.completion"},
                     {"choices",
                      {{{"index", 0},
                        {"message", {{"role", "assistant"}, {"content", call.text}}},
                        {"finish_reason", finish}}}},
                     {"usage", usageOf(call, token.index + 1)}});
        }
    }
    if (token.last) {
        this->calls.erase(found);
    }
}

EngineStandIn::EngineStandIn(asio::io_context &context, const Vm &vm, EngineSpeed speed)
    : state(std::make_shared<State>(context, vm, speed))
    , server(std::make_unique<net::HttpServer>(
          context, net::HttpServerOptions{vm.endpoint.host, vm.endpoint.port},
          [state = this->state](const net::HttpRequest &request, const ReplyPointer &reply) {
              state->serve(request, reply);
          }))
{}

EngineStandIn::~EngineStandIn()
{
    std::map<std::string, Call> open;
    const std::lock_guard lock(this->state->mutex);
    open.swap(this->state->calls);
}

void EngineStandIn::open()
{
    this->server->open();
}

void EngineStandIn::dropStreams()
{
    const std::lock_guard lock(this->state->mutex);
    this->state->dropStreams();
}

std::uint64_t EngineStandIn::crashes() const
{
    return this->state->crashes;
}

std::pair<std::uint64_t, std::uint64_t> EngineStandIn::reuse() const
{
    return {this->state->cachedTokens, this->state->promptTokens};
}

std::size_t EngineStandIn::load() const
{
    const std::lock_guard lock(this->state->mutex);
    return this->state->model.load();
}

const Vm &EngineStandIn::vm() const noexcept
{
    return this->state->vm;
}

void EngineStandIn::setChecksFencing(bool checks)
{
    const std::lock_guard lock(this->state->mutex);
    this->state->setup.checksFencing = checks;
}

EngineSetup EngineStandIn::setup() const
{
    const std::lock_guard lock(this->state->mutex);
    return this->state->setup.current;
}

void EngineStandIn::setLeaving(bool leaving)
{
    const std::lock_guard lock(this->state->mutex);
    this->state->leaving = leaving;
}

} // namespace plantainswitch::lab
