#include "Balsamrack/Observability/Metrics.h"

#include <array>
#include <map>
#include <mutex>
#include <optional>

#include <nlohmann/json.hpp>

#include "Balsamrack/Core/Ids.h"
#include "Balsamrack/Observability/QuantileWindow.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace balsamrack {

namespace {

constexpr size_t ShardCount = 16;
constexpr const char *OverflowLabelValue = "other";

/// Name and labels; sorts the series of a family next to each other.
using SeriesKey = std::pair<std::string, MetricLabels>;

struct Series {
  const MetricFamily *Family = nullptr;
  double Value =
      0; ///< Value of a counter or gauge; sum of a summary in seconds.
  uint64_t Count = 0; ///< Number of observations of a summary.
  std::optional<QuantileWindow> Quantiles;
};

struct Shard {
  mutable std::mutex Lock; ///< Guards SeriesByKey.
  std::map<SeriesKey, Series> SeriesByKey;
};

/// Values of a series for output.
struct Sample {
  const MetricFamily *Family;
  MetricLabels Labels;
  double Value;
  uint64_t Count;
  QuantileWindow::Quantiles Quantiles;
};

std::string escapeLabelValue(const std::string &text) {
  std::string out;
  for (char c : text) {
    if (c == '\n') {
      out += "\\n";
      continue;
    }
    if (c == '\\' || c == '"')
      out += '\\';
    out += c;
  }
  return out;
}

/// 15 digits, so that a counter of many millions still shows every increment.
std::string formatNumber(double value) {
  return absl::StrFormat("%.15g", value);
}

std::string formatLabels(const MetricLabels &labels) {
  std::string text;
  for (const auto &[name, value] : labels)
    absl::StrAppend(&text, text.empty() ? "{" : ",", name, "=\"",
                    escapeLabelValue(value), "\"");
  return text.empty() ? text : text + "}";
}

MetricLabels withLabel(MetricLabels labels, const char *name, double value) {
  labels.emplace_back(name, formatNumber(value));
  return labels;
}

const char *kindName(MetricKind kind) {
  switch (kind) {
  case MetricKind::Counter:
    return "counter";
  case MetricKind::Gauge:
    return "gauge";
  case MetricKind::Summary:
    return "summary";
  }
  return "untyped";
}

void appendSample(std::string &text, const Sample &s) {
  const char *name = s.Family->Name;
  if (s.Family->Kind != MetricKind::Summary) {
    absl::StrAppend(&text, name, formatLabels(s.Labels), " ",
                    formatNumber(s.Value), "\n");
    return;
  }
  for (size_t i = 0; i < s.Quantiles.size(); ++i)
    absl::StrAppend(&text, name,
                    formatLabels(withLabel(s.Labels, "quantile",
                                           QuantileWindow::Probabilities[i])),
                    " ", formatNumber(s.Quantiles[i]), "\n");
  absl::StrAppend(&text, name, "_sum", formatLabels(s.Labels), " ",
                  formatNumber(s.Value), "\n");
  absl::StrAppend(&text, name, "_count", formatLabels(s.Labels), " ", s.Count,
                  "\n");
}

class ShardedMetrics final : public Metrics {
public:
  ShardedMetrics(const Clock &clock, Duration window)
      : Time(clock), Window(window) {}

  void count(const MetricFamily &family, const MetricLabels &labels,
             uint64_t n) override {
    updateSeries(family, labels,
                 [n](Series &s) { s.Value += static_cast<double>(n); });
  }
  void set(const MetricFamily &family, const MetricLabels &labels,
           double value) override {
    updateSeries(family, labels, [value](Series &s) { s.Value = value; });
  }
  void observe(const MetricFamily &family, const MetricLabels &labels,
               Duration value) override {
    const double seconds = std::chrono::duration<double>(value).count();
    const TimePoint now = Time.now();
    updateSeries(family, labels, [&](Series &s) {
      if (!s.Quantiles)
        s.Quantiles.emplace(Window);
      s.Quantiles->add(now, seconds);
      s.Value += seconds;
      ++s.Count;
    });
  }
  std::string toPrometheusText() const override;
  nlohmann::json toJson() const override;

private:
  template <class Change>
  void updateSeries(const MetricFamily &family, const MetricLabels &labels,
                    Change update);
  template <class Change>
  bool updateSeriesInShard(Shard &shard, const MetricFamily &family,
                           const SeriesKey &key, bool ignoreLimit,
                           Change update);
  std::map<SeriesKey, Sample> collectSamples() const;

