#include "platform.h"

namespace plantainswitch::net {

namespace {

constexpr std::chrono::milliseconds callTimeout{3000};
constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;
constexpr int firstServerError = 500;

std::string textOf(const nlohmann::json &json, const char *name)
{
    const auto found = json.find(name);
    return found != json.end() && found->is_string() ? found->get<std::string>() : std::string{};
}

PlatformAnswer answerOf(const HttpAnswer &http)
{
    PlatformAnswer answer;
    answer.detail = http.detail;
    if (http.end != HttpEnd::Whole) {
        answer.status =
            http.end == HttpEnd::NotConnected ? PlatformStatus::Rejected : PlatformStatus::Unknown;
        return answer;
    }
    const nlohmann::json json = nlohmann::json::parse(http.body, nullptr, false);
    answer.object = objectOf(json);
    if (http.status == statusOk) {
        answer.status = answer.object ? PlatformStatus::Ok : PlatformStatus::Unknown;
    } else if (http.status == statusNotFound) {
        answer.status = PlatformStatus::NotFound;
    } else if (http.status == statusConflict) {
        answer.status = PlatformStatus::Conflict;
    } else if (http.status >= firstServerError) {
        answer.status = PlatformStatus::Unknown;
    } else {
        answer.status = PlatformStatus::Rejected;
    }
    return answer;
}

} // namespace

std::optional<PlatformObject> objectOf(const nlohmann::json &json)
{
    if (!json.is_object() || !json.contains("version") || !json["version"].is_number_unsigned()) {
        return std::nullopt;
    }
    PlatformObject object;
    object.kind = textOf(json, "kind");
    object.name = textOf(json, "name");
    object.version = json["version"].get<std::uint64_t>();
    if (json.contains("body")) {
        object.body = json["body"];
    }
    return object;
}

std::optional<Vm> vmOf(const nlohmann::json &json)
{
    if (!json.is_object()) {
        return std::nullopt;
    }
    const auto role = vmRoleOf(textOf(json, "role"));
    if (!role || !json.contains("port") || !json["port"].is_number_unsigned()) {
        return std::nullopt;
    }
    Vm vm;
    vm.id = textOf(json, "id");
    vm.role = *role;
    vm.service = textOf(json, "service");
    vm.place = textOf(json, "place");
    vm.endpoint = {textOf(json, "host"), json["port"].get<std::uint16_t>()};
    vm.leaving = json.contains("leaving") && json["leaving"] == true;
    if (json.contains("started") && json["started"].is_number_unsigned()) {
        vm.started = json["started"].get<std::uint64_t>();
    }
    return vm;
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
    return {{"id", vm.id},           {"role", nameOf(vm.role)},  {"service", vm.service},
            {"place", vm.place},     {"host", vm.endpoint.host}, {"port", vm.endpoint.port},
            {"leaving", vm.leaving}, {"started", vm.started}};
}

HttpCall PlatformClient::callTo(const std::string &method, const std::string &path) const
{
    HttpCall call;
    call.method = method;
    call.url = this->url + path;
    call.wholeTimeout = callTimeout;
    return call;
}

void PlatformClient::get(const std::string &kind, const std::string &name, Done done)
{
    this->http.fetch(
        this->callTo("GET", "/objects/" + kind + "/" + name),
        [done = std::move(done)](const HttpAnswer &answer) { done(answerOf(answer)); });
}

void PlatformClient::put(const std::string &kind, const std::string &name, std::uint64_t ifVersion,
                         const nlohmann::json &body, Done done)
{
    HttpCall call = this->callTo("PUT", "/objects/" + kind + "/" + name);
    call.headers["if-version"] = std::to_string(ifVersion);
    call.headers["content-type"] = "application/json";
    call.body = body.dump();
    // A silent second send of a write whose answer was lost would meet its own first effect and
    // report a conflict with itself.
    call.freshConnection = true;
    this->http.fetch(std::move(call), [done = std::move(done)](const HttpAnswer &answer) {
        done(answerOf(answer));
    });
}

void PlatformClient::remove(const std::string &kind, const std::string &name,
                            std::uint64_t ifVersion, Done done)
{
    HttpCall call = this->callTo("DELETE", "/objects/" + kind + "/" + name);
    call.headers["if-version"] = std::to_string(ifVersion);
    call.freshConnection = true;
    this->http.fetch(std::move(call), [done = std::move(done)](const HttpAnswer &answer) {
        done(answerOf(answer));
    });
}

void PlatformClient::changes(const std::string &kinds, std::uint64_t after,
                             std::chrono::milliseconds wait,
                             std::function<void(std::optional<PlatformChanges>)> done)
{
    HttpCall call =
        this->callTo("GET", "/objects?kinds=" + kinds + "&after=" + std::to_string(after)
                                + "&wait=" + std::to_string(wait.count()));
    call.wholeTimeout = callTimeout + wait;
    this->http.fetch(std::move(call), [done = std::move(done)](const HttpAnswer &answer) {
        const nlohmann::json json = nlohmann::json::parse(answer.body, nullptr, false);
        if (answer.end != HttpEnd::Whole || answer.status != statusOk || !json.is_object()
            || !json.contains("version") || !json.contains("objects")) {
            done(std::nullopt);
            return;
        }
        PlatformChanges changes;
        changes.version = json["version"].get<std::uint64_t>();
        for (const nlohmann::json &each : json["objects"]) {
            if (auto object = objectOf(each)) {
                changes.objects.push_back(std::move(*object));
            } else {
                ++changes.unreadable;
            }
        }
        done(std::move(changes));
    });
}

void PlatformClient::vms(std::function<void(std::optional<std::vector<Vm>>)> done)
{
    this->http.fetch(
        this->callTo("GET", "/vms"), [done = std::move(done)](const HttpAnswer &answer) {
            const auto json = nlohmann::json::parse(answer.body, nullptr, false);
            if (answer.end != HttpEnd::Whole || answer.status != statusOk || !json.is_array()) {
                done(std::nullopt);
                return;
            }
            std::vector<Vm> vms;
            for (const nlohmann::json &each : json) {
                if (auto vm = vmOf(each)) {
                    vms.push_back(std::move(*vm));
                }
            }
            done(std::move(vms));
        });
}

} // namespace plantainswitch::net
