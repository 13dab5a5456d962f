#pragma once

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "fleet.h"
#include "history.h"

namespace plantainswitch::lab {

/// A sending of an order as its caller saw it.
struct SendAttempt
{
    std::uint32_t order = 0;
    std::string request;
    std::string answeredKey;
    /// Kind of the refusal; empty for an answer or a broken connection.
    std::string refusal;
    bool answered = false;
    bool refusedNotRun = false;
};

/// Sends non-idempotent orders to a fleet and records what their callers hear.
class OrderRecord
{
public:
    explicit OrderRecord(Fleet &fleet)
        : fleet(fleet)
    {}

    /// Sends \a order to \a router, with the order's number as key. Safe from any thread.
    SendAttempt send(std::uint32_t order, std::size_t router);
    [[nodiscard]] std::vector<SendAttempt> sendings() const;
    /// \returns what ran and what callers heard, for the checkers.
    [[nodiscard]] History history() const;

private:
    Fleet &fleet;
    mutable std::mutex mutex;
    std::vector<SendAttempt> sent;
};

/// \returns the first violation by orders that \a history shows, or nothing.
[[nodiscard]] std::optional<std::string> checkOrders(const History &history);

} // namespace plantainswitch::lab
