#pragma once

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <utility>

#include "plantainswitch/base/clock.h"

namespace plantainswitch {

/// Severity of a log event.
enum class Severity : std::uint8_t { Debug, Info, Warning, Error };
[[nodiscard]] std::string_view nameOf(Severity severity) noexcept;

/// Numbered log events; docs/EVENTS.md explains each one and how to respond to it.
enum class Event : std::uint16_t {
    Started = 100,
    Stopping = 101,
    Stopped = 102,
    StopRepeated = 103,
    StopDraining = 104,
    SettingsReloaded = 105,
    ReadinessChanged = 106,
    LogDropped = 107,
    Paused = 108,
    LoopLate = 109,
    CatalogueTaken = 200,
    PlatformUnreachable = 201,
    PlatformBack = 202,
    EntryInvalid = 203,
    PlatformBehind = 204,
    WatchBegun = 205,
    WatchEnded = 206,
    VmListShort = 207,
    RoutingTaken = 208,
    ReplicaChanged = 209,
    HistoryLost = 210,
    ObjectsListed = 211,
    WatchCut = 212,
    CaughtUp = 213,
    Announced = 214,
    WatchDeaf = 215,
    StoreUnconfirmed = 216,
    EvacuationChanged = 217,
    MemberJoined = 300,
    MemberGone = 301,
    DatagramInvalid = 302,
    MemberSuspected = 303,
    LeavingHeard = 304,
    DataCentreReached = 305,
    RequestDone = 400,
    RequestRefused = 401,
    AnswerCut = 402,
    CallerGone = 403,
    RequestPlaced = 404,
    RequestRetried = 405,
    RequestEnded = 406,
    RequestNotAdmitted = 407,
    RequestReturned = 408,
    ClaimUnavailable = 410,
    ClaimTaken = 411,
    ClaimReleased = 412,
    ClaimWriterSilent = 413,
    ClaimStoreFailing = 414,
    ClaimStoreBack = 415,
    AnswerResumed = 416,
    RetryBudgetSpent = 417,
    PermitDenied = 418,
    RequestForwarded = 419,
    StreamTakenUp = 420,
    RequestQueued = 421,
    RequestQueueLeft = 422,
    VersionsRecorded = 423,
    WitnessesResponding = 424,
    OriginsRecorded = 425,
    LimitReached = 450,
    UpstreamUnreachable = 500,
    UpstreamGarbage = 501,
    UpstreamLeaving = 502,
    KeeperSilent = 503,
    UpstreamAvoided = 504,
    UpstreamUsedAgain = 505,
    UpstreamFaulty = 506,
    UpstreamChecked = 507,
    FiguresEstimated = 508,
    UpstreamPresumedCold = 509,
    KeeperReplaced = 510,
    SlotsDiffer = 511,
    ShardsHandedOver = 512,
    UpstreamBackoff = 513,
    ServiceCutOff = 514,
    ServiceReached = 515,
    ServiceBrittle = 516,
    ServiceSound = 517,
    BrittleRejection = 518,
    BrittleUngranted = 519,
    ServicePartlyReached = 520,
    BrittleRoomReduced = 521,
    BrittleRunAbandoned = 522,
    ServiceContended = 523,
    ServiceUncontended = 524,
    LimitChanged = 525,
    SpeedChanged = 526,
    UpstreamCrashed = 550,
    RequestQuarantined = 551,
    CrashReported = 552,
    QuarantineTrial = 553,
    OrderLeaseTaken = 600,
    OrderLeaseLost = 601,
    OrderSent = 602,
    OrderRefused = 603,
    OrdersDone = 604,
};

/// Number, name and severity of one event.
struct EventRow
{
    Event event;
    std::string_view name;
    Severity severity;
};

/// \returns the table of all events.
[[nodiscard]] std::span<const EventRow> eventTable() noexcept;
/// \returns the row of \a event.
[[nodiscard]] const EventRow &eventRow(Event event) noexcept;

/// A key and its value in a log line.
using LogField = std::pair<std::string_view, std::string>;

/// Format of log lines.
enum class LogFormat : std::uint8_t { KeyValue, Json };

/// Settings of a program's log.
struct LogSettings
{
    LogFormat format = LogFormat::KeyValue;
    /// Minimum severity of logged events.
    Severity level = Severity::Info;
};

/// Starts logging to standard error through Boost.Log. Events before this call are dropped.
void startLogging(const LogSettings &settings, std::string node);
/// Receives formatted lines. For processes that serve on the thread that logs, where a write to a
/// full pipe would block every request.
using LineWriter = std::function<void(Severity severity, std::string line)>;
void startLogging(const LogSettings &settings, std::string node, LineWriter writer);
/// Stops logging; later events are dropped.
void stopLogging();
/// Logs one event as one line.
void logEvent(Event event, std::initializer_list<LogField> fields);
/// \returns whole milliseconds, as fields of events state them.
[[nodiscard]] std::string formatMilliseconds(Duration span);

/// \returns the line of an event in \a format; values are escaped so that the result is one line.
[[nodiscard]] std::string formatEvent(LogFormat format, std::string_view node, const EventRow &row,
                                      std::span<const LogField> fields);

} // namespace plantainswitch
