#include "scaleobjects.h"

#include <algorithm>

namespace plantainswitch::lab {

std::string numbered(const std::string &prefix, std::size_t number)
{
    constexpr std::size_t digits = 4;
    const std::string text = std::to_string(number);
    return prefix + "-" + std::string(digits - std::min(digits, text.size()), '0') + text;
}

Heartbeat heartbeatOf(std::size_t number)
{
    constexpr std::uint64_t incarnation = 1'790'000'000'000'000ULL;
    Heartbeat heartbeat;
    heartbeat.dataCentre = numbered("place", number % placeCount);
    heartbeat.id = numbered(heartbeat.dataCentre + "-router", number);
    const std::string host = "10.20." + std::to_string(number % placeCount) + "."
                             + std::to_string(1 + number / placeCount);
    heartbeat.datagramEndpoint = {host, 8082};
    heartbeat.rpcEndpoint = {host, 8083};
    heartbeat.incarnation = incarnation + number;
    heartbeat.catalogueVersion = 42'000;
    heartbeat.catalogueAgeMilliseconds = 300;
    heartbeat.vmListVersion = incarnation / 1000;
    heartbeat.vmListDigest = static_cast<std::uint32_t>(hashOf("digest"));
    return heartbeat;
}

Vm engineOf(std::size_t number, std::size_t places)
{
    Vm vm;
    vm.id = numbered("engine", number);
    vm.service = modelName;
    vm.dataCentre = places == 1 ? placeName : numbered("place", number % places);
    vm.endpoint = {"10.30.1.17", 9000};
    return vm;
}

Entry workspaceOf(std::size_t number, std::uint64_t version)
{
    Workspace body;
    body.owner = numbered("owner", number);
    body.dataClass = numbered("class", number % placeCount);
    body.token = numbered("token-0123456789abcdef0123456789abcdef", number);
    body.services = {modelName, "job-desk"};
    body.requestsPerSecond = 100;
    body.maxInFlight = 200;
    return {{EntryKind::Workspace, numbered("workspace", number)}, version, body};
}

std::vector<Entry> catalogueOf(std::size_t workspaces)
{
    std::vector<Entry> entries;
    std::uint64_t version = 0;
    for (std::size_t number = 0; number < placeCount; ++number) {
        entries.push_back({{EntryKind::DataClass, numbered("class", number)},
                           ++version,
                           DataClass{"owner", {numbered("place", number), placeName}, 0}});
    }
    for (std::size_t number = 0; number < modelCount; ++number) {
        Service body;
        body.owner = "owner";
        body.dataClass = numbered("class", 0);
        const std::string name = number == 0 ? modelName : numbered("model", number);
        entries.push_back({{EntryKind::Service, name}, ++version, body});
    }
    for (std::size_t number = 0; number < workspaces; ++number) {
        entries.push_back(workspaceOf(number, ++version));
    }
    return entries;
}

} // namespace plantainswitch::lab
