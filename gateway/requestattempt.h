#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "plantainswitch/routing/eventstream.h"
#include "plantainswitch/routing/streamorigin.h"

#include "gatewaystate.h"

namespace plantainswitch::gateway {

enum class AttemptPhase : std::uint8_t {
    Selecting,
    AwaitingResponse,
    Relaying,
    /// The connection was lost, and the upstream is being probed.
    Probing,
    /// Another router processes the request.
    Forwarding,
    /// The request has ended.
    Done,
};

/// One attempt of a request, at an upstream or at another router.
struct RequestAttempt
{
    explicit RequestAttempt(BufferPool &buffers)
        : bufferShare(buffers)
    {}

    /// Identifies what was last sent, among all that was sent for the request.
    std::uint64_t number = 0;
    AttemptPhase phase = AttemptPhase::Selecting;
    /// It was sent to another router and not to an upstream.
    bool isForwarded = false;
    std::shared_ptr<UpstreamState> upstream;
    std::shared_ptr<UpstreamConnection> connection;
    std::string connectionPath;
    /// The upstreams that were tried before another one was, while this one was silent.
    std::vector<std::string> triedUpstreams;
    /// The router that the request was forwarded to has returned it.
    bool wasNotAccepted = false;
    /// Version of the upstream; nothing if unknown.
    std::optional<VersionKey> version;
    /// The silence of the upstream counts as its fault already.
    bool isSilenceRecorded = false;
    /// Nothing is read from the upstream until the caller has read what is queued for it.
    bool isReadingPaused = false;
    /// Id under which a coordinator has granted the request, or was asked to; 0 if there is none.
    std::uint64_t grantId = 0;
    std::uint64_t grantedIncarnation = 0;
    bool countsPendingPrefill = false;
    double pendingPrefillTokens = 0.0;
    /// Expected time to the first byte in milliseconds, without the upstream's recent extra delay.
    double expectedDelay = 0.0;
    double extraDelay = 0.0;
    /// The same for an upstream of the service's mean speed; 0 if it is not to be compared.
    double serviceDelay = 0.0;
    /// The work before the first byte, for the estimator. Its delay is set when the first byte
    /// arrives.
    FirstByteSample firstByteSample;
    /// The upstream may have cached more of the prompt than this router knows.
    bool isFirstPrefill = false;
    TimePoint sentAt;
    TimePoint headReceivedAt;
    TimePoint firstByteAt;
    /// The request was sent to the upstream, which has not responded completely.
    bool isRunning = false;
    bool headReceived = false;
    bool firstByteReceived = false;
    UpstreamResponse response;
    std::string responseBody;
    /// Of what is buffered of the response: its body, or an incomplete event and what the caller
    /// has not read.
    BufferShare bufferShare;
    EventRelay eventRelay;
};

/// The begin of a stream's response that the caller does not get before the stream's origin is
/// confirmed.
struct WithheldStream
{
    std::string events;
    /// The stream is complete.
    bool isComplete = false;
};

} // namespace plantainswitch::gateway
