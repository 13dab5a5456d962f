#include "storeview.h"

#include <nlohmann/json.hpp>

namespace plantainswitch::gateway {

std::string writeStoreView(const StoreView &view)
{
    return nlohmann::json{
        {"routing", view.routing}, {"replicas", view.replicas}, {"revision", view.revision}}
        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<StoreView> readStoreView(std::string_view text)
{
    const nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("routing") || !json["routing"].is_string()
        || !json.contains("replicas") || !json["replicas"].is_object()
        || !json.contains("revision") || !json["revision"].is_number_unsigned()) {
        return std::nullopt;
    }
    StoreView view;
    view.routing = json["routing"].get<std::string>();
    view.revision = json["revision"].get<std::uint64_t>();
    for (const auto &[name, document] : json["replicas"].items()) {
        if (document.is_string()) {
            view.replicas[name] = document.get<std::string>();
        }
    }
    return view;
}

} // namespace plantainswitch::gateway
