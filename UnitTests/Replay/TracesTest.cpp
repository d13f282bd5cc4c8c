#include <algorithm>
#include <filesystem>
#include <fstream>

#include <gtest/gtest.h>

#include "Balsamrack/Core/Errors.h"
#include "Balsamrack/Replay/Replayer.h"

namespace balsamrack {
namespace {

std::vector<std::string> readLines(const std::filesystem::path &path) {
  std::ifstream file(path);
  std::vector<std::string> lines;
  for (std::string line; std::getline(file, line);)
    lines.push_back(line);
  return lines;
}

std::vector<std::string> listTraceNames() {
  std::vector<std::string> names;
  const std::filesystem::path folder =
      std::filesystem::path(BALSAMRACK_SOURCE_DIR) / "Traces";
  for (const auto &it : std::filesystem::directory_iterator(folder))
    if (it.path().extension() == ".trace")
      names.push_back(it.path().stem().string());
  std::sort(names.begin(), names.end());
  return names;
}

class TracesTest : public testing::TestWithParam<std::string> {
protected:
  void SetUp() override {
    const std::filesystem::path base =
        std::filesystem::path(BALSAMRACK_SOURCE_DIR) / "Traces" / GetParam();
    Expected = readLines(base.string() + ".outcomes");
    Replayer replayer;
    for (const std::string &line : readLines(base.string() + ".trace")) {
      const auto lineActions = replayer.processLine(line);
      ASSERT_TRUE(lineActions.ok()) << describe(lineActions.status());
      Actions.insert(Actions.end(), lineActions->begin(), lineActions->end());
    }
  }
  std::vector<std::string> Expected;
  std::vector<std::string> Actions;
};

// The first lines of each trace describe its scenario. The expected decisions
// are in the outcomes file next to it and change only intentionally.
TEST_P(TracesTest, ProducesExpectedOutcomes) {
  EXPECT_FALSE(Actions.empty());
  const auto difference = compareOutcomes(Actions, Expected);
  EXPECT_FALSE(difference) << "line " << difference->Line << "\nexpected "
                           << difference->ExpectedLine << "\nactual   "
                           << difference->ActualLine;
}

// Guards against a comparison that misses a changed outcome.
TEST_P(TracesTest, DetectsAnyChangedOutcome) {
  for (size_t i = 0; i < Expected.size(); ++i) {
    std::vector<std::string> changed = Expected;
    changed[i].back() = ' ';
    EXPECT_TRUE(compareOutcomes(Actions, changed)) << "line " << i + 1;
    changed.erase(changed.begin() + static_cast<int64_t>(i));
    EXPECT_TRUE(compareOutcomes(Actions, changed)) << "line " << i + 1;
  }
}

INSTANTIATE_TEST_SUITE_P(All, TracesTest, testing::ValuesIn(listTraceNames()),
                         [](const auto &info) {
                           std::string name = info.param;
                           std::replace(name.begin(), name.end(), '-', '_');
                           return name;
                         });

} // namespace
} // namespace balsamrack
