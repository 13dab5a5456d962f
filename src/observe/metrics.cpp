#include "plantainswitch/observe/metrics.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <charconv>
#include <map>
#include <sstream>
#include <tuple>
#include <vector>

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
    std::string_view{"permits_denied_total"},
    std::string_view{"forwards_total"},
    std::string_view{"streams_taken_up_total"},
    std::string_view{"connections_accepted_total"},
    std::string_view{"surge_refusals_total"},
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
    std::string_view{"pull"},          std::string_view{"router_news"},
    std::string_view{"engine_ask"},    std::string_view{"engine_reply"},
    std::string_view{"engine_end"},    std::string_view{"store_view"},
    std::string_view{"origin_report"}, std::string_view{"origin_ask"},
    std::string_view{"origin_reply"},  std::string_view{"origin_confirmation"},
};
constexpr std::array timingNames{std::string_view{"first_byte_seconds"},
                                 std::string_view{"whole_seconds"},
                                 std::string_view{"placement_seconds"}};
constexpr std::string_view prefix = "plantainswitch_";
constexpr std::size_t errorKinds = static_cast<std::size_t>(ErrorKind::Internal) + 1;
/// Histogram edges run from 0.1 ms to 100 s, four per factor of ten.
constexpr unsigned binCount = 24;
constexpr double minSeconds = 1e-4;
constexpr double maxSeconds = 100.0;

namespace bh = boost::histogram;
using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Histogram = decltype(bh::make_histogram(Axis(binCount, minSeconds, maxSeconds)));

struct Series
{
    Histogram histogram = bh::make_histogram(Axis(binCount, minSeconds, maxSeconds));
    double sum = 0;
    std::uint64_t count = 0;
    TimePoint last;
};

/// Timing, workspace and data class of a series; the series of a whole class has an empty
/// workspace.
using SeriesKey = std::tuple<Timing, std::string, std::string>;
using SeriesMap = std::map<SeriesKey, Series>;

/// Counters of one kind of control message.
struct Sent
{
    std::atomic<std::uint64_t> messages;
    std::atomic<std::uint64_t> bytes;
};
using SentByKind = std::array<Sent, controlNames.size()>;

bool isClassSeries(const SeriesKey &key)
{
    return std::get<1>(key).empty();
}

std::string nameOfSeries(const SeriesKey &key)
{
    std::string name(prefix);
    name += isClassSeries(key) ? "class_" : "";
    name += timingNames.at(static_cast<std::size_t>(std::get<Timing>(key)));
    return name;
}

std::string labelsOf(const SeriesKey &key)
{
    const auto &[timing, workspace, dataClass] = key;
    const std::string ofClass = "class=\"" + dataClass + "\"";
    return isClassSeries(key) ? ofClass : "workspace=\"" + workspace + "\"," + ofClass;
}

/// Upper edges of the bins in the text format of scrapers.
std::array<std::string, binCount> edgeTexts()
{
    const Axis axis(binCount, minSeconds, maxSeconds);
    std::array<std::string, binCount> texts;
    for (unsigned bin = 0; bin < binCount; ++bin) {
        std::ostringstream out;
        out << axis.bin(static_cast<int>(bin)).upper();
        texts.at(bin) = out.str();
    }
    return texts;
}

template<typename Number>
void appendNumber(std::string &page, Number number)
{
    constexpr std::size_t maxNumberLength = 32;
    std::array<char, maxNumberLength> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), number).ptr;
    page.append(digits.data(), end);
    page += '\n';
}

void appendBucket(std::string &page, const std::string &head, std::string_view edge,
                  std::uint64_t count)
{
    page.append(head).append(edge).append("\"} ");
    appendNumber(page, count);
}

/// Omits the empty buckets below the first sample, except the one next to it.
/// An omitted bucket reads as absent. Below the first sample that equals its 0, also in a sum over
/// routers or workspaces. Above it, the sum would lack this series' count and its buckets would no
/// longer be cumulative, which shows as quantiles that are too high. The one empty bucket that
/// stays gives the lower edge of the first filled one.
void renderSeries(std::string &page, const SeriesKey &key, const Series &series)
{
    static const std::array<std::string, binCount> edges = edgeTexts();
    const std::string name = nameOfSeries(key);
    const std::string labels = labelsOf(key);
    const std::string head = name + "_bucket{" + labels + ",le=\"";
    auto total = static_cast<std::uint64_t>(series.histogram.at(-1));
    for (unsigned bin = 0; bin < binCount; ++bin) {
        const auto next = bin + 1 < binCount ? series.histogram.at(static_cast<int>(bin) + 1) : 1.0;
        total += static_cast<std::uint64_t>(series.histogram.at(static_cast<int>(bin)));
        if (total > 0 || next > 0) {
            appendBucket(page, head, edges.at(bin), total);
        }
    }
    appendBucket(page, head, "+Inf", series.count);
    page.append(name).append("_sum{").append(labels).append("} ");
    appendNumber(page, series.sum);
    page.append(name).append("_count{").append(labels).append("} ");
    appendNumber(page, series.count);
}

using SeriesList = std::vector<const SeriesMap::value_type *>;

