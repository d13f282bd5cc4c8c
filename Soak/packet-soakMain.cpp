// packet-soak: runs real daemons of the packet carrier under overlapping
// external faults drawn from a seed, while callers and servers check the
// guarantees. Ends by itself, and ends only processes that it started.

#include <filesystem>
#include <iostream>

#include <cxxopts.hpp>

#include "Soak/RecoveryChecks.h"
#include "Soak/SoakCallers.h"
#include "Soak/SoakFaults.h"
#include "absl/strings/str_cat.h"

namespace balsamrack::soak {
namespace {

constexpr int SuccessExitCode = 0;
constexpr int ViolationExitCode = 1;
constexpr int UsageExitCode = 2;
constexpr Duration StartTimeout{15'000'000};
constexpr Duration StepPeriod{10'000};

void append(std::vector<std::string> &to,
            const std::vector<std::string> &from) {
  to.insert(to.end(), from.begin(), from.end());
}

std::vector<std::string> runSeed(uint64_t seed, Duration length,
                                 const std::string &folder) {
  auto fleet = SoakFleet::start(folder, seed);
  if (!fleet.ok())
    return {absl::StrCat("the soak itself: ",
                         std::string(fleet.status().message()))};
  if (!(*fleet)->awaitAllReady(StartTimeout))
    return {"the daemons don't get ready"};
  SystemClock clock;
  SoakCallers callers(**fleet, seed * 1000);
  SoakFaults faults(**fleet, seed, clock.now(), length);
  while (faults.step(clock.now()))
    std::this_thread::sleep_for(StepPeriod);
  std::vector<std::string> violations = checkRecovery(**fleet);
  callers.stop();
  append(violations, faults.violations());
  append(violations, callers.violations());
  if (uint64_t n = (*fleet)->misroutedPackets())
    violations.push_back(absl::StrCat(n, " packets reached the wrong service"));
  append(violations, checkLogs(**fleet));
  CallCounts calls = callers.counts();
  std::cout << "seed " << seed << ": calls " << calls.Calls << ", answered "
            << calls.Answered << ", reset " << calls.Reset << ", timed out "
            << calls.TimedOut << "; faults";
  for (const auto &[kind, n] : faults.counts())
    std::cout << " " << kind << " " << n;
  std::cout << "; broken promises " << violations.size() << "\n";
  return violations;
}

int run(int argc, char **argv) {
  cxxopts::Options options("packet-soak",
                           "Exit codes: 0 all promises kept, 1 one is broken "
                           "(seed and logs are kept), 2 wrong usage.");
  options.add_options()("seed", "first seed",
                        cxxopts::value<uint64_t>()->default_value("1"))(
      "seeds", "how many, one after the other",
      cxxopts::value<uint64_t>()->default_value("1"))(
      "seconds", "of faults, a seed",
      cxxopts::value<uint64_t>()->default_value("20"))(
      "folder", "for logs",
      cxxopts::value<std::string>()->default_value("soak-logs"))(
      "keep", "keep the logs of good seeds too")("h,help", "print this help");
  const cxxopts::ParseResult parsed = options.parse(argc, argv);
  if (parsed.count("help")) {
    std::cout << options.help();
    return SuccessExitCode;
  }
  Duration length = std::chrono::seconds(parsed["seconds"].as<uint64_t>());
  auto first = parsed["seed"].as<uint64_t>();
  auto seeds = parsed["seeds"].as<uint64_t>();
  uint64_t failed = 0;
  for (uint64_t seed = first; seed < first + seeds; ++seed) {
    std::string folder =
        absl::StrCat(parsed["folder"].as<std::string>(), "/seed-", seed);
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    std::vector<std::string> violations = runSeed(seed, length, folder);
    for (const std::string &violation : violations)
      std::cout << "seed " << seed << ": BROKEN: " << violation << "\n";
    if (violations.empty() && parsed.count("keep") == 0)
      std::filesystem::remove_all(folder);
    else
      std::cout << "seed " << seed << ": logs are kept in " << folder << "\n";
    failed += violations.empty() ? 0 : 1;
  }
  std::cout << "soak: " << seeds - failed << " of " << seeds
            << " seeds kept all promises\n";
  return failed == 0 ? SuccessExitCode : ViolationExitCode;
}

} // namespace
} // namespace balsamrack::soak

int main(int argc, char **argv) {
  // cxxopts reports an invalid command line by exceptions.
  try {
    return balsamrack::soak::run(argc, argv);
  } catch (const std::exception &error) {
    std::cerr << "packet-soak: " << error.what() << "; see --help\n";
    return balsamrack::soak::UsageExitCode;
  }
}
