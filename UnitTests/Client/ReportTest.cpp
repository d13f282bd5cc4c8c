#include "Balsamrack/Client/Report.h"
#include "Balsamrack/Client/TicketCommands.h"

#include <gtest/gtest.h>

namespace balsamrack {
namespace {

DaemonReply reply(uint16_t port, const std::string &body) {
  return {{"127.0.0.1", port}, absl::OkStatus(), 200, body};
}

DaemonReply unreachable(uint16_t port) {
  return {{"127.0.0.1", port}, absl::UnavailableError("refused"), 0, ""};
}

using Reporter = Report (*)(const std::vector<DaemonReply> &, OutputFormat);

struct ReportCase {
  const char *Name;
  Reporter MakeReport;
  std::vector<DaemonReply> Replies;
  int ExitCode;
  const char *ExpectedText; ///< Substring of the output.
};

class ReportTest : public testing::TestWithParam<ReportCase> {};

// Operators must see the usable replies, and which daemons are unreachable or
// sent an invalid reply.
TEST_P(ReportTest, ShowsExpectedText) {
  const ReportCase &it = GetParam();
  const Report report = it.MakeReport(it.Replies, OutputFormat::Text);
  EXPECT_EQ(report.ExitCode, it.ExitCode);
  EXPECT_NE((report.Text + report.Notes).find(it.ExpectedText),
            std::string::npos)
      << report.Text << report.Notes;
}

const char *const Status =
    R"({"vm":"vm-1","failure_domain":"bern-a","ticket":7,"owned":["a"],)"
    R"("members":[{"vm":"vm-2","state":"dead"}],)"
    R"("domains":[{"id":"bern-a","region":"r","in_service":true,)"
    R"("reachable":true}]})";

INSTANTIATE_TEST_SUITE_P(
    Replies, ReportTest,
    testing::Values(
        ReportCase{"Status", reportStatus, {reply(1, Status)}, 0, "vm-2"},
        ReportCase{"SomeUnreachable",
                   reportStatus,
                   {reply(1, Status), unreachable(2)},
                   ExitCodes::Partial,
                   "127.0.0.1:2 is unreachable"},
        ReportCase{"AllUnreachable",
                   reportServers,
                   {unreachable(1)},
                   ExitCodes::NoneAnswered,
                   "unreachable"},
        ReportCase{"NoJson", reportStatus, {reply(1, "<html>")}, 0, "-"},
        ReportCase{"WrongTypes",
                   reportServers,
                   {reply(1, R"({"servers":[3,{"id":5}]})")},
                   0,
                   "5"},
        ReportCase{"OwnerTakesPrecedence",
                   reportServers,
                   {reply(1, R"({"servers":[{"id":"b","owner":"old"}]})"),
                    reply(2, R"({"servers":[{"id":"b","owned":true,)"
                             R"("owner":"new"}]})")},
                   0,
                   "new"},
        ReportCase{"NoDecision",
                   reportDecisions,
                   {reply(1, "{}")},
                   ExitCodes::No,
                   "no daemon"},
        ReportCase{"Decision",
                   reportDecisions,
                   {reply(1, R"({"vm":"vm-1","decisions":[)"
                             R"({"sentence":"placed: there."}]})")},
                   0,
                   "placed: there."},
        ReportCase{"NotInForce",
                   reportInForce,
                   {reply(1, R"({"vm":"vm-1","in_force":true,"ticket":7})"),
                    reply(2, R"({"vm":"vm-2","in_force":false,"ticket":6})")},
                   ExitCodes::No,
                   "vm-2: not in force"}),
    [](const auto &info) { return info.param.Name; });

TEST(TicketCommandsTest, ReportsChangesOfATicket) {
  const std::string current =
      R"({"objects":[{"kind":"domain","id":"bern-a","ticket":3,)"
      R"("state":{"region":"r","in_service":true}}]})";
  const std::string ticket =
      R"({"ticket":4,"objects":[{"kind":"domain","id":"bern-a",)"
      R"("state":{"region":"r","in_service":false}}]})";
  const Report report =
      checkTicketText(ticket, {reply(1, current)}, OutputFormat::Text);
  EXPECT_EQ(report.ExitCode, ExitCodes::Good);
  EXPECT_NE(report.Text.find("bern-a: changed (held by ticket 3)"),
            std::string::npos)
      << report.Text;
  const Report bad = checkTicketText("{}", {}, OutputFormat::Text);
  EXPECT_EQ(bad.ExitCode, ExitCodes::No);
  EXPECT_NE(bad.Text.find("rejected: "), std::string::npos);
}

} // namespace
} // namespace balsamrack
