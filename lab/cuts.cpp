#include "cuts.h"

namespace plantainswitch::lab {

Cuts::Cuts(const std::vector<RouterLayout> &layout)
{
    for (std::size_t index = 0; index < layout.size(); ++index) {
        this->datagrams[layout[index].datagrams] = index;
        this->calls[layout[index].calls] = index;
    }
}

void Cuts::cut(const std::vector<std::size_t> &one, const std::vector<std::size_t> &other)
{
    const std::lock_guard lock(this->mutex);
    for (const std::size_t here : one) {
        for (const std::size_t there : other) {
            this->pairs.emplace(here, there);
            this->pairs.emplace(there, here);
        }
    }
}

void Cuts::heal()
{
    const std::lock_guard lock(this->mutex);
    this->pairs.clear();
}

void Cuts::silence(std::size_t router, bool silent)
{
    const std::lock_guard lock(this->mutex);
    if (silent) {
        this->silent.insert(router);
    } else {
        this->silent.erase(router);
    }
}

bool Cuts::loses(std::size_t from, const Endpoint &to) const
{
    const std::lock_guard lock(this->mutex);
    const auto called = this->calls.find(to);
    if (called != this->calls.end()) {
        return this->silent.contains(called->second)
               || this->pairs.contains({from, called->second});
    }
    const auto told = this->datagrams.find(to);
    return told != this->datagrams.end() && this->pairs.contains({from, told->second});
}

} // namespace plantainswitch::lab
