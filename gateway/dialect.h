#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "plantainswitch/base/error.h"
#include "plantainswitch/routing/prompt.h"
#include "plantainswitch/routing/replica.h"
#include "plantainswitch/routing/route.h"

#include "http1.h"

namespace plantainswitch::gateway {

/// A caller's request, decoded once.
struct CallerRequest
{
    std::string method;
    /// Path and query, byte for byte.
    std::string target;
    /// Path without the query.
    std::string path;
    std::string host;
    /// The caller's id of this attempt; no two attempts share one.
    std::string attemptId;
    /// The key that proves the workspace; empty: none was sent.
    std::string apiKey;
    /// How long the caller will wait, from when it sent the request.
    std::optional<Milliseconds> timeBudget;
    std::optional<Prompt> prompt;
    /// The last event that the caller already has.
    std::optional<std::uint64_t> resumeAfter;
    /// Fields that go to the upstream unchanged.
    std::vector<HeaderField> forwardedFields;
    std::string body;
};

/// What the router adds to a request when it hands it to an upstream.
struct DispatchContext
{
    const Replica *replica = nullptr;
    /// Another engine from whose memory the upstream may copy what it lacks of the prompt.
    std::optional<Endpoint> copyFrom;
    Milliseconds remainingTime{0};
    /// Empty for a request that needed no key.
    std::string_view workspace;
    std::uint32_t rank = 0;
    std::optional<std::uint64_t> resumeAfter;
};

/// What an upstream says of its load.
struct ReportedLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

/// The head of an upstream's answer, decoded once.
struct UpstreamResponse
{
    int status = 0;
    /// The attempt that it answers; empty: it doesn't say.
    std::string attemptId;
    /// The upstream states that it has not run the request and won't.
    bool notExecuted = false;
    /// Another upstream has the address now.
    bool misdirected = false;
    /// It bears the upstream's signature.
    bool isSigned = false;
    /// The body is encoded, which nobody asked for.
    bool isEncoded = false;
    bool isEventStream = false;
    std::optional<ReportedLoad> load;
    /// Fields that go to the caller unchanged.
    std::vector<HeaderField> forwardedFields;
};

/// Objects that the store of the platform keeps for the fleet.
enum class StoreObjectKind : std::uint8_t { Routing, Replicas, Routers };
[[nodiscard]] std::string_view nameOf(StoreObjectKind kind) noexcept;

/// What a list of the store's objects may miss.
enum class ReadConsistency : std::uint8_t {
    Linearizable,
    /// May lack the changes of the last seconds; costs the store a fraction.
    Stale,
};

/// One object of the store, still undecoded.
struct StoreObject
{
    std::string name;
    bool deleted = false;
    /// JSON text of what it holds.
    std::string document;
    /// The store's revision of its last change; 0: not stated.
    std::uint64_t revision = 0;
};

/// Which of a kind's objects some items are.
enum class UpdateScope : std::uint8_t {
    /// All there are: the others are gone.
    Snapshot,
    Incremental,
};

/// An answer of the store to a list or a watch.
struct StoreResponse
{
    std::vector<StoreObject> objects;
    /// Up to which all changes are included.
    std::uint64_t revision = 0;
    /// Further items follow after the last one.
    bool hasMore = false;
};

/// A router's address as the store keeps it.
struct RouterEntry
{
    std::string id;
    Endpoint datagrams;
};

/// Translates between the router and those it talks with. One implementation for each family of
/// callers, upstreams and stores.
class Dialect
{
public:
    virtual ~Dialect() = default;

    /// Decodes a caller's request; nothing, with a reason, when it can't be served as it is.
    [[nodiscard]] virtual std::optional<CallerRequest> parseRequest(const MessageHead &head,
                                                                    Reason &reason) const = 0;
    /// \returns the head of \a request as the upstream gets it.
    [[nodiscard]] virtual std::string serializeRequest(const CallerRequest &request,
                                                       const DispatchContext &handover) const = 0;
    [[nodiscard]] virtual UpstreamResponse parseResponse(const MessageHead &head) const = 0;
    /// \returns the fields that a refusal of the router's own carries.
    [[nodiscard]] virtual std::vector<HeaderField>
    refusalFields(const CallerRequest *request, std::optional<Milliseconds> retryAfter) const = 0;
    /// \returns the status that a refusal of that kind has.
    [[nodiscard]] virtual int refusalStatus(ErrorKind kind) const = 0;

    /// \returns path and query of a call that lists objects, from the first one after \a after.
    [[nodiscard]] virtual std::string listTarget(StoreObjectKind kind, std::string_view after,
                                                 ReadConsistency consistency) const = 0;
    /// \returns path and query of a call that waits for changes after \a revision.
    [[nodiscard]] virtual std::string watchTarget(StoreObjectKind kind, std::uint64_t revision,
                                                  Milliseconds wait) const = 0;
    [[nodiscard]] virtual std::optional<StoreResponse> parseList(std::string_view body) const = 0;
    [[nodiscard]] virtual std::optional<StoreResponse>
    parseChanges(std::string_view body) const = 0;
    [[nodiscard]] virtual std::optional<RoutingConfig> parseRouting(const std::string &document,
                                                                    std::string &fault) const = 0;
    [[nodiscard]] virtual std::optional<Replica> parseReplica(const StoreObject &item,
                                                              std::string &fault) const = 0;
    [[nodiscard]] virtual std::optional<RouterEntry>
    parseRouterEntry(const StoreObject &item) const = 0;
    /// \returns the body of a call that writes this router's own entry.
    [[nodiscard]] virtual std::string serializeRouterEntry(const RouterEntry &entry) const = 0;
};

} // namespace plantainswitch::gateway
