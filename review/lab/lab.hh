// Shared parts of the review's cases: the platform's store, replicas, clients and router processes,
// all on loopback addresses. The store and the replicas follow PROTOCOL.md of the users' pages.
#pragma once

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

namespace lab {

using Json = nlohmann::json;

/// Exit statuses of a case.
constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

inline std::int64_t nowMs()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now()
                                                                 - start)
        .count();
}

inline void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// The record of what was sent, answered and run. Each line begins with milliseconds since start.
class Record
{
public:
    void open(const std::string &path) { this->file.open(path, std::ios::trunc); }
    void line(const std::string &text)
    {
        const std::lock_guard lock(this->mutex);
        this->file << nowMs() << " " << text << std::endl;
    }

private:
    std::mutex mutex;
    std::ofstream file;
};

inline Record &record()
{
    static Record instance;
    return instance;
}

inline std::string format(const char *pattern, ...)
{
    char text[2048];
    va_list arguments;
    va_start(arguments, pattern);
    std::vsnprintf(text, sizeof text, pattern, arguments);
    va_end(arguments);
    return text;
}

template<typename... Arguments>
void note(const char *pattern, Arguments... arguments)
{
    record().line(format(pattern, arguments...));
}

struct Address
{
    std::string ip;
    std::uint16_t port = 0;
    std::string text() const { return this->ip + ":" + std::to_string(this->port); }
};

inline sockaddr_in socketAddress(const Address &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

/// An address below 127.0.0.0/8 that belongs to this process alone.
inline std::string loopbackIp(unsigned host)
{
    const auto process = static_cast<unsigned>(getpid());
    return format("127.%u.%u.%u", 1 + process / 250 % 250, 1 + process % 250, host);
}

/// A port that is free for TCP and UDP at `ip` now.
inline std::uint16_t freePort(const std::string &ip)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = socketAddress({ip, 0});
    if (bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        close(fd);
        return 0;
    }
    socklen_t size = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    close(fd);
    return ntohs(address.sin_port);
}

// ---------------------------------------------------------------- HTTP

struct Head
{
    std::string first;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string get(const std::string &name) const
    {
        for (const auto &[key, value] : this->fields) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return {};
    }
    bool has(const std::string &name) const
    {
        return std::any_of(this->fields.begin(), this->fields.end(), [&](const auto &field) {
            return strcasecmp(field.first.c_str(), name.c_str()) == 0;
        });
    }
    std::string method() const { return this->first.substr(0, this->first.find(' ')); }
    std::string target() const
    {
        const auto begin = this->first.find(' ') + 1;
        return this->first.substr(begin, this->first.find(' ', begin) - begin);
    }
    int status() const
    {
        return this->first.size() > 12 ? std::atoi(this->first.c_str() + 9) : 0;
    }
};

/// One TCP connection with buffered reading.
class Channel
{
public:
    explicit Channel(int fd = -1)
        : fd(fd)
    {}
    ~Channel() { this->shut(); }
    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;

