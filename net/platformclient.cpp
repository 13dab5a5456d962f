#include "platformclient.h"

#include <limits>

#include <asio/ip/address.hpp>

#include "plantainswitch/base/hash.h"
#include "plantainswitch/base/jsontext.h"
#include "plantainswitch/catalogue/parse.h"

namespace plantainswitch::net {

namespace {

constexpr std::chrono::milliseconds callTimeout{3000};
constexpr int statusOk = 200;
constexpr int statusNotModified = 304;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;
constexpr int firstServerError = 500;

std::string stringField(const nlohmann::json &json, const char *name)
{
    const auto found = json.find(name);
    return found != json.end() && found->is_string() ? found->get<std::string>() : std::string{};
}

std::optional<nlohmann::json> parseDocument(std::string_view text)
{
    std::vector<Fault> faults;
    return parseJson(text, faults);
}

bool isIpAddress(const std::string &host)
{
    asio::error_code error;
    static_cast<void>(asio::ip::make_address(host, error));
    return !error;
}

PlatformResponse toPlatformResponse(const HttpResponse &http)
{
    PlatformResponse response;
    response.detail = http.detail;
    if (http.outcome != HttpOutcome::Complete) {
        response.status = http.outcome == HttpOutcome::NotConnected ? PlatformStatus::Rejected
                                                                    : PlatformStatus::Unknown;
        return response;
    }
    response.object = parseObject(parseDocument(http.body).value_or(nullptr));
    if (http.status == statusOk) {
        response.status = response.object ? PlatformStatus::Ok : PlatformStatus::Unknown;
    } else if (http.status == statusNotFound) {
        response.status = PlatformStatus::NotFound;
    } else if (http.status == statusConflict) {
        response.status = PlatformStatus::Conflict;
    } else if (http.status >= firstServerError) {
        response.status = PlatformStatus::Unknown;
    } else {
        response.status = PlatformStatus::Rejected;
    }
    return response;
}

} // namespace

std::optional<PlatformObject> parseObject(const nlohmann::json &json)
{
    if (!json.is_object() || !json.contains("version") || !json["version"].is_number_unsigned()) {
        return std::nullopt;
    }
    PlatformObject object;
    object.kind = stringField(json, "kind");
    object.name = stringField(json, "name");
    if (object.kind.empty() || object.name.empty()) {
        return std::nullopt;
    }
    object.version = json["version"].get<std::uint64_t>();
    if (json.contains("body")) {
        object.body = json["body"];
    }
    return object;
}

std::optional<Vm> parseVm(const nlohmann::json &json)
{
    if (!json.is_object()) {
        return std::nullopt;
    }
    const auto role = vmRoleOf(stringField(json, "role"));
    if (!role || !json.contains("port") || !json["port"].is_number_unsigned()) {
        return std::nullopt;
    }
    const auto port = json["port"].get<std::uint64_t>();
    Vm vm;
    vm.id = stringField(json, "id");
    vm.role = *role;
    vm.service = stringField(json, "service");
    vm.dataCentre = stringField(json, "place");
    vm.endpoint = {stringField(json, "host"), static_cast<std::uint16_t>(port)};
    // A port truncated to 16 bits would send requests elsewhere, and a host name in place of an IP
    // address would end the router at its next membership tick. Such a VM can't be reached and is
    // skipped.
    if (vm.id.empty() || port == 0 || port > std::numeric_limits<std::uint16_t>::max()
        || !isIpAddress(vm.endpoint.host)) {
        return std::nullopt;
    }
    vm.leaving = json.contains("leaving") && json["leaving"] == true;
    if (json.contains("started") && json["started"].is_number_unsigned()) {
        vm.startStamp = json["started"].get<std::uint64_t>();
    }
    return vm;
}

std::optional<PlatformChanges> parseChanges(std::string_view text)
{
    const auto members = membersOf(text);
    const auto version = parseDocument(members ? valueOf(*members, "version") : "");
    const auto objects = elementsOf(members ? valueOf(*members, "objects") : "");
    if (!version || !version->is_number_unsigned() || !objects) {
        return std::nullopt;
    }
    PlatformChanges changes;
    changes.version = version->get<std::uint64_t>();
    for (const std::string_view each : *objects) {
        if (auto object = parseObject(parseDocument(each).value_or(nullptr))) {
            changes.objects.push_back(std::move(*object));
        } else {
            ++changes.unreadable;
        }
    }
    return changes;
}

std::optional<std::vector<Vm>> parseVmList(std::string_view text)
{
    const auto lines = elementsOf(text);
    if (!lines) {
        return std::nullopt;
    }
    std::vector<Vm> vms;
    for (const std::string_view each : *lines) {
        if (auto vm = parseVm(parseDocument(each).value_or(nullptr))) {
            vms.push_back(std::move(*vm));
        }
    }
    return vms;
}

nlohmann::json toJson(const PlatformObject &object)
{
    return {{"kind", object.kind},
            {"name", object.name},
            {"version", object.version},
            {"body", object.body}};
}

nlohmann::json toJson(const Vm &vm)
{
    return {{"id", vm.id},
            {"role", nameOf(vm.role)},
            {"service", vm.service},
            {"place", vm.dataCentre},
            {"host", vm.endpoint.host},
            {"port", vm.endpoint.port},
            {"leaving", vm.leaving},
            {"started", vm.startStamp}};
}

HttpCall PlatformClient::callTo(const std::string &method, const std::string &path) const
{
    HttpCall call;
    call.method = method;
    call.url = this->url + path;
    call.totalTimeout = callTimeout;
    return call;
}

void PlatformClient::get(const std::string &kind, const std::string &name, ResponseCallback done)
{
    this->http.fetch(this->callTo("GET", "/objects/" + kind + "/" + name),
                     [done = std::move(done)](const HttpResponse &response) {
                         done(toPlatformResponse(response));
                     });
}

void PlatformClient::put(const std::string &kind, const std::string &name, std::uint64_t ifVersion,
                         const nlohmann::json &body, ResponseCallback done)
{
    HttpCall call = this->callTo("PUT", "/objects/" + kind + "/" + name);
    call.headers["if-version"] = std::to_string(ifVersion);
    call.headers["content-type"] = "application/json";
    call.body = body.dump();
    // A silent resend of a write whose response was lost would meet the effect of its first send
    // and report a conflict with itself.
    call.freshConnection = true;
    this->http.fetch(std::move(call), [done = std::move(done)](const HttpResponse &response) {
        done(toPlatformResponse(response));
    });
}

void PlatformClient::remove(const std::string &kind, const std::string &name,
                            std::uint64_t ifVersion, ResponseCallback done)
{
    HttpCall call = this->callTo("DELETE", "/objects/" + kind + "/" + name);
    call.headers["if-version"] = std::to_string(ifVersion);
    call.freshConnection = true;
    this->http.fetch(std::move(call), [done = std::move(done)](const HttpResponse &response) {
        done(toPlatformResponse(response));
    });
}

void PlatformClient::listChanges(const std::string &kinds, std::uint64_t after,
                                 std::chrono::milliseconds wait,
                                 std::function<void(std::optional<PlatformChanges>)> done)
{
    HttpCall call =
        this->callTo("GET", "/objects?kinds=" + kinds + "&after=" + std::to_string(after)
                                + "&wait=" + std::to_string(wait.count()));
    call.totalTimeout = callTimeout + wait;
    this->http.fetch(std::move(call), [done = std::move(done)](const HttpResponse &response) {
        const bool whole = response.outcome == HttpOutcome::Complete && response.status == statusOk;
        done(whole ? parseChanges(response.body) : std::nullopt);
    });
}

VmListPointer VmListReader::read(const HttpResponse &response)
{
    if (response.outcome != HttpOutcome::Complete) {
        return nullptr;
    }
    if (response.status == statusNotModified) {
        return this->last;
    }
    if (response.status != statusOk) {
        return nullptr;
    }
    const std::uint64_t hash = hashOf(response.body);
    if (this->last == nullptr || hash != this->lastHash) {
        auto vms = parseVmList(response.body);
        if (!vms) {
            return nullptr;
        }
        this->last = std::make_shared<const std::vector<Vm>>(std::move(*vms));
        this->lastHash = hash;
    }
    const auto etag = response.headers.find("etag");
    this->lastEtag = etag == response.headers.end() ? std::string{} : etag->second;
    return this->last;
}

void PlatformClient::listVms(std::function<void(VmListPointer)> done)
{
    HttpCall call = this->callTo("GET", "/vms");
    if (!this->vmList->etag().empty()) {
        call.headers["if-none-match"] = this->vmList->etag();
    }
    this->http.fetch(std::move(call),
                     [reader = this->vmList, done = std::move(done)](const HttpResponse &response) {
                         done(reader->read(response));
                     });
}

} // namespace plantainswitch::net
