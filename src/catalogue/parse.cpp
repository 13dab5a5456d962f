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

constexpr std::uint32_t mostRequestsPerSecond = 1'000'000;
constexpr std::uint32_t mostInFlight = 1'000'000;
constexpr std::uint32_t mostWeight = 1000;
constexpr std::uint32_t mostPriority = 9;
constexpr std::uint32_t mostCapacity = 4096;
constexpr std::uint32_t mostShards = 256;
constexpr std::uint32_t mostQueueMilliseconds = 60'000;
constexpr std::uint32_t mostLoadsAtOnce = 1000;
/// At 100 no engine could ever receive an order.
constexpr std::uint32_t mostReadyPercent = 99;
constexpr std::uint32_t mostStaleSeconds = 7 * 24 * 3600;

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
    bool start_object(std::size_t /*size*/) override { return this->enter(); }
    bool start_array(std::size_t /*size*/) override { return this->enter(); }
    bool key(string_t &name) override
    {
        this->levels.back().push_back(std::move(name));
        return true;
    }
    bool end_object() override
    {
        std::vector<std::string> &names = this->levels.back();
        std::sort(names.begin(), names.end());
        const auto twin = std::adjacent_find(names.begin(), names.end());
        if (twin != names.end()) {
            this->twice = *twin;
        }
        this->levels.pop_back();
        return !this->twice;
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

    std::optional<std::string> twice;
    bool tooDeep = false;

private:
    bool enter()
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
    fields.read("loadsAtOnce", orders.maxConcurrentLoads, 1, mostLoadsAtOnce);
    fields.read("readyPercent", orders.minReadyPercent, 0, mostReadyPercent);
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
    const bool whole = nlohmann::json::sax_parse(text, &check);
    if (check.tooDeep) {
        faults.push_back(
            {"/", "a deeper document", "at most " + std::to_string(maxJsonDepth) + " levels"});
        return std::nullopt;
    }
    if (check.twice) {
        constexpr std::size_t longestExcerpt = 60;
        faults.push_back({"/", "the field \"" + check.twice->substr(0, longestExcerpt) + "\" twice",
                          "each field once"});
        return std::nullopt;
    }
    if (!whole) {
        faults.push_back({"/", "text that is not JSON", "a JSON document"});
        return std::nullopt;
    }
    return nlohmann::json::parse(text, nullptr, false);
}

} // namespace plantainswitch
