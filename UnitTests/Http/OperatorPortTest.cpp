#include "Balsamrack/Http/OperatorPort.h"

#include <gtest/gtest.h>

#include "Balsamrack/Core/AddressSet.h"
#include "Balsamrack/Core/Errors.h"
#include "Balsamrack/Http/QueryString.h"
#include "UnitTests/Http/RawConnection.h"

namespace balsamrack {
namespace {

/// Replies with the path and the query of the request.
class EchoHandler final : public OperatorHandler {
public:
  OperatorReply handle(const OperatorRequest &request) override {
    std::string text = request.Path;
    for (const auto &[name, value] : request.Query) {
      text += " ";
      text += name;
      text += "=";
      text += value;
    }
    return {200, "text/plain", text};
  }
};

struct Exchange {
  const char *Name;
  const char *Request;
  const char *Status;
  const char *ExpectedText;
};

class EachExchange : public testing::TestWithParam<Exchange> {};

TEST_P(EachExchange, GetsTheExpectedResponse) {
  EchoHandler handler;
  auto port = OperatorPort::create({"127.0.0.1", 0}, {"127.0.0.0/8"}, handler);
  ASSERT_TRUE(port.ok()) << port.status();
  RawConnection c = RawConnection::connectTo((*port)->at());
  c.sendAll(std::string(GetParam().Request) + " HTTP/1.1\r\nHost: h\r\n\r\n");
  std::string answer = c.readMessage();
  EXPECT_EQ(answer.substr(9, 3), GetParam().Status);
  EXPECT_NE(answer.find(GetParam().ExpectedText), std::string::npos) << answer;
}

INSTANTIATE_TEST_SUITE_P(
    Exchanges, EachExchange,
    testing::Values(
        Exchange{"Path", "GET /v1/status", "200", "\r\n\r\nstatus"},
        Exchange{"DeepPath", "GET /v1/tickets/in-force?number=7", "200",
                 "tickets/in-force number=7"},
        Exchange{"Escapes", "GET /v1/where?service=a%20b+c&flow=%2f&x", "200",
                 "where flow=/ service=a b c x="},
        Exchange{"Repeat", "GET /v1/s?a=1&a=2", "200", "s a=1"},
        Exchange{"BadEscape", "GET /v1/s?a=%2", "400", "escape"},
        Exchange{"ZeroByte", "GET /v1/s?a=%00", "400", "zero byte"},
        Exchange{"Elsewhere", "GET /v2/status", "404", "answer-operator"},
        Exchange{"Write", "POST /v1/status", "405", "Allow: GET"}),
    [](const auto &info) { return std::string(info.param.Name); });

TEST(OperatorPortTest, AcceptsOnlyAllowedAddresses) {
  EchoHandler handler;
  auto port = OperatorPort::create({"127.0.0.1", 0}, {"10.0.0.0/8"}, handler);
  ASSERT_TRUE(port.ok());
  RawConnection c = RawConnection::connectTo((*port)->at());
  c.sendAll("GET /v1/status HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_EQ(c.readMessage().substr(9, 3), "403");
}

TEST(OperatorPortTest, RejectsAnInvalidAddressList) {
  EchoHandler handler;
  auto port = OperatorPort::create({"127.0.0.1", 0}, {"10.0.0.0/33"}, handler);
  EXPECT_EQ(port.status().code(), absl::StatusCode::kInvalidArgument);
  EXPECT_EQ(stepOf(port.status()), "listen");
}

struct AddressSetCase {
  const char *List;
  const char *Ip;
  bool IsMember;
};

class EachMembership : public testing::TestWithParam<AddressSetCase> {};

TEST_P(EachMembership, IsDetected) {
  auto set = AddressSet::parse({GetParam().List});
  ASSERT_TRUE(set.ok());
  EXPECT_EQ(set->contains(GetParam().Ip), GetParam().IsMember);
}

INSTANTIATE_TEST_SUITE_P(
    Sets, EachMembership,
    testing::Values(AddressSetCase{"10.1.2.3", "10.1.2.3", true},
                    AddressSetCase{"10.1.2.3", "10.1.2.4", false},
                    AddressSetCase{"10.1.2.3/24", "10.1.2.255", true},
                    AddressSetCase{"10.1.2.3/24", "10.1.3.0", false},
                    AddressSetCase{"0.0.0.0/0", "255.1.1.1", true},
                    AddressSetCase{"0.0.0.0/0", "not an address", false},
                    AddressSetCase{"0.0.0.0/0", "", false}));

} // namespace
} // namespace balsamrack
