#include "plantainswitch/observe/event.h"

#include <algorithm>
#include <array>

#include <nlohmann/json.hpp>

namespace plantainswitch {

namespace {

constexpr std::array severityNames{std::string_view{"debug"}, std::string_view{"info"},
                                   std::string_view{"warning"}, std::string_view{"error"}};

constexpr std::array events{
    EventRow{Event::Started, "started", Severity::Info},
    EventRow{Event::Stopping, "stopping", Severity::Info},
    EventRow{Event::Stopped, "stopped", Severity::Info},
    EventRow{Event::StopRepeated, "stop-repeated", Severity::Info},
    EventRow{Event::StopDraining, "stop-draining", Severity::Info},
    EventRow{Event::SettingsReloaded, "settings-reloaded", Severity::Info},
    EventRow{Event::ReadinessChanged, "readiness-changed", Severity::Info},
    EventRow{Event::LogDropped, "log-dropped", Severity::Warning},
    EventRow{Event::Paused, "paused", Severity::Warning},
    EventRow{Event::LoopLate, "loop-late", Severity::Warning},
    EventRow{Event::CatalogueTaken, "catalogue-taken", Severity::Info},
    EventRow{Event::PlatformUnreachable, "platform-unreachable", Severity::Warning},
    EventRow{Event::PlatformBack, "platform-back", Severity::Info},
    EventRow{Event::EntryInvalid, "entry-invalid", Severity::Error},
    EventRow{Event::PlatformBehind, "platform-behind", Severity::Error},
    EventRow{Event::WatchBegun, "watch-begun", Severity::Info},
    EventRow{Event::WatchEnded, "watch-ended", Severity::Info},
    EventRow{Event::VmListShort, "vm-list-short", Severity::Error},
    EventRow{Event::RoutingTaken, "routing-taken", Severity::Info},
    EventRow{Event::ReplicaChanged, "replica-changed", Severity::Info},
    EventRow{Event::HistoryLost, "history-lost", Severity::Info},
    EventRow{Event::ObjectsListed, "objects-listed", Severity::Info},
    EventRow{Event::WatchCut, "watch-cut", Severity::Info},
    EventRow{Event::CaughtUp, "caught-up", Severity::Info},
    EventRow{Event::Announced, "announced", Severity::Info},
    EventRow{Event::WatchDeaf, "watch-deaf", Severity::Warning},
    EventRow{Event::StoreUnconfirmed, "store-unconfirmed", Severity::Warning},
    EventRow{Event::EvacuationChanged, "evacuation-changed", Severity::Warning},
    EventRow{Event::MemberJoined, "member-joined", Severity::Info},
    EventRow{Event::MemberGone, "member-gone", Severity::Warning},
    EventRow{Event::DatagramInvalid, "datagram-invalid", Severity::Warning},
    EventRow{Event::MemberSuspected, "member-suspected", Severity::Info},
    EventRow{Event::LeavingHeard, "leaving-heard", Severity::Info},
    EventRow{Event::DataCentreReached, "data-centre-reached", Severity::Warning},
    EventRow{Event::RequestDone, "request-done", Severity::Debug},
    EventRow{Event::RequestRefused, "request-refused", Severity::Info},
    EventRow{Event::AnswerCut, "answer-cut", Severity::Warning},
    EventRow{Event::CallerGone, "caller-gone", Severity::Info},
    EventRow{Event::RequestPlaced, "request-placed", Severity::Info},
    EventRow{Event::RequestRetried, "request-retried", Severity::Info},
    EventRow{Event::RequestEnded, "request-ended", Severity::Info},
    EventRow{Event::RequestNotAdmitted, "request-not-admitted", Severity::Info},
    EventRow{Event::RequestReturned, "request-returned", Severity::Info},
    EventRow{Event::ClaimUnavailable, "claim-unavailable", Severity::Warning},
    EventRow{Event::ClaimTaken, "claim-taken", Severity::Info},
    EventRow{Event::ClaimReleased, "claim-released", Severity::Info},
    EventRow{Event::ClaimWriterSilent, "claim-writer-silent", Severity::Warning},
    EventRow{Event::ClaimStoreFailing, "claim-store-failing", Severity::Error},
    EventRow{Event::ClaimStoreBack, "claim-store-back", Severity::Info},
    EventRow{Event::AnswerResumed, "answer-resumed", Severity::Info},
    EventRow{Event::RetryBudgetSpent, "retry-budget-spent", Severity::Warning},
    EventRow{Event::PermitDenied, "permit-denied", Severity::Debug},
    EventRow{Event::RequestForwarded, "request-forwarded", Severity::Info},
    EventRow{Event::StreamTakenUp, "stream-taken-up", Severity::Info},
    EventRow{Event::RequestQueued, "request-queued", Severity::Debug},
    EventRow{Event::RequestQueueLeft, "request-queue-left", Severity::Debug},
    EventRow{Event::VersionsRecorded, "versions-recorded", Severity::Info},
    EventRow{Event::WitnessesResponding, "witnesses-responding", Severity::Warning},
    EventRow{Event::OriginsRecorded, "origins-recorded", Severity::Info},
    EventRow{Event::LimitReached, "limit-reached", Severity::Debug},
    EventRow{Event::UpstreamUnreachable, "upstream-unreachable", Severity::Warning},
    EventRow{Event::UpstreamGarbage, "upstream-garbage", Severity::Error},
    EventRow{Event::UpstreamLeaving, "upstream-leaving", Severity::Info},
    EventRow{Event::KeeperSilent, "keeper-silent", Severity::Warning},
    EventRow{Event::UpstreamAvoided, "upstream-avoided", Severity::Warning},
    EventRow{Event::UpstreamUsedAgain, "upstream-used-again", Severity::Info},
    EventRow{Event::UpstreamFaulty, "upstream-faulty", Severity::Info},
    EventRow{Event::UpstreamChecked, "upstream-checked", Severity::Info},
    EventRow{Event::FiguresEstimated, "figures-estimated", Severity::Info},
    EventRow{Event::UpstreamPresumedCold, "upstream-presumed-cold", Severity::Info},
    EventRow{Event::KeeperReplaced, "keeper-replaced", Severity::Warning},
    EventRow{Event::SlotsDiffer, "slots-differ", Severity::Info},
    EventRow{Event::ShardsHandedOver, "shards-handed-over", Severity::Info},
    EventRow{Event::UpstreamBackoff, "upstream-backoff", Severity::Info},
    EventRow{Event::ServiceCutOff, "service-cut-off", Severity::Warning},
    EventRow{Event::ServiceReached, "service-reached", Severity::Info},
    EventRow{Event::ServiceBrittle, "service-brittle", Severity::Warning},
    EventRow{Event::ServiceSound, "service-sound", Severity::Info},
    EventRow{Event::BrittleRejection, "brittle-rejection", Severity::Info},
    EventRow{Event::BrittleUngranted, "brittle-ungranted", Severity::Info},
    EventRow{Event::ServicePartlyReached, "service-partly-reached", Severity::Warning},
    EventRow{Event::BrittleRoomReduced, "brittle-room-reduced", Severity::Warning},
    EventRow{Event::BrittleRunAbandoned, "brittle-run-abandoned", Severity::Info},
    EventRow{Event::ServiceContended, "service-contended", Severity::Warning},
    EventRow{Event::ServiceUncontended, "service-uncontended", Severity::Info},
    EventRow{Event::LimitChanged, "limit-changed", Severity::Info},
    EventRow{Event::SpeedChanged, "speed-changed", Severity::Info},
    EventRow{Event::UpstreamCrashed, "upstream-crashed", Severity::Warning},
    EventRow{Event::RequestQuarantined, "request-quarantined", Severity::Error},
    EventRow{Event::CrashReported, "crash-reported", Severity::Info},
    EventRow{Event::QuarantineTrial, "quarantine-trial", Severity::Info},
    EventRow{Event::OrderLeaseTaken, "order-lease-taken", Severity::Info},
    EventRow{Event::OrderLeaseLost, "order-lease-lost", Severity::Warning},
    EventRow{Event::OrderSent, "order-sent", Severity::Info},
    EventRow{Event::OrderRefused, "order-refused", Severity::Error},
    EventRow{Event::OrdersDone, "orders-done", Severity::Info},
};

std::string quoted(const std::string &value)
{
    return nlohmann::json(value).dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}

bool isUnquoted(const std::string &value) noexcept
{
    return !value.empty() && std::all_of(value.begin(), value.end(), [](unsigned char c) {
        return c > ' ' && c < 0x7f && c != '"' && c != '=' && c != '\\';
    });
}

std::string formatJson(std::string_view node, const EventRow &row, std::span<const LogField> fields)
{
    nlohmann::ordered_json line{{"event", static_cast<unsigned>(row.event)},
                                {"name", row.name},
                                {"severity", nameOf(row.severity)},
                                {"node", node}};
    for (const LogField &field : fields) {
        line[std::string(field.first)] = field.second;
    }
    return line.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}

} // namespace

std::string_view nameOf(Severity severity) noexcept
{
    return severityNames.at(static_cast<std::size_t>(severity));
}

std::span<const EventRow> eventTable() noexcept
{
    return events;
}

const EventRow &eventRow(Event event) noexcept
{
    const auto *const found = std::find_if(
        events.begin(), events.end(), [event](const EventRow &row) { return row.event == event; });
    return found == events.end() ? events.front() : *found;
}

std::string formatEvent(LogFormat format, std::string_view node, const EventRow &row,
                        std::span<const LogField> fields)
{
    if (format == LogFormat::Json) {
        return formatJson(node, row, fields);
    }
    std::string line = "event=" + std::to_string(static_cast<unsigned>(row.event));
    line.append(" name=").append(row.name);
    line.append(" severity=").append(nameOf(row.severity));
    line.append(" node=").append(node);
    for (const LogField &field : fields) {
        line.append(" ").append(field.first).append("=");
        line.append(isUnquoted(field.second) ? field.second : quoted(field.second));
    }
    return line;
}

std::string formatMilliseconds(Duration span)
{
    return std::to_string(std::chrono::duration_cast<Milliseconds>(span).count());
}

} // namespace plantainswitch
