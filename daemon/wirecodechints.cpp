#include <algorithm>

#include "wirecodec.h"

namespace plantainswitch::codec {

void fill(wire::Datagram &datagram, const ChatHints &from)
{
    wire::ChatHints &to = *datagram.mutable_chat_hints();
    to.set_shard(from.shard);
    to.set_moved(from.moved);
    for (const ChatHint &hint : from.chats) {
        const auto &engines = to.engines();
        const auto found = std::find(engines.begin(), engines.end(), hint.upstream);
        const auto index = static_cast<std::uint32_t>(found - engines.begin());
        if (found == engines.end()) {
            to.add_engines(hint.upstream);
        }
        to.add_chats(hint.chat);
        to.add_engine_of_chat(index);
    }
}

std::optional<ChatHints> read(const wire::ChatHints &from)
{
    if (from.chats_size() != from.engine_of_chat_size()) {
        return std::nullopt;
    }
    ChatHints to{from.shard(), from.moved(), {}};
    for (int index = 0; index < from.chats_size(); ++index) {
        const std::uint32_t engine = from.engine_of_chat(index);
        if (engine >= static_cast<std::uint32_t>(from.engines_size())) {
            return std::nullopt;
        }
        to.chats.push_back({from.chats(index), from.engines(static_cast<int>(engine))});
    }
    return to;
}

} // namespace plantainswitch::codec
