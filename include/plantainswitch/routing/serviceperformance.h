#pragma once

namespace plantainswitch {

/// Performance of a service's upstreams, estimated from their responses. The defaults are the prior
/// that is used until enough responses were seen. Delays are in milliseconds.
struct ServicePerformance
{
    /// Prompt tokens that an engine prefills per millisecond.
    double prefillRate = 110.0;
    /// Time to first token of a request without prefill on an idle engine.
    double baseDelay = 40.0;
    /// Increase of the time to first token by each running request.
    double delayPerRunning = 0.4;
    /// Prompt tokens transferred per millisecond from another engine's cache.
    double transferRate = 220.0;
    /// Setup time of a transfer.
    double transferSetup = 4.0;
    /// Time for which a request holds its slot.
    double slotHoldTime = 20.0;
    /// Prompt tokens that a request adds to an engine's cache, by prefill or transfer.
    double tokensPerRequest = 500.0;
    /// Time that few runs exceed, from the request to the end of the response.
    double runTimeBound = 400.0;
};

/// A router's own estimate, as it is sent to the other routers.
struct PerformanceReport
{
    ServicePerformance performance;
    /// Number of samples behind the estimates of prefill, transfers and slot hold time, up to a
    /// limit.
    double prefillSamples = 0.0;
    double transferSamples = 0.0;
    double slotHoldSamples = 0.0;
    /// Runs behind the bound on their time, those included that were given up.
    double runSamples = 0.0;
};

} // namespace plantainswitch
