#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "plantainswitch/base/error.h"
#include "plantainswitch/routing/originrecord.h"
#include "plantainswitch/routing/prompt.h"
#include "plantainswitch/routing/replica.h"
#include "plantainswitch/routing/route.h"
#include "plantainswitch/routing/trialrecord.h"
#include "plantainswitch/routing/versionrecord.h"

#include "http1.h"

namespace plantainswitch::gateway {

/// A caller's request, decoded.
struct CallerRequest
{
    std::string method;
    /// Path and query, unchanged.
    std::string target;
    /// Path without the query.
    std::string path;
    std::string host;
    /// The caller's id of this attempt, unique per attempt.
    std::string attemptId;
    /// The API key that identifies the workspace; empty if none was sent.
    std::string apiKey;
    /// How long the caller waits for the response, counted from when it sent the request.
    std::optional<Milliseconds> timeBudget;
    std::optional<Prompt> prompt;
    /// Id of the last event that the caller has received.
    std::optional<std::uint64_t> resumeAfter;
    /// Id of the caller's attempt that received the first event of the stream that this one takes
    /// up again; empty if not stated.
    std::string resumedAttempt;
    /// Header fields that are forwarded to the upstream unchanged.
    std::vector<HeaderField> forwardedFields;
    std::string body;
};

/// What the router adds to a request when it forwards it to an upstream.
struct DispatchContext
{
    const Replica *replica = nullptr;
    /// Another engine from whose KV cache the upstream can copy parts of the prompt that it lacks.
    std::optional<Endpoint> copyFrom;
    Milliseconds remainingTime{0};
    /// Empty for a request that needs no key.
    std::string_view workspace;
    std::uint32_t rank = 0;
    std::optional<std::uint64_t> resumeAfter;
};

/// The load that an upstream reports in its response.
struct ReportedLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    /// How long work takes at this moment, in percent of the usual time; 0 if not stated.
    std::uint32_t slowdownPercent = 0;
};

/// The head of an upstream's response, decoded.
struct UpstreamResponse
{
    int status = 0;
    /// The attempt that the response belongs to; empty if not stated.
    std::string attemptId;
    /// The upstream states that it has not executed the request and will not.
    bool notExecuted = false;
    /// The address belongs to a different upstream now.
    bool misdirected = false;
    /// The response carries the upstream's signature.
    bool isSigned = false;
    /// The body has a content encoding, although none was requested.
    bool isEncoded = false;
    bool isEventStream = false;
    /// How much longer the upstream is cold, if stated.
    std::optional<Milliseconds> coldFor;
    /// The upstream takes no new requests because it is about to stop.
    bool isDraining = false;
    /// For how long the upstream wants no requests from this router, if it rejected this one and
    /// said so.
    std::optional<Milliseconds> backoff;
    /// The upstream is brittle: it crashes if it has to reject more than this number of requests in
    /// a second for want of room.
    std::optional<std::uint32_t> maxRejections;
    std::optional<ReportedLoad> load;
    /// Header fields that are forwarded to the caller unchanged.
    std::vector<HeaderField> forwardedFields;
};

/// Kinds of objects in the platform's store.
enum class StoreObjectKind : std::uint8_t {
    Routing,
    Replicas,
    Routers,
    Evacuations,
    Quarantines,
    Versions,
    Origins,
};
[[nodiscard]] std::string_view nameOf(StoreObjectKind kind) noexcept;

/// How recent a list of the store's objects must be.
enum class ReadConsistency : std::uint8_t {
    Linearizable,
    /// May lack changes of the last seconds. Costs the store a fraction of a linearizable read.
    Stale,
};

/// One object of the store with an undecoded body.
struct StoreObject
{
    std::string name;
    bool deleted = false;
    /// The object's specification as JSON text.
    std::string document;
    /// Revision of the store at its last change; 0 if not stated.
    std::uint64_t revision = 0;
};

/// Whether an update holds all objects of a kind or changes only.
enum class UpdateScope : std::uint8_t {
    /// All objects: those that are missing were removed.
    Snapshot,
    Incremental,
};

/// The store's response to a list or a watch.
struct StoreResponse
{
    std::vector<StoreObject> objects;
    /// All changes up to this revision are included.
    std::uint64_t revision = 0;
    /// Further pages follow.
    bool hasMore = false;
};

/// A router's address as registered in the store.
struct RouterEntry
{
    std::string id;
    Endpoint datagrams;
};

/// Translates between the gateway and the protocol of its callers, upstreams and store. There is
/// one implementation for each such platform.
class Dialect
{
public:
    virtual ~Dialect() = default;

