#include "Balsamrack/Configuration/TicketCodec.h"

#include <string>

#include "Balsamrack/Core/Errors.h"
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace balsamrack {
namespace {

using testing::HasSubstr;

std::string ticketWith(const std::string &object) {
  return R"({"ticket": 7, "objects": [)" + object + "]}";
}

std::string serverWith(const std::string &more) {
  return ticketWith(
      R"({"kind": "server", "id": "s", "state": {"service": "booking",
          "domain": "bern-a", "address": "127.0.0.1:9001")" +
      more + "}}");
}

std::string serviceWith(const std::string &ports) {
  return ticketWith(R"({"kind": "service", "id": "s", "state": {"ports": )" +
                    ports + "}}");
}

TEST(TicketCodecTest, ReadsTheTicketOfTheProtocolPage) {
  absl::StatusOr<Ticket> ticket = parseTicket(R"({"ticket": 7, "objects": [
    {"kind": "domain", "id": "bern-a",
     "state": {"region": "ch-mittelland", "in_service": true}},
    {"kind": "service", "id": "booking", "state": {"ports": [7001],
     "queue_per_server": 32, "default_timeout_ms": 10000,
     "expected_service_time_ms": 50, "flow_idle_timeout_s": 900}},
    {"kind": "server", "id": "booking-01", "state": {"service": "booking",
     "domain": "bern-a", "address": "127.0.0.1:9001", "slots": 2,
     "connections": 2000, "weight": 100, "mode": "draining",
     "drain_limit_s": 600}},
    {"kind": "server", "id": "booking-99", "deleted": true}]})");
  ASSERT_TRUE(ticket.ok()) << describe(ticket.status());
  ASSERT_EQ(ticket->Objects.size(), 4U);
  const auto &server = std::get<BackendServer>(ticket->Objects[2].State);
  EXPECT_EQ(server.At.str(), "127.0.0.1:9001");
  EXPECT_EQ(server.Mode, ServerMode::Draining);
  EXPECT_TRUE(ticket->Objects[3].deleted());
  for (const ObjectState &object : ticket->Objects) {
    EXPECT_EQ(object.Ticket, TicketNumber{7});
    absl::StatusOr<ObjectState> again = objectFromJson(objectToJson(object));
    ASSERT_TRUE(again.ok()) << describe(again.status());
    EXPECT_EQ(objectToJson(*again), objectToJson(object));
  }
  absl::StatusOr<Ticket> again = parseTicket(ticketToText(*ticket));
  ASSERT_TRUE(again.ok()) << describe(again.status());
  EXPECT_EQ(ticketToText(*again), ticketToText(*ticket));
}

struct Fault {
  const char *Name;    ///< Name of the test case.
  std::string Text;    ///< Ticket text.
  const char *Pointer; ///< JSON pointer expected in the error.
};

class TicketFaultTest : public testing::TestWithParam<Fault> {};

// An operator publishes an invalid ticket. If one daemon applied it in part, or
// another parsed it differently, the fleet would never converge again. Each
// error rejects the whole ticket and contains its location.
TEST_P(TicketFaultTest, RejectsTheWholeTicketWithAPointer) {
  absl::StatusOr<Ticket> ticket = parseTicket(GetParam().Text);
  ASSERT_FALSE(ticket.ok());
  EXPECT_EQ(ticket.status().code(), absl::StatusCode::kInvalidArgument);
  EXPECT_EQ(stepOf(ticket.status()), "check-ticket");
  EXPECT_THAT(describe(ticket.status()),
              HasSubstr(std::string(": ") + GetParam().Pointer + ": "));
}

