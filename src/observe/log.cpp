#include <atomic>
#include <chrono>

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/make_shared.hpp>
#include <boost/shared_ptr.hpp>
#include <iostream>

#include "plantainswitch/observe/event.h"

namespace plantainswitch {

namespace {

struct LogState
{
    std::atomic<bool> started = false;
    LogFormat format = LogFormat::KeyValue;
    Severity minSeverity = Severity::Info;
    std::string node;
    LineWriter writer;
};

LogState &state()
{
    static LogState instance;
    return instance;
}

} // namespace

void startLogging(const LogSettings &settings, std::string node)
{
    namespace sinks = boost::log::sinks;
    namespace expressions = boost::log::expressions;
    LogState &log = state();
    log.format = settings.format;
    log.minSeverity = settings.level;
    log.node = std::move(node);
    auto backend = boost::make_shared<sinks::text_ostream_backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::clog, [](std::ostream *) {}));
    backend->auto_flush(true);
    using Sink = sinks::synchronous_sink<sinks::text_ostream_backend>;
    auto sink = boost::make_shared<Sink>(backend);
    if (settings.format == LogFormat::Json) {
        sink->set_formatter(expressions::stream << expressions::smessage);
    } else {
        sink->set_formatter(expressions::stream
                            << "time="
                            << expressions::format_date_time<boost::posix_time::ptime>(
                                   "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                            << " " << expressions::smessage);
    }
    boost::log::core::get()->add_sink(sink);
    boost::log::add_common_attributes();
    log.started = true;
}

void startLogging(const LogSettings &settings, std::string node, LineWriter writer)
{
    LogState &log = state();
    log.format = settings.format;
    log.minSeverity = settings.level;
    log.node = std::move(node);
    log.writer = std::move(writer);
    log.started = true;
}

void stopLogging()
{
    LogState &log = state();
    log.started = false;
    log.writer = nullptr;
}

void logEvent(Event event, std::initializer_list<LogField> fields)
{
    const LogState &log = state();
    const EventRow &row = eventRow(event);
    if (!log.started || row.severity < log.minSeverity) {
        return;
    }
    if (log.writer) {
        const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
        const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch);
        std::string line = "time=" + std::to_string(micros.count()) + " ";
        line += formatEvent(log.format, log.node, row, {fields.begin(), fields.size()});
        line += '\n';
        log.writer(row.severity, std::move(line));
        return;
    }
    static boost::log::sources::logger_mt logger;
    BOOST_LOG(logger) << formatEvent(log.format, log.node, row, {fields.begin(), fields.size()});
}

} // namespace plantainswitch
