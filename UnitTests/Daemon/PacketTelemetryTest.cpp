#include "Balsamrack/Daemon/PacketTelemetry.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace balsamrack {
namespace {

/// Keeps the text of all lines.
class LineCollector final : public EventLog {
public:
  void write(const LogLine &line) override { Lines.push_back(line.str()); }
  uint64_t dropped() const override { return 0; }

  std::vector<std::string> Lines;
};

struct HandshakeEvent {
  const char *Name;
  PacketEventKind Kind;
  ServerEvidence Evidence;
  uint32_t Tries;
  uint32_t Copy;
  bool IsAlwaysLogged;
};

class EachHandshakeEvent : public testing::TestWithParam<HandshakeEvent> {
protected:
  /// Number of lines for the event on 64 flows.
  size_t linesOf(PacketEvent event) {
    constexpr uint16_t Flows = 64;
    for (uint16_t port = 1; port <= Flows; ++port) {
      event.Flow = {{1, port}, {2, 443}};
      Telemetry.recordEvent(event);
    }
    return Log.Lines.size();
  }

  SystemClock Time;
  LineCollector Log;
  PacketTelemetry Telemetry{Time, Log};
};

// Guards against open flows that are reset and whose daemons have logged
// nothing of how they found the server.
TEST_P(EachHandshakeEvent, IsLoggedIfTheServerMayBeAnother) {
  PacketEvent event;
  event.Kind = GetParam().Kind;
  event.Evidence = GetParam().Evidence;
  event.Tries = GetParam().Tries;
  event.Copy = GetParam().Copy;
  constexpr size_t All = 64;
  size_t lines = linesOf(event);
  if (GetParam().IsAlwaysLogged)
    EXPECT_EQ(lines, All);
  else
    EXPECT_LT(lines, All / 4) << "ordinary flows are sampled";
}

INSTANTIATE_TEST_SUITE_P(
    Events, EachHandshakeEvent,
    testing::Values(HandshakeEvent{"OrdinaryHandshake",
                                   PacketEventKind::Confirmed,
                                   ServerEvidence::Handshake, 1, 0, false},
                    HandshakeEvent{"ALaterCopy", PacketEventKind::Confirmed,
                                   ServerEvidence::Handshake, 1, 1, true},
                    HandshakeEvent{"SeveralServers", PacketEventKind::Confirmed,
                                   ServerEvidence::Handshake, 2, 0, true},
                    HandshakeEvent{"AdoptedByToken", PacketEventKind::Adopted,
                                   ServerEvidence::Token, 0, 0, false},
                    HandshakeEvent{"ALikelyServer", PacketEventKind::Confirmed,
                                   ServerEvidence::Likely, 1, 0, true},
                    HandshakeEvent{"Relayed", PacketEventKind::Relayed,
                                   ServerEvidence::None, 0, 0, true},
                    HandshakeEvent{"ServerDiffers",
                                   PacketEventKind::ServerDiffers,
                                   ServerEvidence::Token, 0, 0, true}),
    [](const auto &info) { return std::string(info.param.Name); });

} // namespace
} // namespace balsamrack
