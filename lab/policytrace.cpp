#include "policytrace.h"

#include <algorithm>
#include <cmath>
#include <random>

#include "plantainswitch/base/hash.h"

namespace plantainswitch::lab {

namespace {

constexpr double ratePerEngine = 6.0;
/// Mean time until a chat returns: as many chats are open as arrive in it.
constexpr double returnSeconds = 30.0;
/// Popularity falls with the square root of the chat's rank.
constexpr double popularityExponent = 2.0;
constexpr double closeProbability = 0.05;
constexpr std::uint32_t workspaceCount = 10;
constexpr std::uint32_t sharedPrefixTokens = 300;
constexpr std::uint32_t leastFirstTokens = 200;
constexpr std::uint32_t mostFirstTokens = 1500;
constexpr std::uint32_t leastTurnTokens = 50;
constexpr std::uint32_t mostTurnTokens = 300;
constexpr std::uint32_t leastAnswerTokens = 10;
constexpr std::uint32_t mostAnswerTokens = 600;
constexpr double meanAnswerTokens = 100.0;
/// One engine in ten is replaced within this time.
constexpr double replaceSeconds = 20.0;
constexpr double enginesForOneReplacement = 10.0;
constexpr double flapUpSeconds = 4.0;
constexpr double flapDownSeconds = 2.0;

Duration seconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

/// Makes the chats and their requests one after the other.
class TraceMaker
{
public:
    explicit TraceMaker(const PolicyOptions &options)
        : options(options)
        , random(mixHash(options.seed, hashOf("trace")))
        , open(static_cast<std::size_t>(rateOf(options) * returnSeconds))
        , seen(workspaceCount, false)
    {
        this->trace.workspaces = workspaceCount;
        for (std::uint32_t &chat : this->open) {
            chat = this->newChat();
        }
    }

    PolicyTrace make()
    {
        std::exponential_distribution<double> gap(rateOf(this->options));
        for (double at = gap(this->random); at < this->options.seconds; at += gap(this->random)) {
            this->addRequest(at);
        }
        this->addReplacements();
        this->addFlaps();
        std::stable_sort(this->trace.changes.begin(), this->trace.changes.end(),
                         [](const TraceChange &first, const TraceChange &second) {
                             return first.at < second.at;
                         });
        return std::move(this->trace);
    }

private:
    std::uint32_t between(std::uint32_t least, std::uint32_t most)
    {
        return std::uniform_int_distribution<std::uint32_t>(least, most)(this->random);
    }

    double uniform() { return std::uniform_real_distribution<double>(0.0, 1.0)(this->random); }

    std::uint32_t newChat()
    {
        const auto chat = static_cast<std::uint32_t>(this->trace.chats.size());
        const std::uint32_t workspace =
            std::min(this->between(0, workspaceCount - 1), this->between(0, workspaceCount - 1));
        this->workspaceOf.push_back(workspace);
        this->trace.chats.push_back(
            {{mixHash(hashOf("workspace"), workspace), sharedPrefixTokens}});
        return chat;
    }

    void addRequest(double at)
    {
        const double rank = std::pow(this->uniform(), popularityExponent);
        std::uint32_t &place =
            this->open[static_cast<std::size_t>(rank * static_cast<double>(this->open.size()))];
        std::vector<PromptBlock> &blocks = this->trace.chats[place];
        TraceRequest request;
        request.at = seconds(at);
        request.router = this->between(0, this->options.routers - 1);
        request.chat = place;
        request.workspace = this->workspaceOf[place];
        for (const PromptBlock &block : blocks) {
            request.reusableTokens += block.tokens;
        }
        if (!this->seen[request.workspace]) {
            this->seen[request.workspace] = true;
            request.reusableTokens -= sharedPrefixTokens;
        }
        const std::uint32_t tokens = blocks.size() == 1
                                         ? this->between(leastFirstTokens, mostFirstTokens)
                                         : this->between(leastTurnTokens, mostTurnTokens);
        blocks.push_back({mixHash(mixHash(hashOf("chat"), place), blocks.size()), tokens});
        request.blocks = static_cast<std::uint32_t>(blocks.size());
        for (const PromptBlock &block : blocks) {
            request.promptTokens += block.tokens;
        }
        const double answer =
            std::exponential_distribution<double>(1.0 / meanAnswerTokens)(this->random);
        request.answerTokens =
            std::clamp(static_cast<std::uint32_t>(answer), leastAnswerTokens, mostAnswerTokens);
        this->trace.requests.push_back(request);
        if (this->uniform() < closeProbability) {
            place = this->newChat();
        }
    }

    void addReplacements()
    {
        const double period =
            replaceSeconds * enginesForOneReplacement / static_cast<double>(this->options.engines);
        for (double at = period; at < this->options.seconds; at += period) {
            this->trace.changes.push_back({seconds(at), this->between(0, this->options.engines - 1),
                                           TraceChange::Kind::Replace});
        }
    }

    void addFlaps()
    {
        const auto count = static_cast<std::uint32_t>(
            std::ceil(this->options.flap * static_cast<double>(this->options.engines)));
        for (std::uint32_t engine = 0; engine < count; ++engine) {
            double at = flapUpSeconds * (1.0 + this->uniform());
            while (at < this->options.seconds) {
                this->trace.changes.push_back({seconds(at), engine, TraceChange::Kind::Down});
                at += flapDownSeconds * (0.5 + this->uniform());
                this->trace.changes.push_back({seconds(at), engine, TraceChange::Kind::Up});
                at += flapUpSeconds * (0.5 + this->uniform());
            }
        }
    }

    const PolicyOptions &options;
    std::mt19937_64 random;
    std::vector<std::uint32_t> open;
    std::vector<bool> seen;
    std::vector<std::uint32_t> workspaceOf;
    PolicyTrace trace;
};

} // namespace

double rateOf(const PolicyOptions &options) noexcept
{
    return options.rate > 0 ? options.rate : ratePerEngine * static_cast<double>(options.engines);
}

PolicyTrace traceOf(const PolicyOptions &options)
{
    return TraceMaker(options).make();
}

} // namespace plantainswitch::lab
