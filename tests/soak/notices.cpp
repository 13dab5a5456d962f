#include "notices.h"

#include <algorithm>

#include <fmt/format.h>

namespace plantainswitch::soak {

namespace {

constexpr int statusOk = 200;

/// The history, indexed by what the checks look up.
struct NoticeContext
{
    const SoakHistory &history;
    const SoakBounds &bounds;
    std::map<std::string, const CallRecord *> calls;
    std::map<std::string, std::vector<const RunRecord *>> runsByUpstream;
    /// The last run of each call.
    std::map<std::string, const RunRecord *> lastRuns;
};

NoticeContext makeContext(const SoakHistory &history, const SoakBounds &bounds)
{
    NoticeContext context{history, bounds, {}, {}, {}};
    for (const CallRecord &call : history.calls) {
        context.calls[call.attemptId] = &call;
    }
    for (const RunRecord &run : history.runs) {
        context.runsByUpstream[run.upstream].push_back(&run);
        const RunRecord *&last = context.lastRuns[run.attemptId];
        if (last == nullptr || last->arrivedAt <= run.arrivedAt) {
            last = &run;
        }
    }
    return context;
}

/// \returns the runs at the notice's upstream that the incarnation of the router which received the
/// notice has sent.
std::vector<const RunRecord *> runsOfSameRouter(const NoticeContext &context,
                                                const NoticeRecord &notice, const CallRecord &call)
{
    std::vector<const RunRecord *> found;
    const auto runs = context.runsByUpstream.find(notice.upstream);
    if (runs == context.runsByUpstream.end()) {
        return found;
    }
    for (const RunRecord *const run : runs->second) {
        const auto other = context.calls.find(run->attemptId);
        if (other != context.calls.end() && other->second->router == call.router
            && other->second->incarnation == call.incarnation) {
            found.push_back(run);
        }
    }
    return found;
}

/// \returns whether the router may not have received the response.
bool mayBeLost(const NoticeContext &context, const NoticeRecord &notice, const CallRecord &call)
{
    const Milliseconds delay = context.bounds.backoffDelay;
    const SoakTime until = notice.at + delay;
    const auto link = context.history.lossyLinks.find(notice.upstream);
    return (link != context.history.lossyLinks.end()
            && overlapsFault(link->second, notice.at, until, delay))
           || overlapsFault(context.history.ownPauses, notice.at, until, delay)
           || overlapsRouterFault(context.history, call.router, notice.at, until, delay)
           || (call.outcome == CallOutcome::Abandoned && call.endedAt <= until);
}

void checkBackoff(const NoticeContext &context, const NoticeRecord &notice, const CallRecord &call,
                  std::vector<Violation> &violations)
{
    const SoakTime from = notice.at + context.bounds.backoffDelay;
    const SoakTime until = notice.at + notice.backoff;
    const auto runs = runsOfSameRouter(context, notice, call);
    const auto count = std::count_if(runs.begin(), runs.end(), [&](const RunRecord *run) {
        return run->arrivedAt > from && run->arrivedAt < until
               && !overlapsRouterFault(context.history, call.router, notice.at, run->arrivedAt,
                                       Milliseconds{0});
    });
    if (static_cast<std::size_t>(count) > context.bounds.maxBackoffRequests) {
        violations.push_back(
            {"backoff", fmt::format("{} asked router {} at {} ms for a back-off of {} ms and got "
                                    "{} requests from it",
                                    notice.upstream, call.router, notice.at.count(),
                                    notice.backoff.count(), count)});
    }
}

void checkAnnouncedDraining(const NoticeContext &context, const NoticeRecord &notice,
                            const CallRecord &call, std::vector<Violation> &violations)
{
    const bool isPassedOn = call.outcome == CallOutcome::Completed && call.status == statusOk
                            && context.lastRuns.at(call.attemptId)->upstream == notice.upstream;
    if (!isPassedOn) {
        return;
    }
    for (const RunRecord *const run : runsOfSameRouter(context, notice, call)) {
        const CallRecord &later = *context.calls.at(run->attemptId);
        const bool isLate = later.sentAt > call.endedAt + context.bounds.announcedDrain;
        if (isLate
            && !overlapsRouterFault(context.history, call.router, call.endedAt, later.sentAt,
                                    Milliseconds{0})) {
            violations.push_back(
                {"announced-draining",
                 fmt::format("{} announced to router {} at {} ms that it is draining and got call "
                             "{}, sent at {} ms",
                             notice.upstream, call.router, notice.at.count(), later.attemptId,
                             later.sentAt.count())});
        }
    }
}

} // namespace

void checkNotices(const SoakHistory &history, const SoakBounds &bounds,
                  std::vector<Violation> &violations)
{
    const NoticeContext context = makeContext(history, bounds);
    for (const NoticeRecord &notice : history.notices) {
        const auto call = context.calls.find(notice.attemptId);
        if (call == context.calls.end() || mayBeLost(context, notice, *call->second)) {
            continue;
        }
        if (notice.backoff.count() > 0) {
            checkBackoff(context, notice, *call->second, violations);
        } else {
            checkAnnouncedDraining(context, notice, *call->second, violations);
        }
    }
}

} // namespace plantainswitch::soak
