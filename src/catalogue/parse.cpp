#include "plantainswitch/catalogue/parse.h"

#include <array>
#include <set>

#include <nlohmann/json.hpp>

#include "plantainswitch/base/fields.h"

namespace plantainswitch {

namespace {

constexpr std::array kindNames{std::string_view{"dataclass"}, std::string_view{"workspace"},
                               std::string_view{"service"}};
constexpr std::array typeNames{std::string_view{"model"}, std::string_view{"plain"}};

constexpr std::uint32_t mostRequestsPerSecond = 1'000'000;
constexpr std::uint32_t mostInFlight = 1'000'000;
constexpr std::uint32_t mostWeight = 1000;
constexpr std::uint32_t mostPriority = 9;
constexpr std::uint32_t mostCapacity = 4096;
constexpr std::uint32_t mostShards = 256;
constexpr std::uint32_t mostQueueMilliseconds = 60'000;
constexpr std::uint32_t mostLoadsAtOnce = 1000;
/// At 100 no engine could ever be ordered.
constexpr std::uint32_t mostReadyPercent = 99;
constexpr std::uint32_t mostStaleSeconds = 7 * 24 * 3600;

/// Watches a document while it is parsed, for what a finished document no longer shows.
struct DocumentWatch
{
    std::vector<std::set<std::string>> names;
    std::optional<std::string> twice;
    bool tooDeep = false;

