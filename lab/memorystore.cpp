#include "memorystore.h"

namespace plantainswitch::lab {

StoreResponse carryOut(MemoryStore &store, const StoreCall &call)
{
    MemoryStore::Object &object = store.objects[call.name];
    if (call.write && object.version == call.ifVersion) {
        object = {++store.versions, call.body};
        return {StoreOutcome::Ok, object.version, {}};
    }
    if (call.write) {
        return {StoreOutcome::Conflict, object.version, object.body};
    }
    const auto outcome = object.version == 0 ? StoreOutcome::NotFound : StoreOutcome::Ok;
    return {outcome, object.version, object.body};
}

void fillWithLongLog(MemoryStore &store, std::uint32_t slice, const ClaimLogLimits &limits)
{
    const std::string prefix = std::to_string(slice);
    const nlohmann::json none = nlohmann::json::array();
    for (std::uint64_t number = 0; number < limits.maxSegments; ++number) {
        store.objects[prefix + "-g" + std::to_string(number)] = {
            ++store.versions,
            {{"number", number}, {"time", 1U}, {"horizon", 0U}, {"entries", none}}};
    }
    const std::uint64_t first = limits.maxSegments * limits.positionsPerSegment;
    for (std::uint64_t offset = 0; offset < limits.positionsPerSegment / 2; ++offset) {
        store.objects[prefix + "-p" + std::to_string(offset)] = {
            ++store.versions,
            {{"position", first + offset},
             {"nonce", "0." + std::to_string(offset)},
             {"time", 1U},
             {"entries", none}}};
    }
}

} // namespace plantainswitch::lab
