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
inline constexpr Milliseconds minRemainingTime{10};

/// One caller's request on its way: admitted, placed, handed to upstreams, answered.
class RequestHandler : public std::enable_shared_from_this<RequestHandler>
{
public:
    RequestHandler(GatewayState &gateway, std::shared_ptr<CallerConnection> caller,
                   IncomingRequest incoming);

    void start();
    /// The caller has left: whatever runs for it is given up at once.
    void onCallerDisconnected();
    /// Bytes for the caller have left; a paused upstream may go on.
    void onCallerWritable();
    /// Ends the request because the process must go.
    void abort();

private:
    enum class Phase : std::uint8_t { Selecting, AwaitingResponse, Relaying, Done };

    /// A whole answer by which an upstream says that it failed.
    struct FailedResponse
    {
        int status = 0;
        std::vector<HeaderField> fields;
        std::string body;
    };

    /// A choice that outlives the list of candidates it was made from.
    struct Selection
    {
        UpstreamSelection choice;
        std::string upstreamId;
        /// Id and address of the engine to copy from; empty: none.
        std::string donorId;
        std::optional<Endpoint> copyFrom;
    };

    bool prepare();
    /// \returns whether upstreams have crashed on the request, and it isn't its turn to be tried.
    bool isQuarantined();
    void selectAndDispatch();
    /// Rejects the request if the service is too busy for it. \returns whether it was admitted.
    bool passAdmissionControl(const UpstreamSelection &choice);
    /// Asks the engine's keeper whether the request fits there.
    void requestGrant(Selection placement);
    void onCoordinatorReply(Selection placement,
                            const std::optional<EngineGrantReply> &keeperAnswer);
    void releaseGrant();
    [[nodiscard]] double promptTokens() const;
    void dispatchTo(const Selection &placement);
    void sendRequest(const std::shared_ptr<UpstreamState> &target,
                     const std::optional<Endpoint> &copyFrom);
    /// Remembers that the engine has the prompt's chain, and notifies other routers if that is new.
    void recordPrefix(std::uint64_t life);
    ResponseHandlers responseHandlers();
    /// Sets when the request is looked at next, the deadline at the latest.
    void armTimer(TimePoint due);
    /// \returns when silence says something of the upstream.
    [[nodiscard]] TimePoint silenceDeadline() const;
    void onTimer();

    bool onResponseHead(const MessageHead &head);
    void onResponseBody(std::string_view bytes);
    void onResponseEnd(ResponseOutcome end);
    void onConnectFailed();
    void onNotExecuted();
    void onCompleteResponse();
    void onCompleteStream();
    void onFault(UpstreamFault fault);
    void recordUpstreamFault(UpstreamFault fault);
    void onFirstByte();
    /// Notes how long the request held its slot.
    void recordHoldTime();

    /// Tries once more where that is allowed. \returns false when it isn't.
    bool retry(std::string_view why);
    [[nodiscard]] bool canRetry() const;
    void releaseUpstream();
    void relayEvents(std::string_view bytes);
    void forwardResponse();
    void forwardFailure();
    void fail();
    void refuse(ErrorKind kind, std::string_view why,
                std::optional<Milliseconds> retryAfter = std::nullopt);
    void finish(std::string_view outcome);
    [[nodiscard]] TimePoint now() const { return this->gateway.clock.now(); }
    [[nodiscard]] Milliseconds remainingTime() const;
    void logRetry(std::string_view why) const;

    GatewayState &gateway;
    std::shared_ptr<CallerConnection> caller;
    IncomingRequest incoming;
    std::optional<CallerRequest> request;
    /// Holds the route and the workspace.
    std::shared_ptr<const RoutingTable> routingTable;
    const Route *route = nullptr;
    std::string workspace;
    std::uint32_t rank = 0;
    std::string service;
    std::vector<std::uint64_t> prefixHashes;
    RequestFingerprint fingerprint = 0;
    TimePoint deadline;
    asio::steady_timer timer;
    Phase phase = Phase::Selecting;

    std::shared_ptr<UpstreamState> upstream;
    std::shared_ptr<UpstreamConnection> connection;
    std::vector<std::string> triedUpstreams;
    /// Upstreams that may have run it.
    std::uint32_t possibleExecutions = 0;
    std::uint32_t connectFailures = 0;
    std::uint32_t rejections = 0;
    /// Keepers that had no room for it in this placement.
    std::uint32_t coordinatorRejections = 0;
    /// Question by which the keeper granted the request; 0: none did.
    std::uint64_t grantId = 0;
    std::uint64_t grantedIncarnation = 0;
    bool countsPendingPrefill = false;
    double pendingPrefillTokens = 0.0;
    /// Time to the first byte that was expected of the upstream, without what it was slower lately.
    double expectedDelay = 0.0;
    double extraDelay = 0.0;
    /// What the upstream has to do before its first byte; its delay isn't known yet.
    FirstByteSample firstByteSample;
    /// The upstream may have more of the prompt than this router knows.
    bool isFirstPrefill = false;
    TimePoint sentAt;
    TimePoint firstByteAt;
    bool headReceived = false;
    bool firstByteReceived = false;
    UpstreamResponse response;
    std::string responseBody;
    /// The last one of an earlier attempt: what the caller gets if no later attempt has an answer.
    std::optional<FailedResponse> failedResponse;
    EventRelay eventRelay;
    bool responseStarted = false;
    Duration timeToFirstByte{0};
    std::string connectionPath;
};

} // namespace plantainswitch::gateway
