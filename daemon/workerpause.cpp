#include "workerpause.h"

#include <latch>
#include <utility>

#include <asio/post.hpp>

namespace plantainswitch {

struct WorkerPause::Gate
{
    explicit Gate(std::uint32_t workers)
        : blocked(workers)
        , open(1)
    {}

    std::latch blocked;
    std::latch open;
};

void WorkerPause::begin(asio::io_context &context, std::uint32_t workers)
{
    this->gate = std::make_shared<Gate>(workers);
    for (std::uint32_t index = 0; index < workers; ++index) {
        asio::post(context, [gate = this->gate] {
            gate->blocked.count_down();
            gate->open.wait();
        });
    }
    this->gate->blocked.wait();
}

void WorkerPause::end()
{
    if (const auto ended = std::exchange(this->gate, nullptr)) {
        ended->open.count_down();
    }
}

} // namespace plantainswitch
