#pragma once

// Stand-in of a replica: it registers in the store and answers as the platform's pages say.

#include "platform.hh"

namespace review {

inline std::int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<Milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// One lifetime of a replica.
class Replica
{
public:
    struct Identity
    {
        std::string id;
        std::string service;
        std::string zone;
        std::string version = "v1";
        int slots = 6;
    };

    /// Answers one request on its connection. \returns whether the connection stays open.
    using Answer = std::function<bool(Replica &, Connection &, const Message &)>;

    Replica(Store &store, Identity identity, Address address, Answer answer)
        : store(store)
        , self(std::move(identity))
        , answer(std::move(answer))
        , server(std::move(address), [this](Connection &connection) { this->serve(connection); })
    {}

    /// Calls \a handler with the head of each request, before its body has arrived.
    void onHead(std::function<void(const Message &)> handler)
    {
        this->headHandler = std::move(handler);
    }

    bool start()
    {
        if (!this->server.start()) {
            return false;
        }
        this->bornAt = unixMilliseconds();
        return true;
    }
    /// Writes its entry into the store; waits while the store does not answer.
    void enter() { this->store.put("servers", this->self.id, this->entry("ready")); }
    /// Ends like a killed process.
    void stop() { this->server.stop(); }

    [[nodiscard]] const Identity &identity() const { return this->self; }
    [[nodiscard]] const Address &address() const { return this->server.address(); }
    [[nodiscard]] bool isStopped() const { return this->server.isStopped(); }

    /// \returns the fields of every answer to \a request.
    [[nodiscard]] std::string fieldsFor(const Message &request) const
    {
        return "X-Attempt-Id: " + request.field("X-Attempt-Id")
               + "\r\nX-Server-Stamp: " + this->self.id + "." + this->self.version
               + "\r\nX-Replica-Id: " + this->self.id + "\r\n";
    }

private:
    [[nodiscard]] json entry(const std::string &state) const
    {
        return {{"service", this->self.service},
                {"address", this->server.address().text()},
                {"zone", this->self.zone},
                {"version", this->self.version},
                {"slots", this->self.slots},
                {"state", state},
                {"coldLeftMs", 0},
                {"born", this->bornAt},
                {"sequence", 1}};
    }

    void serve(Connection &connection)
    {
        std::string buffer;
        while (!this->server.isStopped()) {
            ReadEnd end = ReadEnd::Data;
            const auto request = readMessage(connection, buffer, 15000, &end, this->headHandler);
            if (!request) {
                return;
            }
            if (request->field("X-Expect-Instance") != this->self.id) {
                if (!connection.send(
                        response(421, "X-Replica-Id: " + this->self.id + "\r\n", ""))) {
                    return;
                }
                continue;
            }
            if (!this->answer(*this, connection, *request)) {
                return;
            }
        }
    }

    Store &store;
    Identity self;
    Answer answer;
    std::function<void(const Message &)> headHandler;
    std::int64_t bornAt = 0;
    Server server;
};

/// \returns the head of a client's request.
inline std::string requestHead(const std::string &method, const std::string &path,
                               const std::string &attempt, int budgetMs, const std::string &more,
                               std::size_t bodySize)
{
    return method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + attempt
           + "\r\nX-Time-Budget: " + std::to_string(budgetMs)
           + "\r\nAuthorization: Bearer key-of-workshop\r\n" + more
           + "Content-Length: " + std::to_string(bodySize) + "\r\n\r\n";
}

} // namespace review
