#include "Balsamrack/Observability/Log.h"

#include <atomic>
#include <fstream>
#include <iostream>
#include <utility>

#include <boost/log/attributes/constant.hpp>
#include <boost/log/attributes/value_extraction.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/smart_ptr/make_shared_object.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>
#include <nlohmann/json.hpp>

#include "Balsamrack/Core/Errors.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"

namespace balsamrack {

namespace {

namespace logging = boost::log;
using Backend = logging::sinks::text_ostream_backend;
using Sink = logging::sinks::synchronous_sink<Backend>;

constexpr const char *LogIdAttribute = "LogId";

/// Boost.Log has one core per process; the sink of each Log selects its own
/// records by this id.
std::atomic<uint64_t> NextLogId{1};

void keepStream(std::ostream * /*stream*/) {}

/// Replaces control characters by spaces: a line break in a field would look
/// like a separate log line.
std::string replaceControlCharacters(std::string text) {
  for (char &c : text)
    if (static_cast<unsigned char>(c) < ' ')
      c = ' ';
  return text;
}

class BoostLog final : public Log {
public:
  BoostLog(Severity minSeverity, bool json)
      : MinSeverity(minSeverity), Json(json) {}
  BoostLog(const BoostLog &) = delete;
  BoostLog &operator=(const BoostLog &) = delete;
  ~BoostLog() override {
    if (Output)
      logging::core::get()->remove_sink(Output);
  }

  absl::Status open(const std::string &file);
  void write(Component component, Severity severity, const std::string &message,
             const std::string &step, const std::string &peer) override;

private:
  std::string formatLine(Component component, Severity severity,
                         const std::string &message, const std::string &step,
                         const std::string &peer) const;

  const Severity MinSeverity;
  const bool Json;
  const uint64_t Id = NextLogId++;
  boost::shared_ptr<Sink> Output;
};

absl::Status BoostLog::open(const std::string &file) {
  boost::shared_ptr<std::ostream> stream(&std::cerr, &keepStream);
  if (!file.empty()) {
    auto opened = boost::make_shared<std::ofstream>(file, std::ios::app);
    if (!*opened)
      return makeError(absl::StatusCode::kUnavailable, Step::ReadSettings, "",
                       "cannot open the log file " + file);
    stream = opened;
  }
  auto backend = boost::make_shared<Backend>();
  backend->add_stream(stream);
  backend->auto_flush(true);
  Output = boost::make_shared<Sink>(backend);
  Output->set_filter([id = Id](const logging::attribute_value_set &values) {
    auto value = logging::extract<uint64_t>(LogIdAttribute, values);
    return value && *value == id;
  });
  Output->set_formatter(logging::expressions::stream
                        << logging::expressions::smessage);
  logging::core::get()->add_sink(Output);
  return absl::OkStatus();
}

std::string BoostLog::formatLine(Component component, Severity severity,
                                 const std::string &message,
                                 const std::string &step,
                                 const std::string &peer) const {
  std::string time = absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", absl::Now(),
                                      absl::UTCTimeZone());
  if (Json) {
    nlohmann::json line = {{"time", time},
                           {"part", componentName(component)},
                           {"severity", severityName(severity)},
                           {"message", message}};
    if (!step.empty())
      line["step"] = step;
    if (!peer.empty())
      line["peer"] = peer;
    using ErrorHandler = nlohmann::json::error_handler_t;
    return line.dump(-1, ' ', false, ErrorHandler::replace);
  }
  std::string line = absl::StrCat(time, " [", componentName(component), "] ",
                                  severityName(severity), ": ", message);
  if (!step.empty())
    absl::StrAppend(&line, " step=", step);
  if (!peer.empty())
    absl::StrAppend(&line, " peer=", peer);
  return replaceControlCharacters(std::move(line));
}

void BoostLog::write(Component component, Severity severity,
                     const std::string &message, const std::string &step,
                     const std::string &peer) {
  if (severity < MinSeverity)
    return;
  // Each record uses a separate source, since sources are not thread-safe.
  logging::sources::logger source;
  source.add_attribute(LogIdAttribute,
                       logging::attributes::constant<uint64_t>(Id));
  BOOST_LOG(source) << formatLine(component, severity, message, step, peer);
}

absl::Status unknownSettingError(const char *setting,
                                 const std::string &value) {
  return makeError(absl::StatusCode::kInvalidArgument, Step::ReadSettings, "",
                   absl::StrCat("unknown ", setting, ": ", value));
}

} // namespace

void Log::error(Component component, const absl::Status &status) {
  write(component, Severity::Error,
        absl::StrCat(absl::StatusCodeToString(status.code()), ": ",
                     status.message()),
        stepOf(status), peerOf(status));
}

absl::StatusOr<std::unique_ptr<Log>> Log::create(const LogSettings &settings) {
  if (settings.Format != "text" && settings.Format != "json")
    return unknownSettingError("log format", settings.Format);
  for (Severity s :
       {Severity::Debug, Severity::Info, Severity::Warning, Severity::Error}) {
    if (settings.Level != severityName(s))
      continue;
    auto log = std::make_unique<BoostLog>(s, settings.Format == "json");
    absl::Status status = log->open(settings.File);
    if (!status.ok())
      return status;
    return log;
  }
  return unknownSettingError("log level", settings.Level);
}

} // namespace balsamrack
