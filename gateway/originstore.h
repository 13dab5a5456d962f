#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "plantainswitch/routing/originrecord.h"

#include "gatewaystate.h"
#include "sequentialhttpclient.h"

namespace plantainswitch::gateway {

/// The origins of streams in the platform's store. Only routers write there that reach no witness;
/// origins that no router knows are looked up there.
class OriginStore
{
public:
    /// \param own the process of this router
    OriginStore(GatewayState &gateway, RouterProcess own)
        : gateway(gateway)
        , own(own)
        , writer(gateway)
        , reader(gateway)
    {}

    /// Records an origin. \a done is called once, with whether the store has acknowledged it.
    /// Origins that wait share the next call.
    void write(const StreamOrigin &origin, std::function<void(bool)> done);
    /// Looks an origin up, by calls that start after this one. \a done is called once.
    void find(StreamKey stream, std::function<void(std::optional<VersionKey>)> done);
    /// Finds out whether the store responds, if that is not known.
    void probe();
    /// \returns whether the store has responded lately.
    [[nodiscard]] bool isResponding() const;
    void stop();

private:
    struct Write
    {
        StreamOrigin origin;
        std::function<void(bool)> done;
    };

    struct Search
    {
        StreamKey stream = 0;
        std::function<void(std::optional<VersionKey>)> done;
    };

    void startWrite();
    void onWritten(int status);
    void startSearches();
    /// Reads the records after the one named \a after.
    void readPage(const std::string &after);
    void onPage(const CallReply &reply);
    void finishSearches();
    /// Removes a record that is older than any stream that may be taken up.
    void removeExpired();

    GatewayState &gateway;
    RouterProcess own;
    SequentialHttpClient writer;
    SequentialHttpClient reader;
    std::vector<Write> writing;
    std::vector<Write> waitingWrites;
    std::vector<Search> searching;
    std::vector<Search> waitingSearches;
    /// The records read so far by the running search.
    std::map<StreamKey, VersionKey> found;
    /// When this router first saw each record, by its name.
    std::map<std::string, TimePoint> firstSeen;
    std::uint64_t lastRecord = 0;
    /// When the last call that succeeded was made.
    TimePoint respondedAt;
    /// When the last write failed; the clock's epoch if it succeeded.
    TimePoint writeFailedAt;
    TimePoint probedAt;
};

} // namespace plantainswitch::gateway