  const Clock &Time;
  const Duration Window;
  std::array<Shard, ShardCount> AllShards;
};

template <class Change>
bool ShardedMetrics::updateSeriesInShard(Shard &shard,
                                         const MetricFamily &family,
                                         const SeriesKey &key, bool ignoreLimit,
                                         Change update) {
  std::lock_guard<std::mutex> guard(shard.Lock);
  auto it = shard.SeriesByKey.find(key);
  if (it == shard.SeriesByKey.end()) {
    if (shard.SeriesByKey.size() >= MaxSeriesPerShard && !ignoreLimit)
      return false;
    it = shard.SeriesByKey.emplace(key, Series()).first;
    it->second.Family = &family;
  }
  update(it->second);
  return true;
}

template <class Change>
void ShardedMetrics::updateSeries(const MetricFamily &family,
                                  const MetricLabels &labels, Change update) {
  SeriesKey key(family.Name, labels);
  uint64_t hash = stableHash(key.first);
  for (const auto &[name, value] : labels)
    hash = combineHash(hash, stableHash(value));
  Shard &shard = AllShards[hash % ShardCount];
  if (updateSeriesInShard(shard, family, key, false, update))
    return;
  for (auto &[name, value] : key.second)
    value = OverflowLabelValue;
  updateSeriesInShard(shard, family, key, true, update);
}

std::map<SeriesKey, Sample> ShardedMetrics::collectSamples() const {
  const TimePoint now = Time.now();
  std::map<SeriesKey, Sample> all;
  for (const Shard &shard : AllShards) {
    std::lock_guard<std::mutex> guard(shard.Lock);
    for (const auto &[key, s] : shard.SeriesByKey) {
      Sample sample{s.Family, key.second, s.Value, s.Count, {}};
      if (s.Quantiles)
        sample.Quantiles = s.Quantiles->quantilesAt(now);
      auto [it, isNew] = all.emplace(key, sample);
      if (!isNew) { // Overflow series of several shards are merged.
        it->second.Value += s.Value;
        it->second.Count += s.Count;
      }
    }
  }
  return all;
}

std::string ShardedMetrics::toPrometheusText() const {
  std::string text;
  std::string previousName;
  for (const auto &[key, sample] : collectSamples()) {
    const MetricFamily &family = *sample.Family;
    if (key.first != previousName)
      absl::StrAppend(&text, "# HELP ", family.Name, " ", family.Help,
                      "\n# TYPE ", family.Name, " ", kindName(family.Kind),
                      "\n");
    previousName = key.first;
    appendSample(text, sample);
  }
  return text;
}

nlohmann::json ShardedMetrics::toJson() const {
  nlohmann::json families = nlohmann::json::array();
  for (const auto &[key, sample] : collectSamples()) {
    const MetricFamily &family = *sample.Family;
    if (families.empty() || families.back()["name"] != family.Name)
      families.push_back({{"name", family.Name},
                          {"help", family.Help},
                          {"type", kindName(family.Kind)},
                          {"series", nlohmann::json::array()}});
    nlohmann::json labels = nlohmann::json::object();
    for (const auto &[name, value] : sample.Labels)
      labels[name] = value;
    nlohmann::json sampleJson = {{"labels", std::move(labels)}};
    if (family.Kind == MetricKind::Summary) {
      sampleJson["count"] = sample.Count;
      sampleJson["sum_s"] = sample.Value;
      sampleJson["p50_s"] = sample.Quantiles[0];
      sampleJson["p99_s"] = sample.Quantiles[1];
    } else {
      sampleJson["value"] = sample.Value;
    }
    families.back()["series"].push_back(std::move(sampleJson));
  }
  return families;
}

} // namespace

std::unique_ptr<Metrics> Metrics::create(const Clock &clock, Duration window) {
  return std::make_unique<ShardedMetrics>(clock, window);
}

} // namespace balsamrack
