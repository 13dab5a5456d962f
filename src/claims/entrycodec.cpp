#include "entrycodec.h"

#include <array>
#include <charconv>

namespace plantainswitch {

namespace {

constexpr std::size_t hexDigits = 16;
constexpr std::size_t fieldCount = 5;
constexpr int hexBase = 16;
constexpr char claimTag = 'c';
constexpr char releaseTag = 'r';

void appendHex(std::string &text, std::uint64_t number)
{
    std::array<char, hexDigits> buffer{};
    auto *const end =
        std::to_chars(buffer.data(), buffer.data() + buffer.size(), number, hexBase).ptr;
    const auto size = static_cast<std::size_t>(end - buffer.data());
    text.append(hexDigits - size, '0').append(buffer.data(), size);
}

std::string encodeEntry(const ClaimLogEntry &entry)
{
    std::string text(1, entry.released ? releaseTag : claimTag);
    const Claim &claim = entry.claim;
    for (const std::uint64_t number :
         {claim.id.high, claim.id.low, claim.owner, claim.nonce, claim.content}) {
        appendHex(text, number);
    }
    return text;
}

std::optional<ClaimLogEntry> decodeEntry(const nlohmann::json &json)
{
    if (!json.is_string()) {
        return std::nullopt;
    }
    const auto &text = json.get_ref<const std::string &>();
    if (text.size() != 1 + fieldCount * hexDigits) {
        return std::nullopt;
    }
    std::array<std::uint64_t, fieldCount> values{};
    for (std::size_t index = 0; index < fieldCount; ++index) {
        const char *first = text.data() + 1 + index * hexDigits;
        std::from_chars(first, first + hexDigits, values.at(index), hexBase);
    }
    return ClaimLogEntry{{{values[0], values[1]}, values[2], values[3], values[4]},
                         text.front() == releaseTag};
}

nlohmann::json encodeEntries(const std::vector<ClaimLogEntry> &entries)
{
    nlohmann::json list = nlohmann::json::array();
    for (const ClaimLogEntry &entry : entries) {
        list.push_back(encodeEntry(entry));
    }
    return list;
}

std::vector<ClaimLogEntry> decodeEntries(const nlohmann::json &json)
{
    std::vector<ClaimLogEntry> entries;
    for (const nlohmann::json &each : json) {
        if (const auto entry = decodeEntry(each)) {
            entries.push_back(*entry);
        }
    }
    return entries;
}

std::optional<std::uint64_t> unsignedAt(const nlohmann::json &json, const char *name)
{
    if (!json.is_object()) {
        return std::nullopt;
    }
    const auto found = json.find(name);
    if (found == json.end() || !found->is_number_unsigned()) {
        return std::nullopt;
    }
    return found->get<std::uint64_t>();
}

} // namespace

nlohmann::json encodeBatch(const BatchRecord &record)
{
    return {{"position", record.position},
            {"nonce", record.nonce},
            {"time", record.time},
            {"entries", encodeEntries(record.entries)}};
}

std::optional<BatchRecord> decodeBatch(const nlohmann::json &json)
{
    const auto position = unsignedAt(json, "position");
    const auto time = unsignedAt(json, "time");
    if (!position || !time || !json.contains("entries") || !json.contains("nonce")
        || !json["nonce"].is_string()) {
        return std::nullopt;
    }
    return BatchRecord{*position, json["nonce"].get<std::string>(), *time,
                       decodeEntries(json["entries"])};
}

nlohmann::json encodeSegment(const SegmentRecord &record)
{
    return {{"number", record.number},
            {"time", record.time},
            {"horizon", record.horizon},
            {"entries", encodeEntries(record.entries)}};
}

std::optional<SegmentRecord> decodeSegment(const nlohmann::json &json)
{
    const auto number = unsignedAt(json, "number");
    const auto time = unsignedAt(json, "time");
    const auto horizon = unsignedAt(json, "horizon");
    if (!number || !time || !horizon || !json.contains("entries")) {
        return std::nullopt;
    }
    return SegmentRecord{*number, *time, *horizon, decodeEntries(json["entries"])};
}

} // namespace plantainswitch
