#pragma once

#include <memory>
#include <string>
#include <vector>

#include <asio/steady_timer.hpp>

#include "plantainswitch/routing/eventstream.h"

#include "callerconnection.h"
#include "fleetgossip.h"
#include "gatewaystate.h"

namespace plantainswitch::gateway {

/// Less time than this isn't enough for any answer.
inline constexpr Milliseconds leastTime{10};

/// One caller's request on its way: admitted, placed, handed to upstreams, answered.
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(GatewayState &gateway, std::shared_ptr<CallerConnection> caller,
             IncomingRequest incoming);

    void start();
    /// The caller has left: whatever runs for it is given up at once.
    void onCallerGone();
    /// Bytes for the caller have left; a paused upstream may go on.
    void onCallerDrained();
    /// Ends the request because the process must go.
    void cutShort();

private:
    enum class Phase : std::uint8_t { Placing, Waiting, Relaying, Done };

    /// A whole answer by which an upstream says that it failed.
    struct FailedAnswer
    {
        int status = 0;
        std::vector<HeaderField> fields;
        std::string body;
    };

    /// A choice that outlives the list of candidates it was made from.
    struct Placement
    {
        Choice choice;
        std::string upstream;
        /// Id and address of the engine to copy from; empty: none.
        std::string donor;
        std::optional<Endpoint> copyFrom;
    };

    bool admit();
    /// \returns whether upstreams have crashed on the request, and it isn't its turn to be tried.
    bool isHeldBack();
    void place();
    /// Rejects the request if the service is too busy for it. \returns whether it was admitted.
    bool admitTo(const Choice &choice);
    /// Asks the engine's keeper whether the request fits there.
    void askKeeper(Placement placement);
    void onKeeperAnswer(Placement placement, const std::optional<EngineAnswer> &keeperAnswer);
    void endGrant();
    [[nodiscard]] double promptTokens() const;
    void handTo(const Placement &placement);
    void send(const std::shared_ptr<UpstreamState> &target,
              const std::optional<Endpoint> &copyFrom);
    /// Remembers that the engine has the prompt's chain, and notifies other routers if that is new.
    void noteChain(std::uint64_t life);
    AnswerEvents answerEvents();
    /// Sets when the request is looked at next, the deadline at the latest.
    void armTimer(TimePoint due);
    /// \returns when silence says something of the upstream.
    [[nodiscard]] TimePoint nextLook() const;
    void onTimer();

    bool onAnswerHead(const MessageHead &head);
    void onAnswerBody(std::string_view bytes);
    void onAnswerEnd(AnswerEnd end);
    void onNotConnected();
    void onNotRun();
    void onWholeAnswer();
    void onWholeStream();
    void onFault(UpstreamFault fault);
    void recordUpstreamFault(UpstreamFault fault);
    void onFirstByte();
    /// Notes how long the request held its slot.
    void recordHold();

    /// Tries once more where that is allowed. \returns false when it isn't.
    bool tryAgain(std::string_view why);
    [[nodiscard]] bool mayRunAgain() const;
    void leaveUpstream();
    void relay(std::string_view bytes);
    void passAnswerOn();
    void passFailureOn();
    void giveUp();
    void refuse(ErrorKind kind, std::string_view why,
                std::optional<Milliseconds> retryAfter = std::nullopt);
    void finish(std::string_view outcome);
    [[nodiscard]] TimePoint now() const { return this->gateway.clock.now(); }
    [[nodiscard]] Milliseconds left() const;
    void logRetry(std::string_view why) const;

    GatewayState &gateway;
    std::shared_ptr<CallerConnection> caller;
    IncomingRequest incoming;
    std::optional<CallerRequest> request;
    /// Holds the route and the workspace.
    std::shared_ptr<const RoutingTable> table;
    const Route *route = nullptr;
    std::string workspace;
    std::uint32_t rank = 0;
    std::string service;
    std::vector<std::uint64_t> chain;
    RequestFingerprint fingerprint = 0;
    TimePoint deadline;
    asio::steady_timer timer;
    Phase phase = Phase::Placing;

    std::shared_ptr<UpstreamState> upstream;
    std::shared_ptr<UpstreamConnection> connection;
    std::vector<std::string> tried;
    /// Upstreams that may have run it.
    std::uint32_t runs = 0;
    std::uint32_t connectFailures = 0;
    std::uint32_t rejections = 0;
    /// Keepers that had no room for it in this placement.
    std::uint32_t keepersFull = 0;
    /// Question by which the keeper granted the request; 0: none did.
    std::uint64_t grant = 0;
    std::uint64_t grantedLife = 0;
    bool holdsUnread = false;
    double unread = 0.0;
    /// Time to the first byte that was expected of the upstream, without what it was slower lately.
    double expectedDelay = 0.0;
    double extraDelay = 0.0;
    /// What the upstream has to do before its first byte; its delay isn't known yet.
    FirstByteSample sample;
    /// The upstream may have more of the prompt than this router knows.
    bool isFirstRead = false;
    TimePoint sentAt;
    TimePoint firstByteAt;
    bool sawHead = false;
    bool sawFirstByte = false;
    UpstreamAnswer answer;
    std::string body;
    /// The last one of an earlier attempt: what the caller gets if no later attempt has an answer.
    std::optional<FailedAnswer> failure;
    EventRelay events;
    bool chunksBegun = false;
    Duration firstByteAfter{0};
    std::string path;
};

} // namespace plantainswitch::gateway
