#include "plantainswitch/upstreams/sse.h"

#include <nlohmann/json.hpp>

namespace plantainswitch {

namespace {

constexpr std::string_view dataField = "data:";

bool hasId(const nlohmann::json &json, std::string_view attempt)
{
    const auto id = json.find("id");
    return id != json.end() && id->is_string() && id->get_ref<const std::string &>() == attempt;
}

bool hasFinishReason(const nlohmann::json &json)
{
    const auto choices = json.find("choices");
    if (choices == json.end() || !choices->is_array() || choices->empty()) {
        return false;
    }
    const nlohmann::json &choice = choices->front();
    return choice.is_object() && choice.contains("finish_reason")
           && !choice["finish_reason"].is_null();
}

} // namespace

bool SseParser::feed(std::string_view bytes, std::vector<std::string> &events)
{
    while (!bytes.empty()) {
        const std::size_t end = bytes.find('\n');
        this->line.append(bytes.substr(0, end));
        if (this->line.size() + this->data.size() > maxSseEventBytes) {
            return false;
        }
        if (end == std::string_view::npos) {
            return true;
        }
        bytes.remove_prefix(end + 1);
        if (!this->line.empty() && this->line.back() == '\r') {
            this->line.pop_back();
        }
        if (!this->takeLine(this->line, events)) {
            return false;
        }
        this->line.clear();
    }
    return true;
}

bool SseParser::hasRemainder() const noexcept
{
    return this->hasData || !this->line.empty();
}

bool SseParser::takeLine(std::string_view text, std::vector<std::string> &events)
{
    if (text.empty()) {
        if (this->hasData) {
            events.push_back(std::move(this->data));
        }
        this->data.clear();
        this->hasData = false;
        return true;
    }
    if (text.front() == ':') {
        return true;
    }
    if (!text.starts_with(dataField)) {
        return text.find(':') != std::string_view::npos;
    }
    text.remove_prefix(dataField.size());
    if (text.starts_with(' ')) {
        text.remove_prefix(1);
    }
    if (this->hasData) {
        this->data += '\n';
    }
    this->data.append(text);
    this->hasData = true;
    return true;
}

bool acceptEvent(std::string_view data, std::string_view attempt, StreamProgress &progress)
{
    if (progress.done) {
        return false;
    }
    if (data == doneEvent) {
        progress.done = true;
        return progress.finished;
    }
    const nlohmann::json json = nlohmann::json::parse(data, nullptr, false);
    if (!json.is_object() || !hasId(json, attempt)) {
        return false;
    }
    progress.finished = progress.finished || hasFinishReason(json);
    ++progress.events;
    return true;
}

bool isWholeAnswer(std::string_view body, std::string_view attempt)
{
    const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
    return json.is_object() && hasId(json, attempt) && hasFinishReason(json);
}

} // namespace plantainswitch
