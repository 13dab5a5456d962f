#include "orderrecord.h"

namespace plantainswitch::lab {

namespace {

constexpr int statusOk = 200;
constexpr const char *keyPrefix = "order-";

std::string keyOf(std::uint32_t order)
{
    return keyPrefix + std::to_string(order);
}

std::uint64_t orderOf(const std::string &key)
{
    return std::stoull("0" + key.substr(key.rfind('-') + 1));
}

/// Numbers the routers' request ids, so that a sending and the runs it caused are the same
/// attempt.
class Attempts
{
public:
    std::uint64_t numberOf(const std::string &request)
    {
        return this->numbers.emplace(request, this->numbers.size() + 1).first->second;
    }

private:
    std::map<std::string, std::uint64_t> numbers;
};

} // namespace

SendAttempt OrderRecord::send(std::uint32_t order, std::size_t router)
{
    const Deployment &deployment = this->fleet.deployment;
    net::HttpCall call;
    call.method = "POST";
    call.url = "/services/" + deployment.plainService + "/receipts";
    call.headers = {{"authorization", "Bearer token-" + deployment.name + "-0"},
                    {"idempotency-key", keyOf(order)},
                    {"x-non-idempotent", "true"}};
    call.body = keyOf(order);
    const net::HttpResponse answer = this->fleet.call(router, std::move(call));
    SendAttempt sending;
    sending.order = order;
    const auto id = answer.headers.find("x-request-id");
    sending.request = id == answer.headers.end() ? "" : id->second;
    const auto json = nlohmann::json::parse(answer.body, nullptr, false);
    sending.answered = answer.outcome == net::HttpOutcome::Complete && answer.status == statusOk;
    if (sending.answered && json.is_object()) {
        sending.answeredKey = json.value("key", "");
    }
    if (answer.outcome == net::HttpOutcome::Complete && json.is_object()
        && json.contains("error")) {
        sending.refusal = json["error"].value("kind", "");
        sending.refusedNotRun = json["error"].value("ran", "") == "no";
    }
    const std::lock_guard lock(this->mutex);
    this->sent.push_back(sending);
    return sending;
}

std::vector<SendAttempt> OrderRecord::sendings() const
{
    const std::lock_guard lock(this->mutex);
    return this->sent;
}

History OrderRecord::history() const
{
    Attempts attempts;
    History history;
    for (const Run &run : this->fleet.standIns.runs->all()) {
        const std::string request = run.attempt.substr(0, run.attempt.rfind('.'));
        history.push_back({HistoryKind::Ran, orderOf(run.key), attempts.numberOf(request), 0});
    }
    for (const SendAttempt &each : this->sendings()) {
        if (each.answered) {
            history.push_back({HistoryKind::Answered, each.order, 0, orderOf(each.answeredKey)});
        } else if (each.refusedNotRun) {
            history.push_back(
                {HistoryKind::RefusedNotRun, each.order, attempts.numberOf(each.request), 0});
        }
    }
    return history;
}

std::optional<std::string> checkOrders(const History &history)
{
    for (const auto check : {checkAtMostOnce, checkOwnAnswer, checkNoFalseNotRun}) {
        if (auto violation = check(history)) {
            return violation;
        }
    }
    return std::nullopt;
}

} // namespace plantainswitch::lab