/// Series selected for one page.
struct PageSelection
{
    SeriesList series;
    std::size_t idle = 0;
    std::size_t beyondBound = 0;
};

/// Selects the busiest of \a active, which all have the same timing. Counts only grow, so the
/// selection changes seldom from page to page.
void selectBusiest(SeriesList &active, PageSelection &selection)
{
    if (active.size() > maxWorkspacesOnPage) {
        const auto end = active.begin() + static_cast<std::ptrdiff_t>(maxWorkspacesOnPage);
        std::nth_element(active.begin(), end, active.end(), [](const auto *one, const auto *other) {
            return one->second.count > other->second.count;
        });
        selection.beyondBound += active.size() - maxWorkspacesOnPage;
        active.resize(maxWorkspacesOnPage);
        std::sort(active.begin(), active.end(),
                  [](const auto *one, const auto *other) { return one->first < other->first; });
    }
    selection.series.insert(selection.series.end(), active.begin(), active.end());
    active.clear();
}

PageSelection selectSeries(const SeriesMap &all, TimePoint now)
{
    PageSelection selection;
    SeriesList active;
    auto timing = Timing::FirstByte;
    for (const auto &each : all) {
        if (std::get<Timing>(each.first) != timing) {
            selectBusiest(active, selection);
            timing = std::get<Timing>(each.first);
        }
        if (isClassSeries(each.first)) {
            selection.series.push_back(&each);
        } else if (now - each.second.last > idleSeriesAge) {
            ++selection.idle;
        } else {
            active.push_back(&each);
        }
    }
    selectBusiest(active, selection);
    return selection;
}

void appendType(std::string &page, std::string_view name, std::string_view type)
{
    page.append("# TYPE ").append(name).append(" ").append(type).append("\n");
}

void appendSent(std::string &page, std::string_view counter, const SentByKind &sent,
                std::atomic<std::uint64_t> Sent::*field)
{
    const std::string name = std::string(prefix) + std::string(counter);
    appendType(page, name, "counter");
    for (std::size_t kind = 0; kind < sent.size(); ++kind) {
        const std::uint64_t value = sent.at(kind).*field;
        if (value > 0) {
            page.append(name).append("{kind=\"").append(controlNames.at(kind)).append("\"} ");
            appendNumber(page, value);
        }
    }
}

void renderGauge(std::string &page, std::string_view gauge, std::uint64_t value)
{
    const std::string name = std::string(prefix) + std::string(gauge);
    appendType(page, name, "gauge");
    page.append(name).append(" ");
    appendNumber(page, value);
}

} // namespace

struct Metrics::State
{
    std::array<std::atomic<std::uint64_t>, counterNames.size()> counters{};
    std::array<std::atomic<std::uint64_t>, errorKinds> refusals{};
    SentByKind sent{};
    mutable RankedMutex mutex{LockRank::Metrics};
    /// Never erased from: a page being rendered points into it.
    SeriesMap series;
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
                     Duration elapsed, TimePoint now)
{
    const double seconds = std::chrono::duration<double>(elapsed).count();
    const RankedLock lock(this->state->mutex);
    for (const std::string &name : {workspace, std::string()}) {
        Series &series = this->state->series[{timing, name, dataClass}];
        series.histogram(seconds);
        series.sum += seconds;
        ++series.count;
        series.last = now;
    }
}

std::uint64_t Metrics::value(Counter counter) const noexcept
{
    return this->state->counters.at(static_cast<std::size_t>(counter));
}

std::string Metrics::render(TimePoint now) const
{
    std::string page;
    for (std::size_t index = 0; index < counterNames.size(); ++index) {
        const std::string name = std::string(prefix) + std::string(counterNames.at(index));
        appendType(page, name, "counter");
        page.append(name).append(" ");
        appendNumber(page, this->state->counters.at(index).load());
    }
    const std::string refusals = std::string(prefix) + "refusals_total";
    appendType(page, refusals, "counter");
    for (std::size_t index = 0; index < errorKinds; ++index) {
        const std::uint64_t refused = this->state->refusals.at(index);
        if (refused > 0) {
            const std::string_view kind = errorRow(static_cast<ErrorKind>(index)).name;
            page.append(refusals).append("{kind=\"").append(kind).append("\"} ");
            appendNumber(page, refused);
        }
    }
    appendSent(page, "control_sent_kind_messages_total", this->state->sent, &Sent::messages);
    appendSent(page, "control_sent_kind_bytes_total", this->state->sent, &Sent::bytes);
    this->renderTimings(page, now);
    return page;
}

void Metrics::renderTimings(std::string &page, TimePoint now) const
{
    PageSelection selection;
    {
        const RankedLock lock(this->state->mutex);
        selection = selectSeries(this->state->series, now);
    }
    renderGauge(page, "series_idle", selection.idle);
    renderGauge(page, "series_beyond_bound", selection.beyondBound);
    std::string group;
    for (const auto *each : selection.series) {
        if (const std::string name = nameOfSeries(each->first); name != group) {
            group = name;
            appendType(page, name, "histogram");
        }
        // Locked per series: requests that record a sample must not wait for a whole page.
        const RankedLock lock(this->state->mutex);
        renderSeries(page, each->first, each->second);
    }
}

} // namespace plantainswitch
