#include "Balsamrack/Peers/LoadReportFields.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace balsamrack {

namespace {

constexpr size_t NumbersPerReport = 7;
constexpr double Thousandths = 1000;
constexpr int64_t MicrosPerMilli = 1000;

uint32_t packNumber(double value) {
  constexpr double Max = std::numeric_limits<uint32_t>::max();
  // Zero for NaN as well.
  return value > 0 ? static_cast<uint32_t>(std::min(value, Max)) : 0;
}

uint32_t packThousandths(double value) {
  return packNumber(std::round(value * Thousandths));
}

double thousandths(uint32_t value) { return value / Thousandths; }

} // namespace

std::vector<uint32_t> packLoadReports(const LoadReports &reports) {
  std::vector<uint32_t> numbers;
  size_t n = std::min(reports.Reports.size(), LoadReports::MaxReports);
  numbers.reserve(n * NumbersPerReport);
  for (size_t i = 0; i < n; ++i) {
    const LoadReport &it = reports.Reports[i];
    double millis = static_cast<double>(it.Age.count()) / MicrosPerMilli;
    for (uint32_t number :
         {it.Service, it.Domain, packThousandths(it.Rate),
          packThousandths(it.Load), packNumber(millis),
          packThousandths(it.EstimatedRate), packThousandths(it.EstimatedLoad)})
      numbers.push_back(number);
  }
  return numbers;
}

std::optional<LoadReports>
unpackLoadReports(const std::vector<uint32_t> &numbers) {
  if (numbers.size() % NumbersPerReport != 0 ||
      numbers.size() > LoadReports::MaxReports * NumbersPerReport)
    return std::nullopt;
  LoadReports all;
  for (size_t i = 0; i < numbers.size(); i += NumbersPerReport) {
    const uint32_t *it = &numbers[i];
    LoadReport report;
    report.Service = it[0];
    report.Domain = it[1];
    report.Rate = thousandths(it[2]);
    report.Load = thousandths(it[3]);
    report.Age = Duration(it[4] * MicrosPerMilli);
    report.EstimatedRate = thousandths(it[5]);
    report.EstimatedLoad = thousandths(it[6]);
    all.Reports.push_back(report);
  }
  return all;
}

} // namespace balsamrack
