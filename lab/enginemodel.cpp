#include "enginemodel.h"

#include <algorithm>

namespace plantainswitch::lab {

std::uint32_t PrefixCache::reuse(const std::vector<PromptBlock> &prompt)
{
    std::uint32_t cached = 0;
    for (const PromptBlock &block : prompt) {
        const auto found = this->blocks.find(block.prefixHash);
        if (found == this->blocks.end()) {
            break;
        }
        this->order.splice(this->order.begin(), this->order, found->second);
        cached += block.tokens;
    }
    return cached;
}

void PrefixCache::insert(const std::vector<PromptBlock> &prompt)
{
    for (const PromptBlock &block : prompt) {
        const auto found = this->blocks.find(block.prefixHash);
        if (found != this->blocks.end()) {
            this->order.splice(this->order.begin(), this->order, found->second);
            continue;
        }
        this->order.push_front(block);
        this->blocks[block.prefixHash] = this->order.begin();
        this->used += block.tokens;
    }
    while (this->used > this->capacity && !this->order.empty()) {
        this->used -= this->order.back().tokens;
        this->blocks.erase(this->order.back().prefixHash);
        this->order.pop_back();
    }
}

void PrefixCache::clear()
{
    this->order.clear();
    this->blocks.clear();
    this->used = 0;
}

std::uint32_t EngineModel::submit(EngineRequest request)
{
    const std::uint32_t cached = this->cache.reuse(request.prompt);
    std::uint32_t whole = 0;
    for (const PromptBlock &block : request.prompt) {
        whole += block.tokens;
    }
    this->cache.insert(request.prompt);
    Running entry{std::move(request), whole - cached, 0};
    const auto place =
        std::find_if(this->waiting.begin(), this->waiting.end(), [&entry](const Running &other) {
            return other.request.priority < entry.request.priority;
        });
    this->waiting.insert(place, std::move(entry));
    this->admit();
    return cached;
}

void EngineModel::admit()
{
    while (!this->waiting.empty() && this->running.size() < this->speed.batch) {
        this->running.splice(this->running.end(), this->waiting, this->waiting.begin());
    }
}

void EngineModel::cancel(const std::string &id)
{
    const auto isIt = [&id](const Running &entry) { return entry.request.id == id; };
    this->running.remove_if(isIt);
    this->waiting.remove_if(isIt);
    this->admit();
}

std::vector<EngineToken> EngineModel::step()
{
    std::vector<EngineToken> tokens;
    std::uint32_t prefill = this->speed.prefillTokens;
    for (auto each = this->running.begin(); each != this->running.end();) {
        if (each->prefillLeft > 0) {
            const std::uint32_t part = std::min(prefill, each->prefillLeft);
            each->prefillLeft -= part;
            prefill -= part;
            ++each;
            continue;
        }
        const bool last = each->made + 1 >= each->request.answerTokens;
        tokens.push_back({each->request.id, each->made++, last});
        each = last ? this->running.erase(each) : std::next(each);
    }
    this->admit();
    return tokens;
}

void EngineModel::clear()
{
    this->running.clear();
    this->waiting.clear();
    this->cache.clear();
}

} // namespace plantainswitch::lab
