#include "plantainswitch/observe/logsettings.h"

namespace plantainswitch {

LogSettings readLogSettings(FieldReader &parent, std::vector<Fault> &faults)
{
    FieldReader fields(parent.child("log"), parent.pathOf("log"), faults);
    const LogSettings defaults;
    auto format = static_cast<std::size_t>(defaults.format);
    auto level = static_cast<std::size_t>(defaults.level);
    fields.readName("format", format, {"keyvalue", "json"});
    fields.readName("level", level, {"debug", "info", "warning", "error"});
    fields.finish();
    return {static_cast<LogFormat>(format), static_cast<Severity>(level)};
}

} // namespace plantainswitch
