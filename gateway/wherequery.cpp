#include "wherequery.h"

#include <algorithm>
#include <deque>
#include <optional>
#include <vector>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "plantainswitch/base/hash.h"
#include "plantainswitch/catalogue/parse.h"
#include "plantainswitch/routing/requestsuspects.h"

#include "placementdecision.h"

namespace plantainswitch::gateway {

namespace {

using nlohmann::ordered_json;

constexpr int ok = 200;
/// Time budget of a request to a route without a timeout.
constexpr Milliseconds unlimitedTime{3'600'000};

/// What a query asks for, and the fault if it is malformed.
struct WhereQuery
{
    std::string route;
    std::string workspace;
    std::string key;
    std::optional<Prompt> prompt;
};

std::string serialize(const ordered_json &json)
{
    return json.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

WhereReply makeError(ErrorKind kind, const std::string &detail)
{
    const ErrorRow &row = errorRow(kind);
    return {row.status, serialize({{"error", row.name}, {"detail", detail}})};
}

std::optional<WhereQuery> parseQuery(const Dialect &dialect, std::string_view body,
                                     std::string &fault)
{
    std::vector<Fault> faults;
    const auto parsed = parseJson(body, faults);
    if (!parsed || !parsed->is_object()) {
        fault = faults.empty() ? "the body is not a JSON object" : toText(faults.front());
        return std::nullopt;
    }
    const nlohmann::json &json = *parsed;
    for (const auto &[name, value] : json.items()) {
        const bool isKnown =
            name == "route" || name == "workspace" || name == "key" || name == "prompt";
        if (!isKnown || !value.is_string()) {
            fault = fmt::format("\"{}\" is {}", name, isKnown ? "not a string" : "unknown");
            return std::nullopt;
        }
    }
    WhereQuery query{json.value("route", ""), json.value("workspace", ""), json.value("key", ""),
                     std::nullopt};
    if (query.route.empty()) {
        fault = "\"route\" is missing";
        return std::nullopt;
    }
    if (json.contains("prompt")) {
        query.prompt = dialect.parsePrompt(json["prompt"].get<std::string>());
        if (!query.prompt) {
            fault = "\"prompt\" is malformed";
            return std::nullopt;
        }
    }
    return query;
}

/// Copies of the upstreams of a service with the newest known loads of the other routers. The
/// upstreams themselves are left unchanged.
struct UpstreamCopies
{
    UpstreamCopies(const GatewayState &gateway, const std::string &service)
    {
        for (const UpstreamState *const upstream : gateway.upstreams.ofService(service)) {
            UpstreamState &copy = this->states.emplace_back(*upstream);
            if (gateway.peerLoadsChanged) {
                gateway.applyPeerLoad(copy);
            }
            this->pointers.push_back(&copy);
        }
    }

    /// Its elements do not move.
    std::deque<UpstreamState> states;
    std::vector<UpstreamState *> pointers;
};

/// What becomes of a request.
struct WhereDecision
{
    std::string_view outcome;
    std::string reason;
    std::string upstream;
    std::optional<Milliseconds> retryAfter;
    /// The request is refused because of where it may be processed.
    std::optional<ErrorKind> refusalKind;
};

/// The state behind the decision on one query.
struct Evaluation
{
    const GatewayState &gateway;
    const PlacementRequest &request;
    std::span<UpstreamState *const> upstreams;
    const CandidateSet &candidates;
    const SelectionRequest &selectionRequest;
    const SelectionPolicy &policy;
    TimePoint now;
};

WhereDecision refusalOf(const Refusal &refusal)
{
    return {"refuse", std::string(refusal.why) + ".", {}, refusal.retryAfter, refusal.kind};
}

/// \returns the decision on a request of whose prompt a part is quarantined.
std::optional<WhereDecision> decideOnQuarantine(const GatewayState &gateway,
                                                const PlacementRequest &request, TimePoint now)
{
    if (!gateway.settings.mechanisms.quarantine || request.prompt == nullptr) {
        return std::nullopt;
    }
    RequestSuspects suspects;
    suspects.keys = partSuspectsOf(hashOf(request.service), *request.prompt);
    const auto blocking = blockingSuspect(suspects, gateway.crashQuarantine, now);
    if (!blocking) {
        return std::nullopt;
    }
    if (blocking->state == QuarantineState::TrialDue) {
        return WhereDecision{
            "wait",
            "Upstreams crashed on a part of the prompt; a trial is due, which the store permits.",
            {},
            {},
            {}};
    }
    return refusalOf({ErrorKind::Quarantined, "upstreams crashed on a part of the prompt",
                      quarantineRetryAfter(gateway.crashQuarantine, blocking->key, now)});
}

std::optional<WhereDecision> decideOnForwarding(const Evaluation &evaluation, std::string_view why)
{
    if (!evaluation.gateway.settings.mechanisms.forwarding) {
        return std::nullopt;
    }
    const auto target = forwardTargetFor(evaluation.gateway, evaluation.request, {});
    if (!target) {
        return std::nullopt;
    }
    return WhereDecision{"forward",
                         fmt::format("This router's reach of the service is lacking ({}); the "
                                     "request is forwarded to the router at {}.",
                                     why, target->host),
                         {},
                         {},
                         {}};
}

bool isTreatedAsCutOff(const GatewayState &gateway, const PlacementRequest &request, TimePoint now)
{
    if (!gateway.isCutOff(request.service)) {
        return false;
    }
    // A copy, so that the trial request stays available.
    ServiceReach reach = gateway.reach.at(request.service);
    return !takeTrialRequest(reach, isRetryable(request.route), now);
}

/// \returns the decision on a request that may be sent to the selected upstream.
WhereDecision decideOnGrant(const Evaluation &evaluation, const UpstreamSelection &choice)
{
    const UpstreamState &target = *evaluation.candidates.upstreams[choice.index];
    WhereDecision decision{"send", {}, target.replica.id, {}, {}};
    if (usesSlotQueue(evaluation.gateway, evaluation.request, target)) {
        const bool isWaiting =
            evaluation.now < target.queueWaitUntil && target.queueWait.count() > 0;
        decision.outcome = isWaiting ? "wait" : "ask-coordinator";
        decision.reason =
            isWaiting ? fmt::format("It waits for a slot at the upstream's coordinator, which "
                                    "stated {} ms a short time ago.",
                                    target.queueWait.count())
                      : "The service is contended; the upstream's coordinator is asked for a slot.";
        return decision;
    }
    if (needsGrant(evaluation.gateway, evaluation.request, target, 0)) {
        decision.outcome = "ask-coordinator";
        decision.reason = evaluation.gateway.isLimitedAsCold(target)
                              ? "The upstream is cold; its coordinator is asked for a permit."
                          : evaluation.gateway.isBrittle(evaluation.request.service)
                              ? "The upstream is brittle; its coordinator is asked for a grant."
                              : "The upstream's coordinator is asked whether it has room.";
        return decision;
    }
    decision.reason = "The upstream has the lowest cost of those that can be used.";
    return decision;
}

/// Decides as RequestHandler::selectAndDispatch() does for the first attempt of a request.
WhereDecision decide(const Evaluation &evaluation)
{
    const GatewayState &gateway = evaluation.gateway;
    const PlacementRequest &request = evaluation.request;
    const CandidateSet &candidates = evaluation.candidates;
    if (auto decision = decideOnQuarantine(gateway, request, evaluation.now)) {
        return *decision;
    }
    if (isTreatedAsCutOff(gateway, request, evaluation.now)) {
        if (auto decision = decideOnForwarding(evaluation, "cut off")) {
            return *decision;
        }
    }
    const auto choice =
        selectUpstream(candidates.upstreams, evaluation.selectionRequest,
                       gateway.upstreams.prefixIndex, evaluation.policy, evaluation.now);
    if (const auto why = lackOfReach(candidates.upstreams, choice, 0, evaluation.now)) {
        if (auto decision = decideOnForwarding(evaluation, *why)) {
            return *decision;
        }
    }
    if (!choice) {
        const StreamState stream;
        return refusalOf(refusalWithoutUpstream(
            gateway, request, {evaluation.upstreams, stream, candidates.hasNoPermittedPlace, 0, 0},
            evaluation.now));
    }
    if (!request.prefixHashes.empty()) {
        const Milliseconds timeout = request.route.timeout;
        const AdmissionDecision admission =
            admit(admissionRequestFor(gateway, request, *choice,
                                      {timeout.count() > 0 ? timeout : unlimitedTime, {}}),
                  gateway.settings.admission);
        if (admission.verdict != AdmissionVerdict::Admitted) {
            return refusalOf(
                {ErrorKind::Overloaded, "the service is overloaded", admission.retryAfter});
        }
        if (candidates.isConstrained
            && !isWithinLoadBound(*choice, *candidates.upstreams[choice->index])) {
            return refusalOf(loadBoundRefusal());
        }
    }
    return decideOnGrant(evaluation, *choice);
}

std::string_view stateOf(const UpstreamState &upstream, TimePoint now)
{
    return isDraining(upstream)                            ? "leaving"
           : isBackingOff(upstream, now)                   ? "back-off"
           : connectFailureCount(upstream.health, now) > 0 ? "unreachable"
           : isEjected(upstream.health, now)               ? "ejected"
           : upstream.cold.remaining(now).count() > 0      ? "cold"
                                                           : "up";
}

/// \returns why an upstream is not considered, although it is permitted.
std::string exclusionOf(const UpstreamState &upstream, Eligibility eligibility, TimePoint now)
{
    const bool isBlocked = now < upstream.permitBlockedUntil;
    switch (eligibility) {
    case Eligibility::Unusable:
        if (isDraining(upstream) || isBackingOff(upstream, now)) {
            return isDraining(upstream) ? "leaving" : "in back-off";
        }
        return isBlocked ? "its coordinator gives no permit now" : "unreachable";
    case Eligibility::Unreachable:
        return "unreachable";
    case Eligibility::Ejected:
        return "ejected after faults";
    default:
        return isBlocked ? "its coordinator gives no permit now" : "over its share of the load";
    }
}

double cachedTokensAt(const UpstreamState &upstream, const Evaluation &evaluation)
{
    const PlacementRequest &request = evaluation.request;
    const std::size_t parts = evaluation.gateway.upstreams.prefixIndex.cachedParts(
        request.prefixHashes, incarnationOf(upstream.replica), evaluation.now);
    double tokens = 0.0;
    for (std::size_t i = 0; i < parts; ++i) {
        tokens += request.prompt->parts[i].tokens;
    }
    return tokens;
}

ordered_json describeCandidates(const Evaluation &evaluation)
{
    const auto &candidates = evaluation.candidates.upstreams;
    const auto evaluations = evaluateCandidates(candidates, evaluation.selectionRequest,
                                                evaluation.gateway.upstreams.prefixIndex,
                                                evaluation.policy, evaluation.now);
    Eligibility best = Eligibility::Unusable;
    for (const CandidateEvaluation &each : evaluations) {
        best = std::min(best, each.eligibility);
    }
    ordered_json list = ordered_json::array();
    for (const UpstreamState *const upstream : evaluation.upstreams) {
        ordered_json entry{{"id", upstream->replica.id},
                           {"dataCentre", upstream->replica.dataCentre},
                           {"state", stateOf(*upstream, evaluation.now)},
                           {"running", runningAt(*upstream)}};
        const auto found = std::find(candidates.begin(), candidates.end(), upstream);
        if (found == candidates.end()) {
            const bool isEvacuated =
                evaluation.request.constraints.evacuated.contains(upstream->replica.dataCentre);
            entry["excluded"] = isEvacuated ? "not permitted there: the data centre is evacuated"
                                            : "not permitted there: not in a home area";
            list.push_back(std::move(entry));
            continue;
        }
        const auto index = static_cast<std::size_t>(found - candidates.begin());
        const CandidateEvaluation &each = evaluations[index];
        entry["loadBound"] = each.selection.loadBound;
        entry["expectedDelayMs"] = each.selection.expectedDelay;
        entry["cachedTokens"] = cachedTokensAt(*upstream, evaluation);
        if (each.eligibility == Eligibility::Unusable || each.eligibility > best) {
            entry["excluded"] = exclusionOf(*upstream, each.eligibility, evaluation.now);
        }
        list.push_back(std::move(entry));
    }
    return list;
}

/// \returns the steps of a request that are left out, because they would change state.
ordered_json stepsNotApplied(const GatewayState &gateway, const WhereQuery &query,
                             const WhereDecision &decision)
{
    ordered_json steps{"the request is not counted in the workspace's rate and the retry budget",
                       "the quarantine of whole requests is not checked, only that of prompt parts",
                       "the upstream's load and cached prefixes are not recorded"};
    if (query.workspace.empty() && gateway.routingTable->config().requiresKeys) {
        steps.push_back("no workspace is stated, so that its homes and priority are left out");
    }
    if (query.key.empty()) {
        steps.push_back("no key is stated; requests are spread by the hash of their own");
    }
    if (decision.outcome == "ask-coordinator" || decision.outcome == "wait") {
        steps.push_back("the coordinator, or the store, is not asked; it may deny the request");
    }
    return steps;
}

WhereReply makeReply(const Evaluation &evaluation, const WhereQuery &query,
                     const WhereDecision &decision)
{
    if (decision.refusalKind == ErrorKind::NoPermittedPlace) {
        return makeError(ErrorKind::NoPermittedPlace, decision.reason);
    }
    ordered_json reply{{"router", evaluation.gateway.settings.id},
                       {"route", query.route},
                       {"service", evaluation.request.service},
                       {"outcome", decision.outcome},
                       {"reason", decision.reason}};
    if (!decision.upstream.empty()) {
        reply["upstream"] = decision.upstream;
    }
    if (decision.retryAfter) {
        reply["retryAfterMs"] = decision.retryAfter->count();
    }
    reply["candidates"] = describeCandidates(evaluation);
    reply["notApplied"] = stepsNotApplied(evaluation.gateway, query, decision);
    return {ok, serialize(reply)};
}

WhereReply evaluateQuery(const GatewayState &gateway, const WhereQuery &query, const Route &route,
                         const RoutedWorkspace *workspace)
{
    const TimePoint now = gateway.clock.now();
    const std::uint64_t hash = hashOf(query.key);
    const std::string service(serviceOf(route, hash));
    const std::vector<std::uint64_t> prefixHashes =
        query.prompt ? prefixHashesOf(*query.prompt) : std::vector<std::uint64_t>{};
    const PlacementRequest request{route,
                                   service,
                                   query.workspace,
                                   hash,
                                   query.prompt ? &*query.prompt : nullptr,
                                   prefixHashes,
                                   requestPriority(route, workspace),
                                   placementConstraintsFor(gateway, route,
                                                           workspace == nullptr
                                                               ? std::span<const std::string>{}
                                                               : std::span(workspace->homes))};
    const UpstreamCopies copies(gateway, service);
    const CandidateSet candidates = candidatesFor(copies.pointers, request.constraints, {});
    const auto found = gateway.estimators.find(service);
    // The estimator of a service without requests has its prior only.
    const ServiceEstimator prior;
    const ServiceEstimator &estimator = found == gateway.estimators.end() ? prior : found->second;
    const SelectionPolicy policy = selectionPolicyFor(
        gateway.settings, gateway.settings.mechanisms.estimates ? &estimator : nullptr, candidates,
        now);
    const SelectionRequest selectionRequest = selectionRequestFor(gateway, request, {});
    const Evaluation evaluation{gateway, request, copies.pointers, candidates, selectionRequest,
                                policy,  now};
    return makeReply(evaluation, query, decide(evaluation));
}

} // namespace

WhereReply answerWhereQuery(const GatewayState &gateway, std::string_view body)
{
    std::string fault;
    const auto query = parseQuery(gateway.dialect, body, fault);
    if (!query) {
        return makeError(ErrorKind::BadRequest, fault);
    }
    if (!gateway.routingTable) {
        return makeError(ErrorKind::NoCatalogue, "no routing configuration yet");
    }
    const RoutingConfig &config = gateway.routingTable->config();
    const auto route =
        std::find_if(config.routes.begin(), config.routes.end(),
                     [&query](const Route &each) { return each.name == query->route; });
    if (route == config.routes.end()) {
        return makeError(ErrorKind::NotFound, fmt::format("no route \"{}\"", query->route));
    }
    if (query->workspace.empty()) {
        return evaluateQuery(gateway, *query, *route, nullptr);
    }
    const auto workspace = std::find_if(
        config.workspaces.begin(), config.workspaces.end(),
        [&query](const RoutedWorkspace &each) { return each.name == query->workspace; });
    if (workspace == config.workspaces.end()) {
        return makeError(ErrorKind::NotFound, fmt::format("no workspace \"{}\"", query->workspace));
    }
    return evaluateQuery(gateway, *query, *route, &*workspace);
}

} // namespace plantainswitch::gateway
