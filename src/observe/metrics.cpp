#include "plantainswitch/observe/metrics.h"

#include <array>
#include <atomic>
#include <map>
#include <sstream>
#include <tuple>

#include <boost/histogram.hpp>

#include "plantainswitch/base/lockorder.h"

namespace plantainswitch {

namespace {

constexpr std::array counterNames{
    std::string_view{"requests_total"},
    std::string_view{"answers_whole_total"},
    std::string_view{"answers_cut_total"},
    std::string_view{"callers_gone_total"},
    std::string_view{"retries_total"},
    std::string_view{"slot_asks_total"},
    std::string_view{"slot_ask_timeouts_total"},
    std::string_view{"control_sent_bytes_total"},
    std::string_view{"control_received_bytes_total"},
    std::string_view{"platform_calls_total"},
    std::string_view{"claim_reads_total"},
    std::string_view{"claim_writes_total"},
    std::string_view{"claim_repeats_total"},
    std::string_view{"claims_granted_total"},
    std::string_view{"queue_entered_total"},
    std::string_view{"queue_refused_total"},
    std::string_view{"queue_expired_total"},
};
constexpr std::array controlNames{
    std::string_view{"swim"},          std::string_view{"leaving"},
    std::string_view{"slot_ask"},      std::string_view{"slot_reply"},
    std::string_view{"slot_release"},  std::string_view{"claim_ask"},
    std::string_view{"claim_reply"},   std::string_view{"claim_release"},
    std::string_view{"suspect_news"},  std::string_view{"limit_report"},
    std::string_view{"limit_shares"},  std::string_view{"slot_digest"},
    std::string_view{"slot_list_ask"}, std::string_view{"slot_list"},
    std::string_view{"shard_summary"}, std::string_view{"chat_hints"},
    std::string_view{"pull"},
};
constexpr std::array timingNames{std::string_view{"first_byte_seconds"},
                                 std::string_view{"whole_seconds"},
                                 std::string_view{"placement_seconds"}};
constexpr std::string_view prefix = "plantainswitch_";
constexpr std::size_t errorKinds = static_cast<std::size_t>(ErrorKind::Internal) + 1;
/// Histogram edges run from 0.1 ms to 100 s, four to a factor of ten.
constexpr unsigned binCount = 24;
constexpr double leastSeconds = 1e-4;
constexpr double mostSeconds = 100.0;

namespace bh = boost::histogram;
using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Histogram = decltype(bh::make_histogram(Axis(binCount, leastSeconds, mostSeconds)));

struct Series
{
    Histogram histogram = bh::make_histogram(Axis(binCount, leastSeconds, mostSeconds));
    double sum = 0;
};

using SeriesKey = std::tuple<Timing, std::string, std::string>;

/// Counters of one control kind.
struct Sent
{
    std::atomic<std::uint64_t> messages;
    std::atomic<std::uint64_t> bytes;
};
using SentByKind = std::array<Sent, controlNames.size()>;

void renderSent(std::ostringstream &out, std::string_view name, const SentByKind &sent,
                std::atomic<std::uint64_t> Sent::*field)
{
    out << "# TYPE " << prefix << name << " counter\n";
    for (std::size_t kind = 0; kind < sent.size(); ++kind) {
        const std::uint64_t value = sent.at(kind).*field;
        if (value > 0) {
            out << prefix << name << "{kind=\"" << controlNames.at(kind) << "\"} " << value << "\n";
        }
    }
}

void renderSeries(std::ostringstream &out, const SeriesKey &key, const Series &series)
{
    const auto &[timing, workspace, dataClass] = key;
    const std::string name =
        std::string(prefix) + std::string(timingNames.at(static_cast<std::size_t>(timing)));
    const std::string labels = "workspace=\"" + workspace + "\",class=\"" + dataClass + "\"";
    double total = series.histogram.at(-1);
    for (int bin = 0; bin < static_cast<int>(binCount); ++bin) {
        total += series.histogram.at(bin);
        out << name << "_bucket{" << labels << ",le=\"" << series.histogram.axis().bin(bin).upper()
            << "\"} " << total << "\n";
    }
    total += series.histogram.at(static_cast<int>(binCount));
    out << name << "_bucket{" << labels << ",le=\"+Inf\"} " << total << "\n";
    out << name << "_sum{" << labels << "} " << series.sum << "\n";
    out << name << "_count{" << labels << "} " << total << "\n";
}

} // namespace

struct Metrics::State
{
    std::array<std::atomic<std::uint64_t>, counterNames.size()> counters{};
    std::array<std::atomic<std::uint64_t>, errorKinds> refusals{};
    SentByKind sent{};
    mutable RankedMutex mutex{LockRank::Metrics};
    std::map<SeriesKey, Series> series;
};

Metrics::Metrics()
    : state(std::make_unique<State>())
{}

Metrics::~Metrics() = default;

void Metrics::count(Counter counter, std::uint64_t amount) noexcept
{
    this->state->counters.at(static_cast<std::size_t>(counter)) += amount;
}

void Metrics::countSent(ControlKind kind, std::uint64_t bytes) noexcept
{
    Sent &sent = this->state->sent.at(static_cast<std::size_t>(kind));
    ++sent.messages;
    sent.bytes += bytes;
    this->count(Counter::ControlBytesSent, bytes);
}

void Metrics::countRefusal(ErrorKind kind) noexcept
{
    ++this->state->refusals.at(static_cast<std::size_t>(kind));
}

void Metrics::record(Timing timing, const std::string &workspace, const std::string &dataClass,
                     Duration elapsed)
{
    const double seconds = std::chrono::duration<double>(elapsed).count();
    const RankedLock lock(this->state->mutex);
    Series &series = this->state->series[{timing, workspace, dataClass}];
    series.histogram(seconds);
    series.sum += seconds;
}

std::uint64_t Metrics::value(Counter counter) const noexcept
{
    return this->state->counters.at(static_cast<std::size_t>(counter));
}

std::string Metrics::render() const
{
    std::ostringstream out;
    for (std::size_t index = 0; index < counterNames.size(); ++index) {
        const std::string name = std::string(prefix) + std::string(counterNames.at(index));
        out << "# TYPE " << name << " counter\n"
            << name << " " << this->state->counters.at(index) << "\n";
    }
    out << "# TYPE " << prefix << "refusals_total counter\n";
    for (std::size_t index = 0; index < errorKinds; ++index) {
        const std::uint64_t refused = this->state->refusals.at(index);
        if (refused > 0) {
            out << prefix << "refusals_total{kind=\""
                << errorRow(static_cast<ErrorKind>(index)).name << "\"} " << refused << "\n";
        }
    }
    renderSent(out, "control_sent_kind_messages_total", this->state->sent, &Sent::messages);
    renderSent(out, "control_sent_kind_bytes_total", this->state->sent, &Sent::bytes);
    const RankedLock lock(this->state->mutex);
    for (const std::string_view name : timingNames) {
        out << "# TYPE " << prefix << name << " histogram\n";
    }
    for (const auto &[key, series] : this->state->series) {
        renderSeries(out, key, series);
    }
    return out.str();
}

} // namespace plantainswitch