const Fault Faults[] = {
    {"NotJson", "{", "/"},
    {"Empty", "", "/"},
    {"TooLarge", std::string(MaxTicketBytes + 1, ' '), "/"},
    {"TooDeep", std::string(100'000, '['), "/"},
    {"NotAnObject", "[]", ""},
    {"NoNumber", R"({"objects": []})", "/ticket"},
    {"NumberZero", R"({"ticket": 0, "objects": []})", "/ticket"},
    {"NumberNegative", R"({"ticket": -1, "objects": []})", "/ticket"},
    {"NumberFraction", R"({"ticket": 7.0, "objects": []})", "/ticket"},
    {"NumberHuge", R"({"ticket": 18446744073709551615, "objects": []})",
     "/ticket"},
    {"NoObjects", R"({"ticket": 7, "objects": []})", "/objects"},
    {"ObjectsNotAList", R"({"ticket": 7, "objects": {}})", "/objects"},
    {"UnknownField", R"({"ticket": 7, "objects": [], "x": 1})", "/x"},
    {"KeyTwice", R"({"ticket": 7, "ticket": 8, "objects": []})", "/"},
    {"KeyTwiceInside", serverWith(R"(, "slots": 1, "slots": 2)"), "/"},
    {"ObjectIsNumber", ticketWith("3"), "/objects/0"},
    {"UnknownKind", ticketWith(R"({"kind": "zone", "id": "a", "state": {}})"),
     "/objects/0/kind"},
    {"EmptyId", ticketWith(R"({"kind": "domain", "id": "", "deleted": true})"),
     "/objects/0/id"},
    {"LongId",
     ticketWith(R"({"kind": "domain", "id": ")" + std::string(65, 'a') +
                R"(", "deleted": true})"),
     "/objects/0/id"},
    {"BadId", ticketWith(R"({"kind": "domain", "id": "a/b", "deleted": true})"),
     "/objects/0/id"},
    {"DeletedFalse",
     ticketWith(R"({"kind": "domain", "id": "a", "deleted": false})"),
     "/objects/0/deleted"},
    {"DeletedWithState",
     ticketWith(
         R"({"kind": "domain", "id": "a", "deleted": true, "state": {}})"),
     "/objects/0/state"},
    {"NoState", ticketWith(R"({"kind": "domain", "id": "a"})"),
     "/objects/0/state"},
    {"DomainWithoutService",
     ticketWith(R"({"kind": "domain", "id": "a", "state": {"region": "r"}})"),
     "/objects/0/state/in_service"},
    {"ObjectTwice",
     ticketWith(R"({"kind": "domain", "id": "a", "deleted": true},
                   {"kind": "domain", "id": "a", "deleted": true})"),
     "/objects/1"},
    {"PortZero", serviceWith("[0]"), "/objects/0/state/ports"},
    {"PortTooHigh", serviceWith("[65536]"), "/objects/0/state/ports"},
    {"PortTwice", serviceWith("[1, 1]"), "/objects/0/state/ports"},
    {"NoPorts", serviceWith("[]"), "/objects/0/state/ports"},
    {"PortOfTwoServices",
     ticketWith(R"({"kind": "service", "id": "a", "state": {"ports": [1]}},
                   {"kind": "service", "id": "b", "state": {"ports": [1]}})"),
     "/objects/1/state/ports"},
    {"AddressIsName", ticketWith(R"({"kind": "server", "id": "s", "state": {
       "service": "b", "domain": "d", "address": "localhost:80"}})"),
     "/objects/0/state/address"},
    {"AddressWithoutPort", ticketWith(R"({"kind": "server", "id": "s",
       "state": {"service": "b", "domain": "d", "address": "10.0.0.1:0"}})"),
     "/objects/0/state/address"},
    {"SlotsZero", serverWith(R"(, "slots": 0)"), "/objects/0/state/slots"},
    {"SlotsTooMany", serverWith(R"(, "slots": 65)"), "/objects/0/state/slots"},
    {"SlotsString", serverWith(R"(, "slots": "2")"), "/objects/0/state/slots"},
    {"WeightZero", serverWith(R"(, "weight": 0)"), "/objects/0/state/weight"},
    {"Mode", serverWith(R"(, "mode": "gone")"), "/objects/0/state/mode"},
    {"UnknownServerField", serverWith(R"(, "colour": 1)"),
     "/objects/0/state/colour"},
};

INSTANTIATE_TEST_SUITE_P(Faults, TicketFaultTest, testing::ValuesIn(Faults),
                         [](const auto &item) { return item.param.Name; });

} // namespace
} // namespace balsamrack