    /// Decodes a caller's request. \returns nothing if it cannot be served, with \a reason set.
    [[nodiscard]] virtual std::optional<CallerRequest> parseRequest(const MessageHead &head,
                                                                    Reason &reason) const = 0;
    /// Decodes the parts of a prompt, in the form in which callers send them. \returns nothing if
    /// they are malformed.
    [[nodiscard]] virtual std::optional<Prompt> parsePrompt(std::string_view parts) const = 0;
    /// \returns the head of \a request to send to the upstream.
    [[nodiscard]] virtual std::string serializeRequest(const CallerRequest &request,
                                                       const DispatchContext &handover) const = 0;
    /// \returns the head of a caller's request to forward to another router, which processes it
    /// like one of its own.
    /// \param remainingTime replaces the caller's time budget
    /// \param resumeAfter replaces the id of the last event that the caller has received
    /// \param more fields that only routers use
    [[nodiscard]] virtual std::string
    serializeForwarded(const MessageHead &head, Milliseconds remainingTime,
                       std::optional<std::uint64_t> resumeAfter, std::size_t bodySize,
                       const std::vector<HeaderField> &more) const = 0;
    /// Decodes the head of an upstream's response.
    [[nodiscard]] virtual UpstreamResponse parseResponse(const MessageHead &head) const = 0;
    /// \returns the header fields of a refusal that the router itself sends.
    [[nodiscard]] virtual std::vector<HeaderField>
    refusalFields(const CallerRequest *request, std::optional<Milliseconds> retryAfter) const = 0;
    /// \returns the HTTP status of a refusal of \a kind.
    [[nodiscard]] virtual int refusalStatus(ErrorKind kind) const = 0;

    /// \returns path and query of a call that lists the objects after the one named \a after.
    [[nodiscard]] virtual std::string listTarget(StoreObjectKind kind, std::string_view after,
                                                 ReadConsistency consistency) const = 0;
    /// \returns path and query of a call that waits for changes after \a revision.
    [[nodiscard]] virtual std::string watchTarget(StoreObjectKind kind, std::uint64_t revision,
                                                  Milliseconds wait) const = 0;
    /// \returns path and query of a call on the object of \a kind named \a name.
    [[nodiscard]] virtual std::string objectTarget(StoreObjectKind kind,
                                                   std::string_view name) const = 0;
    /// Decodes an object that the store returned. \returns nothing if it is malformed.
    [[nodiscard]] virtual std::optional<StoreObject> parseObject(std::string_view body) const = 0;
    /// Decodes the store's response to a list. \returns nothing if it is malformed.
    [[nodiscard]] virtual std::optional<StoreResponse> parseList(std::string_view body) const = 0;
    [[nodiscard]] virtual std::optional<StoreResponse>
    parseChanges(std::string_view body) const = 0;
    /// Decodes the routing configuration. \returns nothing if it is malformed, with \a fault set.
    [[nodiscard]] virtual std::optional<RoutingConfig> parseRouting(const std::string &document,
                                                                    std::string &fault) const = 0;
    /// Decodes an upstream's entry. \returns nothing if it is malformed, with \a fault set.
    [[nodiscard]] virtual std::optional<Replica> parseReplica(const StoreObject &item,
                                                              std::string &fault) const = 0;
    /// \returns the data centre whose evacuation an object requests, or nothing if it is malformed,
    /// with \a fault set.
    [[nodiscard]] virtual std::optional<std::string> parseEvacuation(const StoreObject &item,
                                                                     std::string &fault) const = 0;
    /// Decodes the record of a quarantined request. \returns nothing if it is malformed.
    [[nodiscard]] virtual std::optional<TrialRecord>
    parseTrialRecord(const StoreObject &item) const = 0;
    /// \returns the body of the call that writes \a record, under the condition that the stored one
    /// has its revision; without a condition if that is 0.
    [[nodiscard]] virtual std::string serializeTrialRecord(const TrialRecord &record) const = 0;
    /// Decodes the record of a service's versions. \returns nothing if it is malformed.
    [[nodiscard]] virtual std::optional<VersionRecord>
    parseVersionRecord(const StoreObject &item) const = 0;
    /// \returns the body of the call that writes \a record, under the same condition.
    [[nodiscard]] virtual std::string serializeVersionRecord(const VersionRecord &record) const = 0;
    /// Decodes a record of streams' origins. \returns nothing if it is malformed.
    [[nodiscard]] virtual std::optional<OriginRecord>
    parseOriginRecord(const StoreObject &item) const = 0;
    /// \returns the body of the call that creates \a record.
    [[nodiscard]] virtual std::string serializeOriginRecord(const OriginRecord &record) const = 0;
    [[nodiscard]] virtual std::optional<RouterEntry>
    parseRouterEntry(const StoreObject &item) const = 0;
    /// \returns the body of the call that registers this router.
    [[nodiscard]] virtual std::string serializeRouterEntry(const RouterEntry &entry) const = 0;
};

} // namespace plantainswitch::gateway