    static std::unique_ptr<Channel> connect(const Address &to, int timeoutMs = 1000)
    {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        sockaddr_in address = socketAddress(to);
        if (::connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
            && errno != EINPROGRESS) {
            close(fd);
            return nullptr;
        }
        pollfd waiting{fd, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        if (poll(&waiting, 1, timeoutMs) != 1
            || getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            close(fd);
            return nullptr;
        }
        fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        return std::make_unique<Channel>(fd);
    }

    bool send(const std::string &bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count =
                ::send(this->fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    /// Reads more bytes. Returns false at the end, on an error, or when `untilMs` has passed.
    bool more(std::int64_t untilMs)
    {
        const std::int64_t left = untilMs - nowMs();
        pollfd waiting{this->fd, POLLIN, 0};
        if (this->fd < 0 || left <= 0 || poll(&waiting, 1, static_cast<int>(left)) != 1) {
            this->timedOut = this->fd >= 0;
            return false;
        }
        char bytes[65536];
        const ssize_t count = recv(this->fd, bytes, sizeof bytes, 0);
        if (count <= 0) {
            this->ended = true;
            this->wasReset = count < 0;
            return false;
        }
        this->buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    std::optional<Head> readHead(std::int64_t untilMs)
    {
        std::size_t end = 0;
        while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!this->more(untilMs)) {
                return std::nullopt;
            }
        }
        Head head;
        std::istringstream lines(this->buffer.substr(0, end));
        this->buffer.erase(0, end + 4);
        std::string line;
        while (std::getline(lines, line)) {
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            const auto colon = line.find(':');
            if (head.first.empty()) {
                head.first = line;
            } else if (colon != std::string::npos) {
                const auto begin = line.find_first_not_of(' ', colon + 1);
                head.fields.emplace_back(line.substr(0, colon),
                                         begin == std::string::npos ? "" : line.substr(begin));
            }
        }
        return head;
    }

    bool readBytes(std::size_t count, std::string &out, std::int64_t untilMs)
    {
        while (this->buffer.size() < count) {
            if (!this->more(untilMs)) {
                return false;
            }
        }
        out = this->buffer.substr(0, count);
        this->buffer.erase(0, count);
        return true;
    }

    void shut()
    {
        if (this->fd >= 0) {
            close(this->fd);
            this->fd = -1;
        }
    }
    void reset()
    {
        const linger now{1, 0};
        setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        this->shut();
    }

    int fd;
    std::string buffer;
    bool ended = false;
    bool wasReset = false;
    bool timedOut = false;
};

/// What a client saw of one request.
struct Answer
{
    int status = 0; ///< 0: none.
    bool whole = false;
    bool closed = false;
    Head head;
    std::string body;
    std::int64_t atMs = 0;
};

/// Reads one answer, whose body has a length or chunks.
inline Answer readAnswer(Channel &channel, std::int64_t untilMs, bool isHead = false)
{
    Answer answer;
    const auto head = channel.readHead(untilMs);
    answer.atMs = nowMs();
    answer.closed = channel.ended;
    if (!head) {
        return answer;
    }
    answer.head = *head;
    answer.status = head->status();
    if (isHead) {
        answer.whole = true;
    } else if (strcasecmp(head->get("Transfer-Encoding").c_str(), "chunked") == 0) {
        while (true) {
            std::size_t end = 0;
            while ((end = channel.buffer.find("\r\n")) == std::string::npos) {
                if (!channel.more(untilMs)) {
                    answer.closed = channel.ended;
                    return answer;
                }
            }
            const std::size_t size = std::strtoul(channel.buffer.c_str(), nullptr, 16);
            channel.buffer.erase(0, end + 2);
            std::string chunk;
            if (!channel.readBytes(size + 2, chunk, untilMs)) {
                answer.closed = channel.ended;
                return answer;
            }
            answer.body.append(chunk, 0, size);
            if (size == 0) {
                answer.whole = true;
                break;
            }
        }
    } else {
        const std::size_t size = std::strtoul(head->get("Content-Length").c_str(), nullptr, 10);
        answer.whole = channel.readBytes(size, answer.body, untilMs);
    }
    answer.closed = channel.ended;
    answer.atMs = nowMs();
    return answer;
}

/// Accepts connections at an address and handles each in a thread of its own.
class Server
{
public:
    using Handler = std::function<void(Channel &)>;

    ~Server() { this->stop(); }

    bool start(const Address &at, Handler newHandler)
    {
        this->address = at;
        this->handler = std::move(newHandler);
        this->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(this->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in local = socketAddress(at);
        if (bind(this->fd, reinterpret_cast<sockaddr *>(&local), sizeof local) != 0
            || listen(this->fd, 512) != 0) {
            return false;
        }
        socklen_t size = sizeof local;
        getsockname(this->fd, reinterpret_cast<sockaddr *>(&local), &size);
        this->address.port = ntohs(local.sin_port);
        this->acceptor = std::thread([this] { this->run(); });
        return true;
    }
    void stop()
    {
        if (this->fd < 0) {
            return;
        }
        this->stopping = true;
        shutdown(this->fd, SHUT_RDWR);
        this->acceptor.join();
        close(this->fd);
        this->fd = -1;
    }

    Address address;

private:
    void run()
    {
        while (!this->stopping) {
            const int accepted = accept4(this->fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                if (this->stopping) {
                    return;
                }
                sleepMs(5);
                continue;
            }
            const int on = 1;
            setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([accepted, handle = this->handler] {
                Channel channel(accepted);
                handle(channel);
            }).detach();
        }
    }

    int fd = -1;
    Handler handler;
    std::thread acceptor;
    std::atomic<bool> stopping = false;
};

// ---------------------------------------------------------------- the platform's store

/// The platform's store: lists, waiting reads, conditional writes, one revision counter.
class Store
{
public:
    bool start(const std::string &ip)
    {
        return this->server.start({ip, 0}, [this](Channel &channel) { this->serve(channel); });
    }
    Address address() const { return this->server.address; }

    /// Writes the specification of an object, as the operator and the replicas do.
    std::uint64_t put(const std::string &kind, const std::string &name, const Json &spec)
    {
        const std::lock_guard lock(this->mutex);
        Object &object = this->objects[kind][name];
        if (object.spec == spec && object.rev != 0) {
            return object.rev;
        }
        object.spec = spec;
        this->changed(kind, name, object, false);
        return object.rev;
    }
    void remove(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->objects[kind].find(name);
        if (found != this->objects[kind].end()) {
            Object last = found->second;
            this->objects[kind].erase(found);
            this->changed(kind, name, last, true);
        }
    }
    /// Text that stands for the specification of an object, written as it is.
    std::map<std::string, std::string> rawSpecs;

private:
    struct Object
    {
        Json spec;
        Json status;
        std::uint64_t rev = 0;
        std::uint64_t created = 0;
    };
    struct Event
    {
        std::uint64_t rev;
        std::string kind;
        std::string text;
    };

    std::string textOf(const std::string &name, const Object &object) const
    {
        const Json metadata{{"name", name},
                            {"rev", object.rev},
                            {"created", object.created},
                            {"finalizers", Json::array()},
                            {"deletionTime", false}};
        const auto raw = this->rawSpecs.find(name);
        return "{\"metadata\":" + metadata.dump() + ",\"spec\":"
               + (raw == this->rawSpecs.end() ? object.spec.dump() : raw->second)
               + ",\"status\":" + object.status.dump() + "}";
    }
    void changed(const std::string &kind, const std::string &name, Object &object, bool deleted)
    {
        object.rev = ++this->revision;
        object.created = object.created == 0 ? object.rev : object.created;
        this->events.push_back({object.rev, kind,
                                "{\"deleted\":" + std::string(deleted ? "true" : "false")
                                    + ",\"object\":" + this->textOf(name, object) + "}"});
        this->wake.notify_all();
    }
    static std::string parameter(const std::string &target, const std::string &name)
    {
        auto at = target.find("?" + name + "=");
        at = at == std::string::npos ? target.find("&" + name + "=") : at;
        if (at == std::string::npos) {
            return {};
        }
        at += name.size() + 2;
        return target.substr(at, target.find('&', at) - at);
    }
    static std::string reply(int status, const std::string &body)
    {
        return format("HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
                      status, body.size())
               + body;
    }

    void serve(Channel &channel)
    {
        while (const auto head = channel.readHead(nowMs() + 600'000)) {
            std::string body;
            channel.readBytes(std::strtoul(head->get("Content-Length").c_str(), nullptr, 10), body,
                              nowMs() + 10'000);
            sleepMs(4);
            if (!channel.send(this->answer(head->method(), head->target(), body))) {
                return;
            }
        }
    }
    std::string answer(const std::string &method, const std::string &target,
                       const std::string &body)
    {
        std::unique_lock lock(this->mutex);
        std::string path = target.substr(0, target.find('?'));
        constexpr std::size_t prefix = sizeof "/objects/" - 1;
        path = path.size() > prefix ? path.substr(prefix) : "";
        const auto slash = path.find('/');
        const std::string kind = path.substr(0, slash);
        std::string name = slash == std::string::npos ? "" : path.substr(slash + 1);
        auto &all = this->objects[kind];
        const Json sent = Json::parse(body, nullptr, false);
        const Json metadata = sent.is_object() && sent.contains("metadata") ? sent["metadata"]
                                                                              : Json::object();
        if (method == "GET" && name.empty()) {
            const std::string since = parameter(target, "watch");
            return since.empty() ? this->list(all, parameter(target, "afterRev"))
                                 : this->watch(lock, kind, std::strtoull(since.c_str(), nullptr, 10),
                                               std::atoi(parameter(target, "waitMs").c_str()));
        }
        if (method == "POST") {
            name = metadata.value("name", "");
            if (const auto found = all.find(name); found != all.end()) {
                return reply(409, this->textOf(name, found->second));
            }
            Object &object = all[name];
            object.spec = sent.value("spec", Json());
            this->changed(kind, name, object, false);
            return reply(200, this->textOf(name, object));
        }
        const auto found = all.find(name);
        if (found == all.end()) {
            return reply(404, "{}");
        }
        if (method == "GET") {
            return reply(200, this->textOf(name, found->second));
        }
        if (metadata.contains("rev") && metadata["rev"] != found->second.rev) {
            return reply(409, this->textOf(name, found->second));
        }
        if (method == "PUT") {
            found->second.spec = sent.value("spec", Json());
            this->changed(kind, name, found->second, false);
            return reply(200, this->textOf(name, found->second));
        }
        Object last = found->second;
        all.erase(found);
        this->changed(kind, name, last, true);
        return reply(200, "{}");
    }
    std::string list(const std::map<std::string, Object> &all, const std::string &after) const
    {
        std::string text = "{\"items\":[";
        std::size_t count = 0;
        bool more = false;
        for (auto at = all.upper_bound(after); at != all.end(); ++at) {
            if (count == 500) {
                more = true;
                break;
            }
            text += (count++ > 0 ? "," : "") + this->textOf(at->first, at->second);
        }
        return reply(200, text + "],\"hasMore\":" + (more ? "true" : "false")
                              + ",\"asOf\":" + std::to_string(this->revision) + "}");
    }
    std::string watch(std::unique_lock<std::mutex> &lock, const std::string &kind,
                      std::uint64_t since, int waitMs)
    {
        const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(waitMs);
        std::string found;
        while (true) {
            for (const Event &event : this->events) {
                if (event.rev > since && event.kind == kind) {
                    found += (found.empty() ? "" : ",") + event.text;
                }
            }
            if (!found.empty()
                || this->wake.wait_until(lock, until) == std::cv_status::timeout) {
                break;
            }
        }
        return reply(200, "{\"events\":[" + found + "],\"asOf\":" + std::to_string(this->revision)
                              + "}");
    }

    Server server;
    std::mutex mutex;
    std::condition_variable wake;
    std::uint64_t revision = 100;
    std::map<std::string, std::map<std::string, Object>> objects;
    std::vector<Event> events;
};

// ---------------------------------------------------------------- replicas

/// One request as a replica got it.
struct Request
{
    Head head;
    std::string body;
    std::string id() const { return this->head.get("X-Attempt-Id"); }
};

class Replica;
/// Answers one request. Returns false to close the channel.
using Responder = std::function<bool(Replica &, const Request &, Channel &)>;

/// A replica of a service, with its entry in the store.
class Replica
{
public:
    std::string id;
    std::string service;
    std::string zone;
    std::string version = "v1";
    int slots = 6;
    Responder responder;
    /// Serves a whole channel in place of `responder`, if set.
    std::function<void(Channel &)> channelHandler;

    bool start(Store &store, const std::string &ip)
    {
        const bool isOpen =
            this->server.start({ip, 0}, [this](Channel &channel) { this->serve(channel); });
        this->entry = {{"service", this->service}, {"address", this->server.address.text()},
                       {"zone", this->zone},       {"version", this->version},
                       {"slots", this->slots},     {"state", "ready"},
                       {"coldLeftMs", 0},          {"sequence", 1}};
        store.put("servers", this->id, this->entry);
        return isOpen;
    }
    /// Writes the replica's entry anew, with a change of its state.
    void report(Store &store, const std::string &state)
    {
        this->entry["state"] = state;
        this->entry["sequence"] = this->entry["sequence"].get<int>() + 1;
        store.put("servers", this->id, this->entry);
    }
    /// The replica exits: its channels end and its address takes no new ones.
    void exit(Store &store)
    {
        store.remove("servers", this->id);
        this->server.stop();
        const std::lock_guard lock(this->mutex);
        for (const int fd : this->open) {
            shutdown(fd, SHUT_RDWR);
        }
    }
    std::string stamp() const { return "3e1b.07.5a2.600.0." + this->id; }

    Server server;
    Json entry;

private:
    void serve(Channel &channel)
    {
        {
            const std::lock_guard lock(this->mutex);
            this->open.insert(channel.fd);
        }
        if (this->channelHandler) {
            this->channelHandler(channel);
        } else {
            this->serveRequests(channel);
        }
        const std::lock_guard lock(this->mutex);
        this->open.erase(channel.fd);
    }
    void serveRequests(Channel &channel)
    {
        while (const auto head = channel.readHead(nowMs() + 120'000)) {
            Request request{*head, {}};
            if (!channel.readBytes(
                    std::strtoul(head->get("Content-Length").c_str(), nullptr, 10), request.body,
                    nowMs() + 30'000)) {
                return;
            }
            if (head->target() == "/health") {
                channel.send("HTTP/1.1 200 OK\r\nX-Replica-Id: " + this->id
                             + "\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            const std::string expected = head->get("X-Expect-Instance");
            if (!expected.empty() && expected != this->id) {
                channel.send("HTTP/1.1 421 Misdirected Request\r\nX-Replica-Id: " + this->id
                             + "\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            if (!this->responder(*this, request, channel)) {
                return;
            }
        }
    }

    std::mutex mutex;
    std::set<int> open;
};

/// A replica's usual answer.
inline std::string wholeAnswer(const Replica &replica, const Request &request,
                               const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.id() + "\r\nX-Server-Stamp: "
           + replica.stamp() + "\r\nContent-Type: application/octet-stream\r\nContent-Length: "
           + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ---------------------------------------------------------------- routers

/// Runs work on one thread that lives as long as this process. Router processes are started there,
/// because PR_SET_PDEATHSIG ends them with the thread that started them.
class Starter
{
public:
    static Starter &instance()
    {
        static Starter *const only = new Starter;
        return *only;
    }
    void run(const std::function<void()> &work)
    {
        std::unique_lock lock(this->mutex);
        this->wake.wait(lock, [this] { return this->work == nullptr; });
        bool isDone = false;
        this->work = &work;
        this->done = &isDone;
        this->wake.notify_all();
        this->wake.wait(lock, [&isDone] { return isDone; });
    }

private:
    Starter()
    {
        std::thread([this] {
            std::unique_lock lock(this->mutex);
            while (true) {
                this->wake.wait(lock, [this] { return this->work != nullptr; });
                (*this->work)();
                *this->done = true;
                this->work = nullptr;
                this->wake.notify_all();
            }
        }).detach();
    }

    std::mutex mutex;
    std::condition_variable wake;
    const std::function<void()> *work = nullptr;
    bool *done = nullptr;
};

/// A router process, started with the command of the deploy file.
class Router
{
public:
    std::string name;
    std::string ip;
    std::string zone = "hall-a";
    Address front;
    Address ready;
    std::uint16_t control = 0;
    std::uint16_t datagrams = 0;
    std::uint16_t calls = 0;
    pid_t pid = -1;

    void choosePorts()
    {
        this->front = {this->ip, freePort(this->ip)};
        this->ready = {this->ip, freePort(this->ip)};
        this->control = freePort(this->ip);
        this->datagrams = freePort(this->ip);
        this->calls = freePort(this->ip);
    }
    /// Writes the settings as deploy/settings.json.in renders them for a small deployment.
    void writeSettings(const std::string &folder, const Address &store,
                       const std::vector<std::string> &seeds)
    {
        this->settings = folder + "/" + this->name + ".json";
        this->log = folder + "/" + this->name + ".log";
        const Json document{
            {"id", this->name},
            {"place", this->zone},
            {"callers", this->front.text()},
            {"readiness", this->ready.text()},
            {"control", Address{this->ip, this->control}.text()},
            {"peer",
             {{"address", this->ip},
              {"datagramPort", this->datagrams},
              {"callPort", this->calls},
              {"seeds", seeds}}},
            {"store", store.text()},
            {"retries", {{"ratio", 0.2}, {"margin", 52}, {"windowSeconds", 10}}},
            {"drainMilliseconds", 2000},
            {"catchUpMilliseconds", 3000},
            {"areas", {{"hall-a", "scot-central"}, {"hall-b", "scot-central"},
                       {"hall-c", "scot-central"}}},
            {"graceSeconds", 8}};
        std::ofstream(this->settings) << document.dump(1) << "\n";
    }
    void start()
    {
        Starter::instance().run([this] { this->fork(); });
        note("router %s started, pid %d", this->name.c_str(), this->pid);
    }
    void fork()
    {
        this->pid = ::fork();
        if (this->pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = open(this->log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(out, 1);
            dup2(out, 2);
            setenv("PLANTAINSWITCH_BOOT", this->settings.c_str(), 1);
            execl("target/plantaind", "target/plantaind", "--dialect", "platform", "--config-env",
                  "PLANTAINSWITCH_BOOT", static_cast<char *>(nullptr));
            _exit(127);
        }
    }
    bool isReady() const
    {
        const auto channel = Channel::connect(this->ready, 300);
        if (!channel || !channel->send("GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")) {
            return false;
        }
        return readAnswer(*channel, nowMs() + 500).status == 200;
    }
    bool awaitReady(std::int64_t ms = 15'000) const
    {
        const std::int64_t until = nowMs() + ms;
        while (nowMs() < until) {
            if (this->isReady()) {
                return true;
            }
            sleepMs(100);
        }
        return false;
    }
    /// Returns how the process ended, or nothing if it runs.
    std::optional<std::string> ended()
    {
        int status = 0;
        if (this->pid <= 0 || waitpid(this->pid, &status, WNOHANG) != this->pid) {
            return std::nullopt;
        }
        this->pid = -1;
        return WIFSIGNALED(status) ? format("signal %d", WTERMSIG(status))
                                   : format("exit %d", WEXITSTATUS(status));
    }
    void kill(int number = SIGKILL)
    {
        if (this->pid > 0) {
            ::kill(this->pid, number);
        }
    }
    void stop()
    {
        if (this->pid > 0) {
            ::kill(this->pid, SIGKILL);
            waitpid(this->pid, nullptr, 0);
            this->pid = -1;
        }
    }
    /// Resident memory in kilobytes.
    long residentKb() const
    {
        std::ifstream file("/proc/" + std::to_string(this->pid) + "/status");
        std::string line;
        while (std::getline(file, line)) {
            if (line.rfind("VmRSS:", 0) == 0) {
                return std::atol(line.c_str() + 6);
            }
        }
        return 0;
    }
    std::string settings;
    std::string log;
};

/// Temporary folder for settings and logs, removed by finish() unless LAB_KEEP is set.
class Folder
{
public:
    Folder()
    {
        std::string pattern = std::filesystem::temp_directory_path() / "review-XXXXXX";
        this->path = mkdtemp(pattern.data()) == nullptr ? "" : pattern;
    }
    std::string path;
};

/// A small deployment: one store, routers and replicas.
class Deployment
{
public:
    Deployment()
    {
        std::signal(SIGPIPE, SIG_IGN);
        this->store.start(loopbackIp(1));
    }
    ~Deployment()
    {
        for (auto &router : this->routers) {
            router->stop();
        }
    }
    Replica &addReplica(const std::string &id, const std::string &service, int slots,
                        Responder responder, const std::string &version = "v1")
    {
        auto replica = std::make_unique<Replica>();
        replica->id = id;
        replica->service = service;
        replica->zone = "hall-a";
        replica->slots = slots;
        replica->version = version;
        replica->responder = std::move(responder);
        replica->start(this->store, loopbackIp(100 + static_cast<unsigned>(this->replicas.size())));
        this->replicas.push_back(std::move(replica));
        return *this->replicas.back();
    }
    /// Starts routers and waits until all are ready.
    bool startRouters(unsigned count)
    {
        std::vector<std::string> seeds;
        for (unsigned i = 0; i < count; ++i) {
            auto router = std::make_unique<Router>();
            router->name = format("edge-hall-a-%u", i + 1);
            router->ip = loopbackIp(10 + i);
            router->choosePorts();
            if (i < 3) {
                seeds.push_back(Address{router->ip, router->control}.text());
            }
            this->routers.push_back(std::move(router));
        }
        for (auto &router : this->routers) {
            router->writeSettings(this->folder.path, this->store.address(), seeds);
            router->start();
        }
        const bool allReady = std::all_of(this->routers.begin(), this->routers.end(),
                                          [](const auto &router) { return router->awaitReady(); });
        note("routers ready: %s", allReady ? "yes" : "no");
        // The routers also find each other and settle who watches the store.
        sleepMs(2000);
        return allReady;
    }

    Folder folder;
    Store store;
    std::vector<std::unique_ptr<Replica>> replicas;
    std::vector<std::unique_ptr<Router>> routers;
};

inline const std::string hostName = "ficu95.example";
inline const std::string apiKey = "n2ctnfzs989anu6wsjnb";

/// The limits of a manifest as `fleetbench wire` prints them.
inline Json usualLimits()
{
    return {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 4194304},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}};
}

/// A case's parameters: the folder for its record, and whether the disruption is played.
inline void openRecord(int count, char **arguments)
{
    record().open(std::string(count > 1 ? arguments[1] : ".") + "/record.txt");
}

/// Prints and records the outcome, ends what was started and the process.
[[noreturn]] inline void finish(Deployment &deployment, int status, const std::string &text)
{
    for (auto &router : deployment.routers) {
        router->stop();
    }
    record().line("outcome: " + text);
    std::printf("%s\n", text.c_str());
    std::fflush(stdout);
    std::error_code ignored;
    if (std::getenv("LAB_KEEP") == nullptr) {
        std::filesystem::remove_all(deployment.folder.path, ignored);
    }
    // The stand-ins' threads still wait for requests.
    _exit(status);
}

inline Json plainRoute(const std::string &name, const std::string &prefix, const std::string &kind,
                       const std::string &service, int timeoutMs, int goalMs, int maxAttempts)
{
    return {{"name", name},           {"host", hostName},      {"pathPrefix", prefix},
            {"kind", kind},           {"timeoutMs", timeoutMs}, {"goalMs", goalMs},
            {"priority", 2},          {"service", service},    {"maxAttempts", maxAttempts},
            {"anonymous", false},     {"sticky", false},       {"resumable", false}};
}

inline Json manifest(std::uint64_t version, const std::vector<Json> &routes,
                     const std::vector<std::string> &services)
{
    Json listed = Json::array();
    for (const std::string &service : services) {
        listed.push_back({{"name", service},
                          {"healthPath", "/health"},
                          {"connLimit", 96},
                          {"protocol", "h1"},
                          {"tls", false}});
    }
    return {{"version", version},
            {"routes", routes},
            {"services", listed},
            {"limits", usualLimits()},
            {"tenants", {{{"name", "hule930"}, {"apiKeys", {apiKey}}, {"priority", 1}}}}};
}

/// The bytes of a client's request.
inline std::string clientRequest(const std::string &method, const std::string &path,
                                 const std::string &id, int budgetMs, const std::string &body = {})
{
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + hostName
                       + "\r\nX-Attempt-Id: " + id + "\r\nX-Time-Budget: "
                       + std::to_string(budgetMs) + "\r\nAuthorization: Bearer " + apiKey + "\r\n";
    if (!body.empty() || method == "POST") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

/// \returns whether the disruption is to be played (environment variable TROUBLE, 1 unless 0).
inline bool hasTrouble()
{
    const char *const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace lab
