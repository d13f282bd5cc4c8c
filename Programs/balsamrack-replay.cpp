// balsamrack-replay: replays recorded traces through the core and compares the
// actions with the expected ones.

#include <fstream>
#include <iostream>

#include <cxxopts.hpp>

#include "Balsamrack/Core/Errors.h"
#include "Balsamrack/Replay/Replayer.h"

namespace balsamrack {
namespace {

/// Exit codes, documented by --help.
constexpr int Same = 0;
constexpr int Different = 1;
constexpr int BadUsage = 2;

absl::StatusOr<std::vector<std::string>> readLines(const std::string &path) {
  std::ifstream file(path);
  if (!file)
    return makeError(absl::StatusCode::kNotFound, Step::Replay, path,
                     "the file can't be read");
  std::vector<std::string> lines;
  std::string line;
  while (std::getline(file, line))
    lines.push_back(line);
  return lines;
}

/// Actions of one trace; an error contains the line number.
absl::StatusOr<std::vector<std::string>> replay(const std::string &path) {
  const auto lines = readLines(path);
  if (!lines.ok())
    return lines.status();
  Replayer replayer;
  std::vector<std::string> actions;
  for (size_t i = 0; i < lines->size(); ++i) {
    auto result = replayer.processLine((*lines)[i]);
    if (!result.ok())
      return makeError(result.status().code(), Step::Replay,
                       path + ":" + std::to_string(i + 1),
                       std::string(result.status().message()));
    actions.insert(actions.end(), result->begin(), result->end());
  }
  return actions;
}

int fail(const absl::Status &status) {
  std::cerr << "balsamrack-replay: " << describe(status) << "\n";
  return BadUsage;
}

int compare(const std::string &trace, const std::vector<std::string> &actions,
            const std::string &outcomes) {
  const auto expected = readLines(outcomes);
  if (!expected.ok())
    return fail(expected.status());
  const auto difference = compareOutcomes(actions, *expected);
  if (!difference) {
    std::cout << trace << ": " << actions.size() << " actions as stated\n";
    return Same;
  }
  std::cout << trace << ": first difference at " << outcomes << ":"
            << difference->Line << "\n  stated: " << difference->ExpectedLine
            << "\n  found:  " << difference->ActualLine << "\n";
  return Different;
}

int run(int argc, char **argv) {
  cxxopts::Options options(
      "balsamrack-replay",
      "Runs a recorded trace through the core.\n"
      "Exit codes: 0 as stated, 1 different (the first difference is shown), "
      "2 wrong usage or an unreadable trace.\n");
  options.add_options()("expect", "outcomes to compare with",
                        cxxopts::value<std::string>())(
      "trace", "trace to run", cxxopts::value<std::string>())(
      "version", "print the version")("h,help", "print this help");
  options.parse_positional({"trace"});
  options.positional_help("TRACE");
  const auto parsed = options.parse(argc, argv);
  if (parsed.count("help")) {
    std::cout << options.help();
    return Same;
  }
  if (parsed.count("version")) {
    std::cout << "balsamrack-replay " << BALSAMRACK_VERSION << "\n";
    return Same;
  }
  if (!parsed.count("trace")) {
    std::cerr << "balsamrack-replay: TRACE is missing; see --help\n";
    return BadUsage;
  }
  const std::string trace = parsed["trace"].as<std::string>();
  const auto actions = replay(trace);
  if (!actions.ok())
    return fail(actions.status());
  if (parsed.count("expect"))
    return compare(trace, *actions, parsed["expect"].as<std::string>());
  for (const std::string &it : *actions)
    std::cout << it << "\n";
  return Same;
}

} // namespace
} // namespace balsamrack

int main(int argc, char **argv) {
  // cxxopts reports invalid usage by exceptions.
  try {
    return balsamrack::run(argc, argv);
  } catch (const std::exception &error) {
    std::cerr << "balsamrack-replay: " << error.what() << "; see --help\n";
    return balsamrack::BadUsage;
  }
}
