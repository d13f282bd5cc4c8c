#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

#include <nlohmann/json.hpp>

#include "Balsamrack/Core/Errors.h"
#include "Balsamrack/Observability/Log.h"
#include "Balsamrack/Observability/SpanSink.h"
#include "Balsamrack/Observability/TraceContext.h"

namespace balsamrack {
namespace {

/// Temporary file that is removed at the end of the test.
class TestFile {
public:
  TestFile()
      : Path(testing::TempDir() + "balsamrack-" +
             testing::UnitTest::GetInstance()->current_test_info()->name() +
             std::to_string(::getpid())) {}
  TestFile(const TestFile &) = delete;
  TestFile &operator=(const TestFile &) = delete;
  ~TestFile() { std::remove(Path.c_str()); }

  std::vector<std::string> lines() const {
    std::ifstream in(Path);
    std::vector<std::string> all;
    for (std::string line; std::getline(in, line);)
      all.push_back(line);
    return all;
  }

  const std::string Path;
};

TEST(LogTest, TextLinesHavePartSeverityStepAndPeer) {
  TestFile file;
  auto log = Log::create({"info", "text", file.Path});
  ASSERT_TRUE(log.ok()) << log.status();
  (*log)->write(Component::Entry, Severity::Debug, "Not shown.");
  (*log)->write(Component::Owner, Severity::Info, "Drain\nbegins.");
  (*log)->error(Component::Peers,
                makeError(absl::StatusCode::kUnavailable, Step::SendToPeer,
                          "vm-2", "connect refused"));
  std::vector<std::string> lines = file.lines();
  ASSERT_EQ(lines.size(), 2U);
  EXPECT_EQ(lines[0].substr(25), "[owner] info: Drain begins.");
  EXPECT_EQ(lines[1].substr(25), "[peers] error: UNAVAILABLE: connect refused "
                                 "step=send-to-peer peer=vm-2");
}

TEST(LogTest, JsonLinesAreValidForAnyText) {
  TestFile file;
  auto log = Log::create({"debug", "json", file.Path});
  ASSERT_TRUE(log.ok());
  (*log)->write(Component::Http, Severity::Debug, "Bad \xff \"bytes\"\n.",
                "listen");
  auto line = nlohmann::json::parse(file.lines().at(0));
  EXPECT_EQ(line["part"], "http");
  EXPECT_EQ(line["severity"], "debug");
  EXPECT_EQ(line["step"], "listen");
  EXPECT_EQ(line.count("peer"), 0U);
}

TEST(LogTest, SeparatesLogsAndKeepsLinesWhole) {
  TestFile file;
  auto log = Log::create({"info", "text", file.Path});
  auto other = Log::create({"info", "text", "/dev/null"});
  ASSERT_TRUE(log.ok() && other.ok());
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int t = 0; t < 4; ++t)
    threads.emplace_back([&] {
      for (int i = 0; i < 50; ++i) {
        (*log)->write(Component::Entry, Severity::Info, "One sentence.");
        (*other)->write(Component::Entry, Severity::Info, "Another.");
      }
    });
  for (std::thread &t : threads)
    t.join();
  std::vector<std::string> lines = file.lines();
  ASSERT_EQ(lines.size(), 200U);
  for (const std::string &line : lines)
    EXPECT_EQ(line.substr(25), "[entry] info: One sentence.");
}

struct InvalidLogSettings {
  LogSettings Settings;
  absl::StatusCode ExpectedCode;
};

class LogSettingsErrorTest : public testing::TestWithParam<InvalidLogSettings> {
};

TEST_P(LogSettingsErrorTest, ReturnsError) {
  auto log = Log::create(GetParam().Settings);
  EXPECT_EQ(log.status().code(), GetParam().ExpectedCode);
  EXPECT_EQ(stepOf(log.status()), "read-settings");
}

INSTANTIATE_TEST_SUITE_P(
    Settings, LogSettingsErrorTest,
    testing::Values(InvalidLogSettings{{"loud", "text", ""},
                                       absl::StatusCode::kInvalidArgument},
                    InvalidLogSettings{{"info", "xml", ""},
                                       absl::StatusCode::kInvalidArgument},
                    InvalidLogSettings{{"info", "text", "/no/such/folder/log"},
                                       absl::StatusCode::kUnavailable}));

HopSpan makeSpan(const std::string &parent, const std::string &traceparent,
                 int start) {
  HopSpan s;
  s.Parent = parent;
  s.Traceparent = traceparent;
  s.Start = TimePoint(Duration(start));
  s.Took = Duration(5);
  s.Service = ServiceId("booking");
  s.Server = ServerId("booking-01");
  s.Request = {0xab};
  s.Result = "answered";
  return s;
}

TEST(SpanSinkTest, StoresTraceAndWritesOtlpLines) {
  TestFile file;
  ManualClock clock;
  auto sink = SpanSink::create({"vm-1", file.Path}, clock);
  ASSERT_TRUE(sink.ok()) << sink.status();
  std::string root = (*sink)->start("");
  std::string child = (*sink)->start(root);
  (*sink)->end(makeSpan(root, child, 20));
  (*sink)->end(makeSpan("", root, 10));
  (*sink)->end(makeSpan("", (*sink)->start("nonsense"), 1));
  std::string trace = TraceContext::parse(root)->traceId();
  nlohmann::json spans = (*sink)->findSpans(trace);
  ASSERT_EQ(spans.size(), 2U);
  EXPECT_EQ(spans[0]["span"], TraceContext::parse(root)->spanId());
  EXPECT_EQ(spans[0]["parent"], "");
  EXPECT_EQ(spans[1]["parent"], spans[0]["span"]);
  EXPECT_EQ(spans[1]["took_us"], 5);
  std::vector<std::string> lines = file.lines();
  ASSERT_EQ(lines.size(), 3U);
  auto line = nlohmann::json::parse(lines[0]);
  auto otlp = line["resourceSpans"][0]["scopeSpans"][0]["spans"][0];
  EXPECT_EQ(otlp["traceId"], trace);
  EXPECT_EQ(otlp["parentSpanId"], spans[0]["span"]);
  EXPECT_EQ(std::stoull(otlp["endTimeUnixNano"].get<std::string>()) -
                std::stoull(otlp["startTimeUnixNano"].get<std::string>()),
            5000U);
}

TEST(SpanSinkTest, RingAndFileAreBounded) {
  TestFile file;
  ManualClock clock;
  SpanSinkSettings settings{"vm-1", file.Path};
  settings.MaxSpans = 64;
  settings.MaxFileBytes = 2000;
  auto sink = SpanSink::create(settings, clock);
  ASSERT_TRUE(sink.ok());
  std::string root = (*sink)->start("");
  for (int i = 0; i < 100; ++i)
    (*sink)->end(makeSpan(root, (*sink)->start(root), i));
  EXPECT_EQ((*sink)->findSpans(TraceContext::parse(root)->traceId()).size(),
            4U);
  size_t bytes = 0;
  for (const std::string &line : file.lines())
    bytes += line.size() + 1;
  EXPECT_LE(bytes, 2000U);
  EXPECT_GT(bytes, 0U);
}

TEST(SpanSinkTest, FindsNoSpansForUnknownTrace) {
  ManualClock clock;
  auto sink = SpanSink::create({"vm-1", ""}, clock);
  ASSERT_TRUE(sink.ok());
  for (const char *id : {"", "xyz", "0af7651916cd43dd8448eb211c80319c"})
    EXPECT_TRUE((*sink)->findSpans(id).empty());
  EXPECT_FALSE(SpanSink::create({"vm-1", "/no/such/folder/x"}, clock).ok());
}

} // namespace
} // namespace balsamrack
