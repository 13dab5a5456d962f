#include "plantainswitch/base/fields.h"

#include <algorithm>

namespace plantainswitch {

namespace {

constexpr std::size_t maxExcerptLength = 60;

const nlohmann::json &emptyObject()
{
    static const nlohmann::json empty = nlohmann::json::object();
    return empty;
}

std::string excerpt(const nlohmann::json &json)
{
    std::string text = json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (text.size() > maxExcerptLength) {
        text.resize(maxExcerptLength);
        text += "...";
    }
    return text;
}

} // namespace

FieldReader::FieldReader(const nlohmann::json &object, std::string path, std::vector<Fault> &faults)
    : object(object.is_object() ? object : emptyObject())
    , path(std::move(path))
    , faults(faults)
{
    if (!object.is_object()) {
        this->faults.push_back(
            {this->path.empty() ? "/" : this->path, excerpt(object), "an object"});
    }
}

std::string FieldReader::pathOf(std::string_view name) const
{
    return this->path + "/" + std::string(name);
}

const nlohmann::json *FieldReader::find(std::string_view name, bool required,
                                        std::string_view allowed)
{
    this->known.emplace(name);
    const auto found = this->object.find(name);
    if (found != this->object.end()) {
        return &*found;
    }
    if (required) {
        this->faults.push_back({this->pathOf(name), "nothing", std::string(allowed)});
    }
    return nullptr;
}

void FieldReader::fault(std::string_view name, const nlohmann::json &found, std::string allowed)
{
    // A token must never reach a log or a terminal, not even inside a fault about it.
    const std::string shown = name == "token" ? "(hidden)" : excerpt(found);
    this->faults.push_back({this->pathOf(name), shown, std::move(allowed)});
}

void FieldReader::read(std::string_view name, std::string &value, bool required,
                       std::size_t maxLength)
{
    const std::string allowed = "a string of 1 to " + std::to_string(maxLength) + " bytes";
    const nlohmann::json *json = this->find(name, required, allowed);
    if (json == nullptr) {
        return;
    }
    const auto *text = json->get_ptr<const std::string *>();
    if (text == nullptr || text->empty() || text->size() > maxLength) {
        this->fault(name, *json, allowed);
        return;
    }
    value = *text;
}

void FieldReader::read(std::string_view name, std::uint32_t &value, std::uint32_t min,
                       std::uint32_t max, bool required)
{
    const std::string allowed =
        "a whole number from " + std::to_string(min) + " to " + std::to_string(max);
    const nlohmann::json *json = this->find(name, required, allowed);
    if (json == nullptr) {
        return;
    }
    if (!json->is_number_unsigned()) {
        this->fault(name, *json, allowed);
        return;
    }
    const auto number = json->get<std::uint64_t>();
    if (number < min || number > max) {
        this->fault(name, *json, allowed);
        return;
    }
    value = static_cast<std::uint32_t>(number);
}

void FieldReader::read(std::string_view name, double &value, double min, double max)
{
    const nlohmann::json *json = this->find(name, false, "a number");
    if (json == nullptr) {
        return;
    }
    if (!json->is_number() || json->get<double>() < min || json->get<double>() > max) {
        this->fault(name, *json,
                    "a number from " + std::to_string(min) + " to " + std::to_string(max));
        return;
    }
    value = json->get<double>();
}

void FieldReader::read(std::string_view name, Endpoint &value, bool required)
{
    const std::string allowed = "an IP number, a colon and a port";
    const nlohmann::json *json = this->find(name, required, allowed);
    if (json == nullptr) {
        return;
    }
    const auto *text = json->get_ptr<const std::string *>();
    const std::optional<Endpoint> endpoint = text == nullptr ? std::nullopt : endpointOf(*text);
    if (!endpoint) {
        this->fault(name, *json, allowed);
        return;
    }
    value = *endpoint;
}

void FieldReader::read(std::string_view name, bool &value)
{
    const nlohmann::json *json = this->find(name, false, "true or false");
    if (json == nullptr) {
        return;
    }
    if (!json->is_boolean()) {
        this->fault(name, *json, "true or false");
        return;
    }
    value = json->get<bool>();
}

void FieldReader::read(std::string_view name, std::vector<std::string> &value, bool required)
{
    constexpr std::string_view allowed = "a list of non-empty strings";
    const nlohmann::json *json = this->find(name, required, allowed);
    if (json == nullptr) {
        return;
    }
    const bool isValid =
        json->is_array() && (!required || !json->empty())
        && std::all_of(json->begin(), json->end(), [](const nlohmann::json &item) {
               return item.is_string() && !item.get_ref<const std::string &>().empty();
           });
    if (!isValid) {
        this->fault(name, *json, std::string(allowed));
        return;
    }
    value = json->get<std::vector<std::string>>();
}

void FieldReader::read(std::string_view name, std::vector<Endpoint> &value)
{
    std::vector<std::string> texts;
    this->read(name, texts);
    for (const std::string &text : texts) {
        if (const auto endpoint = endpointOf(text)) {
            value.push_back(*endpoint);
        } else {
            this->fault(name, text, "an IP number, a colon and a port");
        }
    }
}

void FieldReader::readName(std::string_view name, std::size_t &index,
                           const std::vector<std::string_view> &names)
{
    std::string allowed = "one of";
    for (const std::string_view each : names) {
        allowed += " \"" + std::string(each) + "\"";
    }
    const nlohmann::json *json = this->find(name, false, allowed);
    if (json == nullptr) {
        return;
    }
    const auto *text = json->get_ptr<const std::string *>();
    const auto found = text == nullptr ? names.end() : std::find(names.begin(), names.end(), *text);
    if (found == names.end()) {
        this->fault(name, *json, allowed);
        return;
    }
    index = static_cast<std::size_t>(found - names.begin());
}

const nlohmann::json &FieldReader::child(std::string_view name)
{
    const nlohmann::json *json = this->find(name, false, "an object");
    return json == nullptr ? emptyObject() : *json;
}

void FieldReader::finish()
{
    for (const auto &[name, value] : this->object.items()) {
        if (!this->known.contains(name)) {
            this->faults.push_back({this->pathOf(name), "an unknown field", "a known field"});
        }
    }
}

} // namespace plantainswitch
