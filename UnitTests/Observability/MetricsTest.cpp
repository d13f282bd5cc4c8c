#include "Balsamrack/Observability/Metrics.h"

#include <gtest/gtest.h>

#include <thread>

#include <nlohmann/json.hpp>

#include "Balsamrack/Core/Random.h"
#include "Balsamrack/Observability/QuantileWindow.h"

namespace balsamrack {
namespace {

constexpr MetricFamily Packets{"packets_total", "Packets.",
                               MetricKind::Counter};
constexpr MetricFamily Members{"members", "Members.", MetricKind::Gauge};
constexpr MetricFamily AnswerTimes{"answer_seconds", "Answer times.",
                                   MetricKind::Summary};

bool containsLine(const std::string &text, const std::string &line) {
  return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
}

TEST(MetricsTest, PrometheusTextHasHelpTypeAndSeries) {
  ManualClock clock;
  auto metrics = Metrics::create(clock);
  metrics->count(Packets, {{"service", "a\"b\\c\nd"}}, 12'345'678'901);
  metrics->count(Packets, {{"service", "x"}});
  metrics->set(Members, {}, 2.5);
  metrics->observe(AnswerTimes, {{"service", "x"}}, Duration(250'000));
  std::string text = metrics->toPrometheusText();
  for (const char *line :
       {"# HELP packets_total Packets.", "# TYPE packets_total counter",
        "packets_total{service=\"a\\\"b\\\\c\\nd\"} 12345678901",
        "packets_total{service=\"x\"} 1", "# TYPE members gauge", "members 2.5",
        "# TYPE answer_seconds summary",
        "answer_seconds{service=\"x\",quantile=\"0.99\"} 0.25",
        "answer_seconds_sum{service=\"x\"} 0.25",
        "answer_seconds_count{service=\"x\"} 1"})
    EXPECT_TRUE(containsLine(text, line)) << line << "\n" << text;
  EXPECT_EQ(text.find("# TYPE packets_total"),
            text.rfind("# TYPE packets_total"));
  nlohmann::json json = metrics->toJson();
  ASSERT_EQ(json.size(), 3U);
  EXPECT_EQ(json[0]["series"][0]["p50_s"], 0.25);
}

// A caller sends each request to a different invented name. The daemon's memory
// must stay bounded, and no count may be lost.
TEST(MetricsTest, CardinalityIsBounded) {
  constexpr uint64_t Names = 20'000;
  ManualClock clock;
  auto metrics = Metrics::create(clock);
  for (uint64_t i = 0; i < Names; ++i)
    metrics->count(Packets, {{"service", std::to_string(i)}});
  uint64_t sum = 0;
  nlohmann::json json = metrics->toJson();
  for (const nlohmann::json &one : json[0]["series"])
    sum += one["value"].get<uint64_t>();
  EXPECT_EQ(sum, Names);
  EXPECT_LE(json[0]["series"].size(), 16 * Metrics::MaxSeriesPerShard + 1);
}

TEST(MetricsTest, CountsAllUpdatesOfConcurrentThreads) {
  ManualClock clock;
  auto metrics = Metrics::create(clock);
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int t = 0; t < 4; ++t)
    threads.emplace_back([&] {
      for (int i = 0; i < 1000; ++i) {
        metrics->count(Packets, {{"service", std::to_string(i % 8)}});
        metrics->observe(AnswerTimes, {{"service", "x"}}, Duration(i));
      }
      metrics->toPrometheusText();
    });
  for (std::thread &t : threads)
    t.join();
  EXPECT_TRUE(containsLine(metrics->toPrometheusText(),
                           "packets_total{service=\"3\"} 500"));
  EXPECT_TRUE(containsLine(metrics->toPrometheusText(),
                           "answer_seconds_count{service=\"x\"} 4000"));
}

constexpr Duration Minute{60'000'000};

TEST(QuantileWindowTest, FewValuesAreExact) {
  ManualClock clock;
  QuantileWindow window(Minute);
  EXPECT_EQ(window.quantilesAt(clock.now())[0], 0);
  for (double v : {5, 1, 4, 2, 3})
    window.add(clock.now(), v);
  EXPECT_EQ(window.quantilesAt(clock.now())[0], 3);
  EXPECT_EQ(window.quantilesAt(clock.now())[1], 5);
}

TEST(QuantileWindowTest, ManyValuesAreEstimatedAccurately) {
  ManualClock clock;
  QuantileWindow window(Minute);
  SeededRandom random(1);
  for (int i = 0; i < 100'000; ++i)
    window.add(clock.now(), random.nextDouble());
  EXPECT_NEAR(window.quantilesAt(clock.now())[0], 0.5, 0.01);
  EXPECT_NEAR(window.quantilesAt(clock.now())[1], 0.99, 0.01);
}

// Guards against quantiles that never age: a server that was slow earlier must
// not keep a high p99 after it has recovered.
TEST(QuantileWindowTest, OldValuesExpire) {
  ManualClock clock;
  QuantileWindow window(Minute);
  window.add(clock.now(), 9);
  clock.advance(Minute);
  window.add(clock.now(), 1);
  EXPECT_EQ(window.quantilesAt(clock.now())[1], 9);
  clock.advance(Minute);
  EXPECT_EQ(window.quantilesAt(clock.now())[1], 1);
  clock.advance(2 * Minute);
  EXPECT_EQ(window.quantilesAt(clock.now())[1], 0);
  window.add(clock.now(), 2);
  EXPECT_EQ(window.quantilesAt(clock.now())[1], 2);
}

} // namespace
} // namespace balsamrack
