#include "settings.h"

#include "plantainswitch/base/fields.h"
#include "plantainswitch/observe/logsettings.h"

#include <asio/ip/address.hpp>

namespace plantainswitch {

namespace {

constexpr std::uint32_t maxWorkers = 64;
constexpr std::uint32_t maxPort = 65535;
constexpr std::uint32_t minBodyLimit = 1024;
constexpr std::uint32_t maxBodyLimit = 64 << 20;
constexpr std::uint32_t maxLingerMilliseconds = 60'000;

void checkAddress(const std::string &host, const std::string &path, std::vector<Fault> &faults)
{
    asio::error_code error;
    static_cast<void>(asio::ip::make_address(host, error));
    if (error && !host.empty()) {
        faults.push_back({path, "\"" + host + "\"", "an IP number"});
    }
}

Endpoint readEndpoint(FieldReader &parent, std::string_view name, std::vector<Fault> &faults)
{
    Endpoint endpoint;
    FieldReader fields(parent.child(name), parent.pathOf(name), faults);
    fields.read("address", endpoint.host, true);
    checkAddress(endpoint.host, fields.pathOf("address"), faults);
    std::uint32_t port = 0;
    fields.read("port", port, 1, maxPort, true);
    endpoint.port = static_cast<std::uint16_t>(port);
    fields.finish();
    return endpoint;
}

void readPeer(FieldReader &parent, Settings &settings, std::vector<Fault> &faults)
{
    FieldReader fields(parent.child("peer"), parent.pathOf("peer"), faults);
    std::string host;
    std::uint32_t datagramPort = 0;
    std::uint32_t callPort = 0;
    fields.read("address", host, true);
    checkAddress(host, fields.pathOf("address"), faults);
    fields.read("datagramPort", datagramPort, 1, maxPort, true);
    fields.read("callPort", callPort, 1, maxPort, true);
    fields.read("seeds", settings.seeds);
    fields.finish();
    settings.peerDatagrams = {host, static_cast<std::uint16_t>(datagramPort)};
    settings.peerCalls = {host, static_cast<std::uint16_t>(callPort)};
}

void readPlatform(FieldReader &parent, Settings &settings, std::vector<Fault> &faults)
{
    FieldReader fields(parent.child("platform"), parent.pathOf("platform"), faults);
    fields.read("url", settings.platformUrl, true);
    if (!settings.platformUrl.empty() && !settings.platformUrl.starts_with("http://")) {
        faults.push_back({fields.pathOf("url"), "\"" + settings.platformUrl + "\"",
                          "an address that begins with http://"});
    }
    fields.finish();
}

} // namespace

std::optional<Settings> parseSettings(std::string_view text, std::vector<Fault> &faults)
{
    const std::optional<nlohmann::json> json = parseJson(text, faults);
    if (!json) {
        return std::nullopt;
    }
    Settings settings;
    FieldReader fields(*json, "", faults);
    fields.read("id", settings.id, true);
    fields.read("place", settings.dataCentre, true);
    fields.read("workers", settings.workers, 1, maxWorkers);
    settings.callers = readEndpoint(fields, "callers", faults);
    settings.operators = readEndpoint(fields, "operators", faults);
    readPeer(fields, settings, faults);
    readPlatform(fields, settings, faults);
    fields.read("largestBody", settings.maxBodyBytes, minBodyLimit, maxBodyLimit);
    fields.read("lingerMilliseconds", settings.lingerMilliseconds, 0, maxLingerMilliseconds);
    settings.log = readLogSettings(fields, faults);
    fields.finish();
    if (!faults.empty()) {
        return std::nullopt;
    }
    return settings;
}

} // namespace plantainswitch
