#include "callerrequest.h"

#include <nlohmann/json.hpp>

namespace plantainswitch {

namespace {

constexpr std::string_view chatPath = "/v1/chat/completions";
constexpr std::string_view servicePrefix = "/services/";
constexpr std::string_view bearerPrefix = "Bearer ";

Reason badRequest(std::string detail)
{
    return {ErrorKind::BadRequest, std::move(detail), std::nullopt};
}

bool parseChatBody(CallerRequest &request, Reason &reason)
{
    std::vector<Fault> faults;
    const std::optional<nlohmann::json> json = parseJson(request.body, faults);
    if (!json || !json->is_object()) {
        reason = badRequest(json ? "the body is not a JSON object"
                                 : "the body: " + toText(faults.front()));
        return false;
    }
    const auto model = json->find("model");
    if (model == json->end() || !model->is_string()
        || model->get_ref<const std::string &>().empty()) {
        reason = badRequest("\"model\" must be a non-empty string");
        return false;
    }
    const auto messages = json->find("messages");
    if (messages == json->end() || !messages->is_array() || messages->empty()) {
        reason = badRequest("\"messages\" must be a list with at least one message");
        return false;
    }
    const auto stream = json->find("stream");
    if (stream != json->end() && !stream->is_boolean()) {
        reason = badRequest("\"stream\" must be true or false");
        return false;
    }
    request.service = model->get<std::string>();
    request.stream = stream != json->end() && stream->get<bool>();
    return true;
}

bool parseServicePath(CallerRequest &request, const net::HttpRequest &http, Reason &reason)
{
    std::string_view path = http.path;
    path.remove_prefix(servicePrefix.size());
    const std::size_t slash = path.find('/');
    request.service = path.substr(0, slash);
    request.path = slash == std::string_view::npos ? "/" : path.substr(slash);
    request.path += http.rawQuery;
    request.isModelCall = false;
    if (request.service.empty()) {
        reason = badRequest("the path names no service");
        return false;
    }
    return true;
}

/// Parses seconds since 1970, written as at most 11 digits.
bool parseKeyIssued(CallerRequest &request, std::string_view text)
{
    constexpr std::size_t maxDigits = 11;
    constexpr std::uint64_t base = 10;
    constexpr std::uint64_t millisecondsOfSecond = 1000;
    if (text.size() > maxDigits || text.find_first_not_of("0123456789") != std::string_view::npos) {
        return false;
    }
    for (const char c : text) {
        request.keyIssuedMilliseconds =
            request.keyIssuedMilliseconds * base + static_cast<std::uint64_t>(c - '0');
    }
    request.keyIssuedMilliseconds *= millisecondsOfSecond;
    return true;
}

bool parseHeaders(CallerRequest &request, const net::HttpRequest &http, Reason &reason)
{
    const std::string_view flag = http.header(nonIdempotentHeader);
    if (!flag.empty() && flag != "true" && flag != "false") {
        reason = badRequest("x-non-idempotent must be true or false");
        return false;
    }
    request.nonIdempotent = flag == "true";
    request.idempotencyKey = http.header(idempotencyKeyHeader);
    request.chatId = http.header(chatHeader);
    if (request.nonIdempotent && request.idempotencyKey.empty()) {
        reason = badRequest("a non-idempotent request needs an idempotency-key");
        return false;
    }
    if (!parseKeyIssued(request, http.header(keyIssuedHeader))) {
        reason = badRequest("x-key-issued must be whole seconds since 1970");
        return false;
    }
    if (request.idempotencyKey.size() > maxChatIdOrKeyBytes
        || request.chatId.size() > maxChatIdOrKeyBytes) {
        reason = badRequest("a chat id or idempotency-key is longer than 200 bytes");
        return false;
    }
    return true;
}

} // namespace

std::optional<CallerRequest> parseCallerRequest(net::HttpRequest http, std::size_t maxBodyBytes,
                                                Reason &reason)
{
    if (!http.oversizedPart.empty()) {
        reason = {ErrorKind::TooLarge, http.oversizedPart, std::nullopt};
        return std::nullopt;
    }
    CallerRequest request;
    request.method = http.method;
    request.contentType = http.header("content-type");
    const std::string_view authorization = http.header("authorization");
    if (authorization.starts_with(bearerPrefix)) {
        request.token = authorization.substr(bearerPrefix.size());
    }
    if (http.body.size() > maxBodyBytes) {
        reason = {ErrorKind::TooLarge,
                  "the body is larger than " + std::to_string(maxBodyBytes) + " bytes",
                  {}};
        return std::nullopt;
    }
    if (!parseHeaders(request, http, reason)) {
        return std::nullopt;
    }
    request.body = std::move(http.body);
    if (http.path == chatPath && http.method == "POST") {
        request.path = chatPath;
        return parseChatBody(request, reason) ? std::optional(std::move(request)) : std::nullopt;
    }
    if (http.path.starts_with(servicePrefix)) {
        return parseServicePath(request, http, reason) ? std::optional(std::move(request))
                                                       : std::nullopt;
    }
    reason = {ErrorKind::NotFound, http.method + " " + http.path, std::nullopt};
    return std::nullopt;
}

} // namespace plantainswitch
