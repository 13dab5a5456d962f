#include "load.h"

#include <map>
#include <mutex>
#include <random>

#include <asio/bind_executor.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>
#include <boost/histogram.hpp>
#include <fmt/format.h>

#include "answers.h"
#include "httpclient.h"

namespace plantainswitch::lab {

namespace {

using nlohmann::json;
namespace bh = boost::histogram;

constexpr int statusOk = 200;
constexpr unsigned binCount = 48;
constexpr double leastSeconds = 1e-4;
constexpr double mostSeconds = 100.0;
constexpr std::size_t longestHistory = 24;
constexpr std::size_t firstMessageBytes = 1200;
constexpr std::size_t turnBytes = 160;
constexpr std::chrono::seconds patience{60};
/// Popularity of chats falls with this power of their rank.
constexpr double popularityPower = 0.9;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Histogram = decltype(bh::make_histogram(Axis(binCount, leastSeconds, mostSeconds)));

Histogram newHistogram()
{
    return bh::make_histogram(Axis(binCount, leastSeconds, mostSeconds));
}

/// \returns the upper edge of the bin in which that share of the values is reached.
double quantileOf(const Histogram &histogram, double share)
{
    double total = 0;
    for (auto &&bin : bh::indexed(histogram, bh::coverage::all)) {
        total += *bin;
    }
    double sum = 0;
    for (int bin = -1; bin <= static_cast<int>(binCount); ++bin) {
        sum += histogram.at(bin);
        if (total > 0 && sum >= share * total) {
            return histogram.axis().bin(bin).upper();
        }
    }
    return 0;
}

struct Chat
{
    std::string id;
    std::string token;
    json messages = json::array();
    bool busy = false;
};

struct Turn
{
    std::size_t chat = 0;
    std::uint64_t promptHash = 0;
    TimePoint began;
    std::optional<TimePoint> firstEvent;
    SseParser parser;
    std::string text;
    std::uint32_t words = 0;
    bool done = false;
    bool wrong = false;
    int status = 0;
    std::string body;
};

} // namespace

struct Load::State : public std::enable_shared_from_this<Load::State>
{
    State(asio::io_context &context, Deployment deployment, LoadOptions options)
        : deployment(std::move(deployment))
        , options(options)
        , routers(routersOf(this->deployment))
        , http(context)
        , strand(asio::make_strand(context))
        , timer(strand)
        , random(options.seed)
    {}

    void makeChats();
    void scheduleNext();
    void sendOne();
    void sendChat(std::size_t index);
    void sendOrder();
    void takeData(Turn &turn, std::string_view bytes) const;
    void takeEvent(Turn &turn, const std::string &event) const;
    void finishChat(const std::shared_ptr<Turn> &turn, net::HttpOutcome end);
    void finishOne();
    void countRefusal(int status, const std::string &body);
    std::string nextRouter();

    Deployment deployment;
    LoadOptions options;
    std::vector<RouterLayout> routers;
    net::HttpClient http;
    asio::strand<asio::io_context::executor_type> strand;
    asio::steady_timer timer;
    std::mt19937_64 random;
    std::vector<Chat> chats;
    std::discrete_distribution<std::size_t> popularity;
    TimePoint endAt;
    std::size_t turn = 0;
    std::uint64_t orders = 0;
    std::uint64_t open = 0;
    bool ended = false;
    std::function<void()> done;

