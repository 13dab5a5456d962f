#include "plantainswitch/observe/explain.h"

namespace plantainswitch {

void ExplainTable::record(Explanation explanation)
{
    const RankedLock lock(this->mutex);
    std::string id = explanation.requestId;
    if (!this->explanations.insert_or_assign(id, std::move(explanation)).second) {
        return;
    }
    this->order.push_back(std::move(id));
    if (this->order.size() > maxExplanations) {
        this->explanations.erase(this->order.front());
        this->order.pop_front();
    }
}

std::optional<Explanation> ExplainTable::find(const std::string &requestId) const
{
    const RankedLock lock(this->mutex);
    const auto found = this->explanations.find(requestId);
    if (found == this->explanations.end()) {
        return std::nullopt;
    }
    return found->second;
}

} // namespace plantainswitch
