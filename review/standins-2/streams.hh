#pragma once

// Streams of events that name the version of the software that wrote them.

#include "replica.hh"

namespace review {

inline std::string attemptName(int client, int stream, int attempt)
{
    return "a" + std::to_string(client) + "-" + std::to_string(stream) + "-"
           + std::to_string(attempt);
}

/// Writes the events of a request's stream that its client lacks. \returns whether it wrote them
/// all.
inline bool writeEvents(Replica &replica, Connection &connection, const Message &request,
                        int pieces, int intervalMs, const std::function<void()> &beforeEach = {})
{
    const std::string resumed = request.field("Last-Event-Id");
    int next = resumed.empty() ? 1 : std::stoi(resumed) + 1;
    if (!connection.send(
            "HTTP/1.1 200 OK\r\n" + replica.fieldsFor(request)
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")) {
        return false;
    }
    for (; next <= pieces; ++next) {
        pauseFor(intervalMs);
        if (beforeEach) {
            beforeEach();
        }
        if (replica.isStopped() || connection.isClosedByPeer()) {
            return false;
        }
        const std::string event = "id: " + std::to_string(next)
                                  + "\ndata: " + replica.identity().version + " piece "
                                  + std::to_string(next) + "\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", event.size());
        if (!connection.send(size + event + "\r\n")) {
            return false;
        }
    }
    return connection.send("0\r\n\r\n");
}

/// How one try of a client ended.
struct Try
{
    /// 0 if there was no answer.
    int status = 0;
    /// It brought an event.
    bool hasBegun = false;
    /// It took up a stream of which the client had events.
    bool isTakeUp = false;
    std::size_t router = 0;
};

/// What a client has received of one stream, over its tries.
struct Stream
{
    int client = 0;
    int number = 0;
    int pieces = 0;
    int last = 0;
    std::set<std::string> versions;
    std::vector<Try> tries;
    std::string trace;
    bool isWhole = false;
    bool hasGap = false;
};

inline void takeEvents(std::string &body, Stream &stream)
{
    for (std::size_t end = body.find("\n\n"); end != std::string::npos; end = body.find("\n\n")) {
        const std::string event = body.substr(0, end);
        body.erase(0, end + 2);
        const int id = std::stoi(event.substr(event.find("id: ") + 4));
        const std::size_t data = event.find("data: ") + 6;
        const std::string version = event.substr(data, event.find(' ', data) - data);
        stream.hasGap = stream.hasGap || id != stream.last + 1;
        stream.last = id;
        if (stream.versions.insert(version).second) {
            stream.trace += " " + version + " from " + std::to_string(id);
        }
    }
}

/// Sends one try of a stream's client to a router and reads its answer to the end.
inline void tryOnce(const Address &front, std::size_t router, Clock::time_point until,
                    Stream &stream)
{
    const int attempt = static_cast<int>(stream.tries.size());
    stream.tries.push_back({0, false, stream.last > 0, router});
    Try &current = stream.tries.back();
    const auto left = [until] { return millisecondsBetween(Clock::now(), until); };
    const auto connection = Connection::open(front);
    if (!connection) {
        stream.trace += " (no connection)";
        return;
    }
    const std::string client = std::to_string(stream.client);
    std::string more = "X-Model: m\r\nX-Token-Count: 710,279\r\nX-Prompt-Prefix: a1:103,b" + client
                       + ":500,c" + client + "f" + std::to_string(stream.number) + ":107\r\n";
    if (current.isTakeUp) {
        more += "Last-Event-Id: " + std::to_string(stream.last)
                + "\r\nResumes: " + attemptName(stream.client, stream.number, 0) + "\r\n";
    }
    if (!connection->send(requestHead("POST", "/guide/x",
                                      attemptName(stream.client, stream.number, attempt),
                                      static_cast<int>(left()), more, 0))) {
        return;
    }
    std::string buffer;
    std::optional<Message> head;
    while (!(head = takeHead(buffer))) {
        if (connection->read(buffer, left()) != ReadEnd::Data) {
            stream.trace += " (no answer)";
            return;
        }
    }
    current.status = head->status();
    if (current.status != 200) {
        stream.trace += " (" + std::to_string(current.status) + ")";
        return;
    }
    ChunkDecoder decoder;
    std::string body;
    const int before = stream.last;
    for (;;) {
        const bool isComplete = decoder.decode(buffer, body);
        takeEvents(body, stream);
        current.hasBegun = stream.last > before;
        if (isComplete) {
            stream.isWhole = stream.last == stream.pieces;
            return;
        }
        if (connection->read(buffer, left()) != ReadEnd::Data) {
            stream.trace += " (cut)";
            return;
        }
    }
}

inline std::string describe(const Stream &stream)
{
    return "client stream " + attemptName(stream.client, stream.number, 0) + ": "
           + (stream.isWhole ? "whole" : "not whole") + stream.trace
           + (stream.versions.size() > 1 ? " MIXED" : "") + (stream.hasGap ? " GAP" : "");
}

} // namespace review
