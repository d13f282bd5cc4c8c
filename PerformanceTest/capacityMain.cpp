#include <cstdio>
#include <fstream>
#include <iostream>
#include <string>

#include "PerformanceTest/ControlMeasure.h"
#include "cxxopts.hpp"
#include "nlohmann/json.hpp"

namespace balsamrack {
namespace {

int measure(const cxxopts::ParseResult &options) {
  std::vector<Figure> figures =
      measureControlPlane(options["largest"].as<size_t>(), [](const Figure &f) {
        std::printf("%s %g %s\n", f.Name.c_str(), f.Value, f.Unit.c_str());
        std::fflush(stdout);
      });
  nlohmann::json all = nlohmann::json::array();
  for (const Figure &f : figures) {
    all.push_back({{"name", f.Name}, {"value", f.Value}, {"unit", f.Unit}});
  }
  if (options.count("json") == 0)
    return 0;
  std::ofstream out(options["json"].as<std::string>());
  out << all.dump(2) << "\n";
  if (out.good())
    return 0;
  std::cerr << "capacity: cannot write the results\n";
  return 1;
}

} // namespace
} // namespace balsamrack

int main(int argc, char **argv) {
  cxxopts::Options options(
      "capacity",
      "Measures the control plane's cost per daemon for CAPACITY.md");
  auto add = options.add_options();
  add("largest", "Daemons in the largest fleet",
      cxxopts::value<size_t>()->default_value("610"));
  add("json", "Also write the figures as JSON", cxxopts::value<std::string>());
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
    std::cerr << "capacity: " << e.what() << "\n";
    return 2;
  }
}