    mutable std::mutex mutex;
    std::uint64_t sent = 0;
    std::uint64_t whole = 0;
    std::uint64_t ordersWhole = 0;
    std::uint64_t cut = 0;
    std::uint64_t skipped = 0;
    std::uint64_t broken = 0;
    std::map<std::string, std::uint64_t> refused;
    Histogram firstEvent = newHistogram();
    Histogram wholeTime = newHistogram();
};

void Load::State::makeChats()
{
    std::vector<double> weights;
    for (const Entry &entry : this->deployment.entries) {
        const auto *workspace = entry.body ? std::get_if<Workspace>(&*entry.body) : nullptr;
        if (workspace == nullptr) {
            continue;
        }
        for (std::uint32_t index = 0; index < this->options.chatsPerWorkspace; ++index) {
            Chat chat;
            chat.id = fmt::format("{}-chat-{}", entry.key.name, index);
            chat.token = workspace->token;
            this->chats.push_back(std::move(chat));
            weights.push_back(workspace->weight / std::pow(index + 1.0, popularityPower));
        }
    }
    this->popularity = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
}

std::string Load::State::nextRouter()
{
    return "http://" + toText(this->routers[this->turn++ % this->routers.size()].callers);
}

void Load::State::scheduleNext()
{
    const TimePoint now = std::chrono::steady_clock::now();
    if (now >= this->endAt) {
        this->ended = true;
        if (this->open == 0) {
            this->done();
        }
        return;
    }
    std::exponential_distribution<double> gap(this->options.requestsPerSecond);
    const std::chrono::duration<double> wait(gap(this->random));
    this->timer.expires_at(this->timer.expiry() + std::chrono::duration_cast<Duration>(wait));
    this->timer.async_wait([self = this->shared_from_this()](const asio::error_code &error) {
        if (!error) {
            self->sendOne();
            self->scheduleNext();
        }
    });
}

void Load::State::sendOne()
{
    std::uniform_real_distribution<double> share(0, 1);
    if (share(this->random) < this->options.orderShare) {
        this->sendOrder();
        return;
    }
    const std::size_t index = this->popularity(this->random);
    if (this->chats[index].busy) {
        const std::lock_guard lock(this->mutex);
        ++this->skipped;
        return;
    }
    this->sendChat(index);
}

void Load::State::sendChat(std::size_t index)
{
    Chat &chat = this->chats[index];
    chat.busy = true;
    if (chat.messages.size() > longestHistory) {
        chat.messages = json::array();
    }
    const std::size_t size = chat.messages.empty() ? firstMessageBytes : turnBytes;
    std::string content =
        fmt::format("{} turn {} {:x} ", chat.id, chat.messages.size(), this->random());
    content.resize(size, '.');
    chat.messages.push_back({{"role", "user"}, {"content", content}});
    auto turn = std::make_shared<Turn>();
    turn->chat = index;
    turn->promptHash = blocksOf(chat.messages).back().prefixHash;
    turn->began = std::chrono::steady_clock::now();
    net::HttpCall call;
    call.method = "POST";
    call.url = this->nextRouter() + "/v1/chat/completions";
    call.headers = {{"authorization", "Bearer " + chat.token},
                    {"x-chat-id", chat.id},
                    {"content-type", "application/json"}};
    call.body = json{{"model", this->deployment.modelService},
                     {"stream", true},
                     {"max_tokens", this->options.answerTokens},
                     {"messages", chat.messages}}
                    .dump();
    call.totalTimeout = patience;
    net::HttpEvents events;
    const auto self = this->shared_from_this();
    events.onHeaders = [turn](int status, const net::Headers &) { turn->status = status; };
    events.onData = [self, turn](std::string_view bytes) {
        self->takeData(*turn, bytes);
        return true;
    };
    events.onEnd = [self, turn](net::HttpOutcome end, const std::string &) {
        asio::post(self->strand, [self, turn, end] { self->finishChat(turn, end); });
    };
    ++this->open;
    {
        const std::lock_guard lock(this->mutex);
        ++this->sent;
    }
    this->http.start(std::move(call), std::move(events));
}

void Load::State::takeData(Turn &turn, std::string_view bytes) const
{
    if (turn.status != statusOk) {
        turn.body.append(bytes);
        return;
    }
    std::vector<std::string> events;
    turn.wrong = !turn.parser.feed(bytes, events) || turn.wrong;
    for (const std::string &event : events) {
        this->takeEvent(turn, event);
    }
}

void Load::State::takeEvent(Turn &turn, const std::string &event) const
{
    if (!turn.firstEvent) {
        turn.firstEvent = std::chrono::steady_clock::now();
    }
    if (event == doneEvent) {
        turn.done = true;
        return;
    }
    const json parsed = json::parse(event, nullptr, false);
    if (parsed.is_object() && parsed.contains("error")) {
        return;
    }
    if (!parsed.is_object() || !parsed.contains("choices")) {
        turn.wrong = true;
        return;
    }
    const std::string word = parsed["choices"][0]["delta"].value("content", "");
    turn.wrong = turn.wrong || word != answerWord(turn.promptHash, turn.words);
    ++turn.words;
    turn.text += word;
}

void Load::State::countRefusal(int status, const std::string &body)
{
    const json parsed = json::parse(body, nullptr, false);
    std::string kind = "status-" + std::to_string(status);
    if (parsed.is_object() && parsed.contains("error") && parsed["error"].is_object()) {
        kind = parsed["error"].value("kind", kind);
    }
    ++this->refused[kind];
}

void Load::State::finishChat(const std::shared_ptr<Turn> &turn, net::HttpOutcome end)
{
    Chat &chat = this->chats[turn->chat];
    chat.busy = false;
    const bool whole = turn->status == statusOk && turn->done && end == net::HttpOutcome::Complete;
    {
        const std::lock_guard lock(this->mutex);
        if (turn->wrong || (whole && turn->words != this->options.answerTokens)) {
            ++this->broken;
        } else if (whole) {
            ++this->whole;
            const TimePoint now = std::chrono::steady_clock::now();
            this->firstEvent(
                std::chrono::duration<double>(*turn->firstEvent - turn->began).count());
            this->wholeTime(std::chrono::duration<double>(now - turn->began).count());
        } else if (turn->status == statusOk) {
            ++this->cut;
        } else {
            this->countRefusal(turn->status, turn->body);
        }
    }
    if (whole && !turn->wrong) {
        chat.messages.push_back({{"role", "assistant"}, {"content", turn->text}});
    } else {
        chat.messages.erase(chat.messages.size() - 1);
    }
    this->finishOne();
}

void Load::State::sendOrder()
{
    net::HttpCall call;
    call.method = "POST";
    call.url = this->nextRouter() + "/services/" + this->deployment.plainService + "/orders";
    const std::string key = fmt::format("order-{}-{}", this->options.seed, this->orders++);
    call.headers = {{"authorization", "Bearer " + this->chats.front().token},
                    {"idempotency-key", key},
                    {"x-non-idempotent", "true"}};
    call.body = "order " + key;
    call.totalTimeout = patience;
    ++this->open;
    {
        const std::lock_guard lock(this->mutex);
        ++this->sent;
    }
    this->http.fetch(
        std::move(call), [self = this->shared_from_this(), key](const net::HttpResponse &answer) {
            asio::post(self->strand, [self, key, answer] {
                {
                    const std::lock_guard lock(self->mutex);
                    const json parsed = json::parse(answer.body, nullptr, false);
                    if (answer.outcome != net::HttpOutcome::Complete || answer.status != statusOk) {
                        self->countRefusal(answer.status, answer.body);
                    } else if (!parsed.is_object() || parsed.value("key", "") != key
                               || parsed.value("run", 0) != 1) {
                        ++self->broken;
                    } else {
                        ++self->ordersWhole;
                    }
                }
                self->finishOne();
            });
        });
}

void Load::State::finishOne()
{
    --this->open;
    if (this->ended && this->open == 0) {
        this->done();
    }
}

Load::Load(asio::io_context &context, Deployment deployment, LoadOptions options)
    : state(std::make_shared<State>(context, std::move(deployment), options))
{}

Load::~Load() = default;

void Load::start(std::function<void()> done)
{
    asio::post(this->state->strand, [state = this->state, done = std::move(done)]() mutable {
        state->done = std::move(done);
        state->makeChats();
        state->endAt = std::chrono::steady_clock::now() + state->options.duration;
        state->timer.expires_at(std::chrono::steady_clock::now());
        state->scheduleNext();
    });
}

nlohmann::ordered_json Load::report() const
{
    const std::lock_guard lock(this->state->mutex);
    const State &state = *this->state;
    constexpr double median = 0.5;
    constexpr double tail = 0.99;
    return {{"deployment", state.deployment.name},
            {"seed", state.options.seed},
            {"sent", state.sent},
            {"whole", state.whole},
            {"ordersWhole", state.ordersWhole},
            {"cut", state.cut},
            {"skipped", state.skipped},
            {"broken", state.broken},
            {"refused", state.refused},
            {"firstEventSecondsP50", quantileOf(state.firstEvent, median)},
            {"firstEventSecondsP99", quantileOf(state.firstEvent, tail)},
            {"wholeSecondsP50", quantileOf(state.wholeTime, median)},
            {"wholeSecondsP99", quantileOf(state.wholeTime, tail)}};
}

std::uint64_t Load::broken() const
{
    const std::lock_guard lock(this->state->mutex);
    return this->state->broken;
}

std::uint64_t Load::whole() const
{
    const std::lock_guard lock(this->state->mutex);
    return this->state->whole;
}

} // namespace plantainswitch::lab
