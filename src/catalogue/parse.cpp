#include "plantainswitch/catalogue/parse.h"

#include <algorithm>
#include <array>

#include <nlohmann/json.hpp>

#include "plantainswitch/base/fields.h"

namespace plantainswitch {

namespace {

constexpr std::array kindNames{std::string_view{"dataclass"}, std::string_view{"workspace"},
                               std::string_view{"service"}};
constexpr std::array typeNames{std::string_view{"model"}, std::string_view{"plain"}};

constexpr std::uint32_t maxRequestsPerSecond = 1'000'000;
constexpr std::uint32_t maxInFlightRequests = 1'000'000;
constexpr std::uint32_t maxWeight = 1000;
constexpr std::uint32_t maxPriority = 9;
constexpr std::uint32_t maxCapacity = 4096;
constexpr std::uint32_t maxShards = 256;
constexpr std::uint32_t maxQueueMilliseconds = 60'000;
constexpr std::uint32_t maxLoadsAtOnce = 1000;
/// At 100 no engine could ever receive an order.
constexpr std::uint32_t maxReadyPercent = 99;
constexpr std::uint32_t maxStaleLimitSeconds = 7 * 24 * 3600;

/// Scans a document for what the parsed document no longer shows: duplicate fields and excessive
/// depth.
class DocumentCheck final : public nlohmann::json_sax<nlohmann::json>
{
public:
    bool null() override { return true; }
    bool boolean(bool /*value*/) override { return true; }
    bool number_integer(number_integer_t /*value*/) override { return true; }
    bool number_unsigned(number_unsigned_t /*value*/) override { return true; }
    bool number_float(number_float_t /*value*/, const string_t & /*text*/) override { return true; }
    bool string(string_t & /*value*/) override { return true; }
    bool binary(binary_t & /*value*/) override { return true; }
    bool start_object(std::size_t /*size*/) override { return this->enterLevel(); }
    bool start_array(std::size_t /*size*/) override { return this->enterLevel(); }
    bool key(string_t &name) override
    {
        this->levels.back().push_back(std::move(name));
        return true;
    }
    bool end_object() override
    {
        std::vector<std::string> &names = this->levels.back();
        std::sort(names.begin(), names.end());
        const auto duplicate = std::adjacent_find(names.begin(), names.end());
        if (duplicate != names.end()) {
            this->duplicateField = *duplicate;
        }
        this->levels.pop_back();
        return !this->duplicateField;
    }
    bool end_array() override
    {
        this->levels.pop_back();
        return true;
    }
    bool parse_error(std::size_t /*position*/, const std::string & /*last*/,
                     const nlohmann::detail::exception & /*error*/) override
    {
        return false;
    }

    std::optional<std::string> duplicateField;
    bool tooDeep = false;

private:
    bool enterLevel()
    {
        this->levels.emplace_back();
        this->tooDeep = this->levels.size() > maxJsonDepth;
        return !this->tooDeep;
    }

    /// The field names of each open object; empty for an array.
    std::vector<std::vector<std::string>> levels;
};

DataClass readDataClass(FieldReader &fields)
{
    DataClass body;
    fields.read("owner", body.owner, true);
    fields.read("places", body.dataCentres, true);
    fields.read("maxStaleSeconds", body.maxStaleSeconds, 0, maxStaleLimitSeconds);
    return body;
}

Workspace readWorkspace(FieldReader &fields)
{
    Workspace body;
    fields.read("owner", body.owner, true);
    fields.read("dataClass", body.dataClass, true);
    fields.read("token", body.token, true);
    fields.read("services", body.services, true);
    fields.read("requestsPerSecond", body.requestsPerSecond, 0, maxRequestsPerSecond);
    fields.read("maxInFlight", body.maxInFlight, 0, maxInFlightRequests);
    fields.read("weight", body.weight, 1, maxWeight);
    fields.read("priority", body.priority, 0, maxPriority);
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
    fields.read("loadsAtOnce", orders.maxConcurrentLoads, 1, maxLoadsAtOnce);
    fields.read("readyPercent", orders.minReadyPercent, 0, maxReadyPercent);
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
    fields.read("engineCapacity", body.engineCapacity, 1, maxCapacity);
    fields.read("shards", body.shards, 1, maxShards);
    fields.read("queueMilliseconds", body.queueMilliseconds, 0, maxQueueMilliseconds);
    body.engines = readEngineOrders(fields, faults);
    return body;
}

nlohmann::json bodyToJson(const DataClass &body)
{
    return {{"owner", body.owner},
            {"places", body.dataCentres},
            {"maxStaleSeconds", body.maxStaleSeconds}};
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
                        {"loadsAtOnce", orders.maxConcurrentLoads},
                        {"readyPercent", orders.minReadyPercent}};
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
    DocumentCheck check;
    const bool isValid = nlohmann::json::sax_parse(text, &check);
    if (check.tooDeep) {
        faults.push_back(
            {"/", "a deeper document", "at most " + std::to_string(maxJsonDepth) + " levels"});
        return std::nullopt;
    }
    if (check.duplicateField) {
        constexpr std::size_t maxExcerptLength = 60;
        faults.push_back(
            {"/", "the field \"" + check.duplicateField->substr(0, maxExcerptLength) + "\" twice",
             "each field once"});
        return std::nullopt;
    }
    if (!isValid) {
        faults.push_back({"/", "text that is not JSON", "a JSON document"});
        return std::nullopt;
    }
    return nlohmann::json::parse(text, nullptr, false);
}

} // namespace plantainswitch
