#include <cstdio>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "PerformanceTest/DecisionsMeasure.h"
#include "PerformanceTest/FlowsMeasure.h"
#include "PerformanceTest/PathMeasure.h"
#include "cxxopts.hpp"
#include "nlohmann/json.hpp"

namespace balsamrack {
namespace {

void print(const std::vector<Figure> &figures) {
  for (const Figure &f : figures)
    std::printf("%s %g %s %g %s\n", f.Name.c_str(), f.Value, f.Unit.c_str(),
                f.Baseline, f.BaselineName.c_str());
}

bool writeJson(const std::vector<Figure> &figures, const std::string &path) {
  nlohmann::json all = nlohmann::json::array();
  for (const Figure &f : figures)
    all.push_back({{"name", f.Name},
                   {"value", f.Value},
                   {"unit", f.Unit},
                   {"baseline_value", f.Baseline},
                   {"baseline_name", f.BaselineName}});
  std::ofstream out(path);
  out << all.dump(2) << "\n";
  return out.good();
}

/// Writes rows for gnuplot: name, value, baseline.
bool writeRows(const std::vector<Figure> &figures, const std::string &path) {
  std::ofstream out(path);
  for (const Figure &f : figures)
    out << f.Name << " " << f.Value << " " << f.Baseline << "\n";
  return out.good();
}

int measure(const cxxopts::ParseResult &options) {
  bool quick = options.count("quick") > 0;
  std::vector<Figure> figures = measureDecisions(quick);
  std::vector<Figure> flows = measureFlows(quick);
  figures.insert(figures.end(), flows.begin(), flows.end());
  const std::vector<Figure> path = measurePath(quick);
  figures.insert(figures.end(), path.begin(), path.end());
  print(figures);
  bool good = true;
  if (options.count("json") > 0)
    good = writeJson(figures, options["json"].as<std::string>());
  if (options.count("rows") > 0) {
    std::string folder = options["rows"].as<std::string>();
    good = good && writeRows(figures, folder + "/figures.dat") &&
           writeRows(goodputCurve(quick), folder + "/goodput.dat");
  }
  if (!good)
    std::cerr << "measure: cannot write the results\n";
  return good ? 0 : 1;
}

} // namespace
} // namespace balsamrack

int main(int argc, char **argv) {
  cxxopts::Options options("measure", "Measures balsamrack against baselines");
  auto add = options.add_options();
  add("quick", "Shorter loads, under a minute");
  add("json", "Also write the figures as JSON", cxxopts::value<std::string>());
  add("rows", "Also write rows for gnuplot to this folder",
      cxxopts::value<std::string>());
  add("help", "Show this");
  try {
    // cxxopts reports invalid options by exceptions.
    auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    return balsamrack::measure(parsed);
  } catch (const std::exception &e) {
    std::cerr << "measure: " << e.what() << "\n";
    return 2;
  }
}
