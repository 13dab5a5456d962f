#pragma once

/// Forward declarations of the library's types.

#include <cstdint>

namespace plantainswitch {

class Clock;
class OwnClaimTable;
class CatalogueTable;
class ChatMemory;
class ExplainTable;
class KeeperTable;
class LimitTable;
class MemberTable;
class Metrics;
class RetryBudget;
class SseParser;
class SuspectTable;
class UpstreamTable;

template<typename Key, typename Value>
class SharedMap;

struct Admission;
struct CatalogueView;
struct ChatHints;
struct Claim;
struct ClaimAsk;
struct ClaimId;
struct ClaimLog;
struct ClaimRelease;
struct ClaimReply;
struct DataClass;
struct EngineOrders;
struct EngineReading;
struct EngineSetup;
struct Entry;
struct FairQueue;
struct Fault;
struct Heartbeat;
struct LeavingNotice;
struct MemberUpdate;
struct LeaseWatch;
struct LimitReport;
struct LimitShares;
struct LimitUse;
struct PlacementPlan;
struct Reason;
struct Service;
struct Shard;
struct ShardSummary;
struct SlotAsk;
struct SlotDigest;
struct SlotList;
struct SlotListAsk;
struct SlotRelease;
struct SlotReply;
struct SwimMessage;
struct SwimState;
struct Upstream;
struct Vm;
struct VmList;
struct Workspace;

enum class ErrorKind : std::uint8_t;
enum class Event : std::uint16_t;
enum class Ran : std::uint8_t;

} // namespace plantainswitch
