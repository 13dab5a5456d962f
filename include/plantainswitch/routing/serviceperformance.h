#pragma once

namespace plantainswitch {

/// What a service's upstreams are like, estimated from their answers. The defaults are the prior
/// that holds until enough answers were seen. Delays are in milliseconds.
struct ServicePerformance
{
    /// Prompt tokens that an engine prefills in a millisecond.
    double prefillRate = 110.0;
    /// Time to the first token of a request that has nothing to prefill, on an idle engine.
    double baseDelay = 40.0;
    /// Added to the time to the first token by each running request.
    double delayPerRunning = 0.4;
    /// Prompt tokens transferred in a millisecond from another engine's cache.
    double transferRate = 220.0;
    /// Time that a transfer takes besides.
    double transferSetup = 4.0;
    /// Time for which a request holds its slot.
    double slotHoldTime = 20.0;
    /// Prompt tokens that a request adds to an engine's cache, by prefill or transfer.
    double tokensPerRequest = 500.0;
};

/// A router's own estimate, as it is shared with the other routers.
struct PerformanceReport
{
    ServicePerformance performance;
    /// Samples that the figures of prefill, of transfers and of holding rest on, up to a limit.
    double prefillSamples = 0.0;
    double transferSamples = 0.0;
    double slotHoldSamples = 0.0;
};

} // namespace plantainswitch