    bool take(int depth, nlohmann::json::parse_event_t event, const nlohmann::json &parsed)
    {
        using Parsed = nlohmann::json::parse_event_t;
        if (event == Parsed::object_start) {
            this->names.emplace_back();
        } else if (event == Parsed::object_end) {
            this->names.pop_back();
        } else if (event == Parsed::key
                   && !this->names.back().insert(parsed.get<std::string>()).second) {
            this->twice = parsed.get<std::string>();
        }
        this->tooDeep = this->tooDeep || depth > deepestJson;
        return !this->tooDeep;
    }
};

DataClass readDataClass(FieldReader &fields)
{
    DataClass body;
    fields.read("owner", body.owner, true);
    fields.read("places", body.places, true);
    fields.read("maxStaleSeconds", body.maxStaleSeconds, 0, mostStaleSeconds);
    return body;
}

Workspace readWorkspace(FieldReader &fields)
{
    Workspace body;
    fields.read("owner", body.owner, true);
    fields.read("dataClass", body.dataClass, true);
    fields.read("token", body.token, true);
    fields.read("services", body.services, true);
    fields.read("requestsPerSecond", body.requestsPerSecond, 0, mostRequestsPerSecond);
    fields.read("maxInFlight", body.maxInFlight, 0, mostInFlight);
    fields.read("weight", body.weight, 1, mostWeight);
    fields.read("priority", body.priority, 0, mostPriority);
    return body;
}

EngineOrders readEngineOrders(FieldReader &parent, std::vector<Fault> &faults)
{
    EngineOrders orders;
    FieldReader fields(parent.child("engines"), parent.pathOf("engines"), faults);
    fields.read("model", orders.setup.model);
    fields.read("version", orders.setup.version);
    fields.read("adapter", orders.setup.adapter);
    fields.read("role", orders.setup.role);
    fields.read("checkFencing", orders.checkFencing);
    fields.read("loadsAtOnce", orders.loadsAtOnce, 1, mostLoadsAtOnce);
    fields.read("readyPercent", orders.readyPercent, 0, mostReadyPercent);
    fields.finish();
    return orders;
}

Service readService(FieldReader &fields, std::vector<Fault> &faults)
{
    Service body;
    std::size_t type = 0;
    fields.read("owner", body.owner, true);
    fields.read("dataClass", body.dataClass, true);
    fields.readName("type", type, {typeNames.begin(), typeNames.end()});
    body.type = static_cast<ServiceType>(type);
    fields.read("engineCapacity", body.engineCapacity, 1, mostCapacity);
    fields.read("shards", body.shards, 1, mostShards);
    fields.read("queueMilliseconds", body.queueMilliseconds, 0, mostQueueMilliseconds);
    body.engines = readEngineOrders(fields, faults);
    return body;
}

nlohmann::json bodyToJson(const DataClass &body)
{
    return {
        {"owner", body.owner}, {"places", body.places}, {"maxStaleSeconds", body.maxStaleSeconds}};
}

nlohmann::json bodyToJson(const Workspace &body)
{
    return {{"owner", body.owner},
            {"dataClass", body.dataClass},
            {"token", body.token},
            {"services", body.services},
            {"requestsPerSecond", body.requestsPerSecond},
            {"maxInFlight", body.maxInFlight},
            {"weight", body.weight},
            {"priority", body.priority}};
}

nlohmann::json toJson(const EngineOrders &orders)
{
    nlohmann::json json{{"checkFencing", orders.checkFencing},
                        {"loadsAtOnce", orders.loadsAtOnce},
                        {"readyPercent", orders.readyPercent}};
    const EngineSetup &setup = orders.setup;
    const std::array<std::pair<const char *, const std::string &>, 4> parts{
        {{"model", setup.model},
         {"version", setup.version},
         {"adapter", setup.adapter},
         {"role", setup.role}}};
    for (const auto &[name, value] : parts) {
        if (!value.empty()) {
            json[name] = value;
        }
    }
    return json;
}

nlohmann::json bodyToJson(const Service &body)
{
    return {{"owner", body.owner},
            {"dataClass", body.dataClass},
            {"type", nameOf(body.type)},
            {"engineCapacity", body.engineCapacity},
            {"shards", body.shards},
            {"queueMilliseconds", body.queueMilliseconds},
            {"engines", toJson(body.engines)}};
}

} // namespace

std::string_view nameOf(EntryKind kind) noexcept
{
    return kindNames.at(static_cast<std::size_t>(kind));
}

std::string_view nameOf(ServiceType type) noexcept
{
    return typeNames.at(static_cast<std::size_t>(type));
}

std::optional<EntryKind> entryKindOf(std::string_view name) noexcept
{
    for (std::size_t index = 0; index < kindNames.size(); ++index) {
        if (kindNames.at(index) == name) {
            return static_cast<EntryKind>(index);
        }
    }
    return std::nullopt;
}

std::string toText(const Fault &fault)
{
    return fault.path + ": found " + fault.found + ", allowed is " + fault.allowed;
}

std::optional<EntryBody> parseEntry(EntryKind kind, const nlohmann::json &json,
                                    std::vector<Fault> &faults)
{
    const std::size_t before = faults.size();
    FieldReader fields(json, "", faults);
    EntryBody body;
    switch (kind) {
    case EntryKind::DataClass:
        body = readDataClass(fields);
        break;
    case EntryKind::Workspace:
        body = readWorkspace(fields);
        break;
    case EntryKind::Service:
        body = readService(fields, faults);
        break;
    }
    fields.finish();
    if (faults.size() != before) {
        return std::nullopt;
    }
    return body;
}

nlohmann::json toJson(const EntryBody &body)
{
    return std::visit([](const auto &each) { return bodyToJson(each); }, body);
}

std::optional<nlohmann::json> parseJson(std::string_view text, std::vector<Fault> &faults)
{
    DocumentWatch watch;
    nlohmann::json json = nlohmann::json::parse(
        text,
        [&watch](int depth, nlohmann::json::parse_event_t event, nlohmann::json &parsed) {
            return watch.take(depth, event, parsed);
        },
        false);
    if (watch.tooDeep) {
        faults.push_back(
            {"/", "a deeper document", "at most " + std::to_string(deepestJson) + " levels"});
        return std::nullopt;
    }
    if (json.is_discarded()) {
        faults.push_back({"/", "text that is not JSON", "a JSON document"});
        return std::nullopt;
    }
    if (watch.twice) {
        constexpr std::size_t longestExcerpt = 60;
        faults.push_back({"/", "the field \"" + watch.twice->substr(0, longestExcerpt) + "\" twice",
                          "each field once"});
        return std::nullopt;
    }
    return json;
}

} // namespace plantainswitch
