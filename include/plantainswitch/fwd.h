#pragma once

/// Forward declarations of the library's types.

#include <cstdint>

namespace plantainswitch {

class BrittleGrants;
class BufferPool;
class BufferShare;
class BrittleServices;
class Clock;
class ContendedServices;
class ConcurrencyLimit;
class ConcurrencyLimits;
class OriginConfirmations;
class OwnClaimTable;
class CatalogueTable;
class PrefixIndex;
class ChatAffinityCache;
class EngineCoordinator;
class EventLoopMonitor;
class EventRelay;
class ExplainTable;
class FleetRetryBudget;
class ShardCoordinator;
class SlotOrder;
class SlotQueue;
class LimitTable;
class LineBuffer;
class MemberTable;
class Metrics;
class UpdateLog;
class UpstreamSpeeds;
class PeerLoads;
class ReplicaDirectory;
class RetryBudget;
class RouterContacts;
class RoutingTable;
class RunTimeEstimate;
class ServiceVersions;
class SseParser;
class StreamOriginTable;
class SuspectTable;
class UpstreamNotices;
class UpstreamTable;
class WorkQueue;
class WorkspaceUsage;

template<typename Key, typename Value>
class SharedMap;

struct Authorization;
struct BrittleCount;
struct BrittleNotice;
struct CatalogueView;
struct ChatHints;
struct StopSchedule;
struct UpstreamSelection;
struct SelectionRequest;
struct Claim;
struct ClaimRequest;
struct ClaimId;
struct ClaimLog;
struct ClaimRelease;
struct ClaimReply;
struct ConfirmationRequest;
struct ContentionNotice;
struct ContentionPolicy;
struct DataCentreContact;
struct DataCentreEvidence;
struct DataClass;
struct EngineGrantReply;
struct EngineOrders;
struct EngineGrantRequest;
struct EngineStatus;
struct EngineSetup;
struct Entry;
struct FairQueue;
struct Fault;
struct Heartbeat;
struct LeavingNotice;
struct MemberUpdate;
struct LeaseState;
struct LimitReport;
struct LimitShares;
struct LimitUse;
struct OriginRecord;
struct OriginSearch;
struct OriginWitnesses;
struct PlacementPlan;
struct Prompt;
struct Reason;
struct Replica;
struct Route;
struct RunTimeBound;
struct RouterContact;
struct RouterUpdate;
struct RoutingConfig;
struct Service;
struct Shard;
struct ShardSummary;
struct SlotRequest;
struct SlotDigest;
struct SlotDrop;
struct SlotGrant;
struct SlotList;
struct SlotListRequest;
struct SlotQueueLimits;
struct SlotQueueReply;
struct SlotQueueRequest;
struct SlotRelease;
struct SlotReply;
struct SlotRun;
struct StreamOrigin;
struct StreamState;
struct SwimMessage;
struct SwimState;
struct Upstream;
struct UpstreamHealth;
struct UpstreamState;
struct Vm;
struct VmList;
struct Workspace;
struct WorkspaceSurge;
struct WorkspaceUse;

enum class ErrorKind : std::uint8_t;
enum class Event : std::uint16_t;
enum class ExecutionStatus : std::uint8_t;

} // namespace plantainswitch
