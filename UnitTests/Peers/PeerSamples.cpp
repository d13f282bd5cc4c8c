#include "UnitTests/Peers/PeerSamples.h"

namespace balsamrack {

namespace {

const EntryVm Vm{VmId("vm-1"), DomainId("bern-a"), {"10.0.0.1", 7100}, true};
const StateDigest Held{{7}, 0xFFFFFFFFFFFFFFFFULL};
const MemberRecord Sender{Vm, {12}, 3, MemberState::Suspect};
const ServerCondition Condition{ServerId("booking-01"), InstanceId("run-9"),
                                true, 44};
const Gossip Updates{Held, {Sender}, {Condition}};
const KeyDigest Key{1, 2};

ObjectState deletedServer() {
  return {{ObjectKind::Server, "booking-99"}, {6}, std::monostate()};
}

ObjectState domain() {
  return {{ObjectKind::Domain, "bern-a"},
          {7},
          FailureDomain{DomainId("bern-a"), RegionId("ch-mittelland"), false}};
}

ObjectState service() {
  Service s;
  s.Id = ServiceId("booking");
  s.Ports = {7001, 7002};
  s.QueuePerServer = 0;
  s.DefaultTimeout = Duration(1);
  s.ExpectedServiceTime = Duration(2);
  s.FlowIdleTimeout = Duration(3);
  return {{ObjectKind::Service, "booking"}, {8}, s};
}

ObjectState server() {
  BackendServer s;
  s.Id = ServerId("booking-01");
  s.Service = ServiceId("booking");
  s.Domain = DomainId("bern-a");
  s.At = {"127.0.0.1", 9001};
  s.Slots = 3;
  s.Connections = 0;
  s.Weight = 70000;
  s.Mode = ServerMode::Draining;
  s.DrainLimit = Duration(5);
  return {{ObjectKind::Server, "booking-01"}, {9}, s};
}

PublishedObject configuration() {
  auto c = std::make_shared<OperatorConfiguration>();
  c->Version = 7;
  c->Routes = {{{"198.18.0.1", 443},
                {{ServiceId("booking"), 90}, {ServiceId("plans"), 10}},
                Duration(150'000),
                Duration(1'500'000),
                true},
               {{"198.18.0.2", 80}, {{ServiceId("plans"), 1}}},
               {{"198.18.0.3", 80}, {{ServiceId("plans"), 1}}}};
  c->Services = {{ServiceId("booking"), 2.5}};
  c->IdleTimeout = Duration(15'000'000);
  return {PublishedSection::Operators,
          "config",
          {8},
          std::shared_ptr<const OperatorConfiguration>(c)};
}

PublishedObject publishedServer() {
  auto s = std::make_shared<PublishedServer>();
  s->Server.Id = ServerId("i-7f");
  s->Server.Service = ServiceId("booking");
  s->Server.Domain = DomainId("bern-a");
  s->Server.At = {"127.0.0.1", 9001};
  s->Tag = 0x7f;
  s->Born = 1;
  s->ColdLeft = Duration(2);
  return {PublishedSection::Servers,
          "i-7f",
          {9},
          std::shared_ptr<const PublishedServer>(s)};
}

PublishedUpdate publishedUpdate() {
  PublishedObject out{PublishedSection::Operators,
                      "evacuate/bern-a",
                      {10},
                      DomainOutOfService{DomainId("bern-a")}};
  PublishedObject gone{
      PublishedSection::Servers, "i-80", {11}, std::monostate()};
  return {{{PublishedSection::Operators, {5}, {12}, {configuration(), out}},
           {PublishedSection::Servers,
            {12},
            {12},
            {publishedServer(), gone},
            4,
            {0, 3}}},
          {{{12}, {10}, 77, {9}, 5, Duration(3)},
           {{12}, {11}, 78, {8}, 6, Duration(4)}},
          true};
}

Forward forward() {
  Forward f;
  f.Head.Request = {11};
  f.Head.Flow = {12};
  f.Head.Caller = {13};
  f.Head.Service = ServiceId("booking");
  f.Head.FirstOfFlow = true;
  f.Head.Kind = Semantics::RunOnce;
  f.Head.Key = Key;
  f.Head.Remaining = Duration(-1);
  f.Head.Trace = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
  f.Server = ServerId("booking-01");
  f.Ticket = {7};
  f.Accept = true;
  f.ByToken = true;
  f.Content.Method = "POST";
  f.Content.Target = "/r\xe9serve";
  f.Content.Headers = {{"A", "b"}, {"A", "\xff"}};
  f.Content.Body = std::string("\0\xff\x81", 3);
  return f;
}

OutcomeReport report() {
  OutcomeReport r;
  r.Result.Request = {11};
  r.Result.Kind = OutcomeKind::GivenUp;
  r.Result.Cause = Reason::UnknownService;
  r.Result.RetryAfter = Duration(9);
  r.Result.Server = ServerId("booking-01");
  r.Result.AtStep = "dispatch";
  r.Result.AtPeer = "vm-2";
  r.Result.Content = {404, {{"X", "y"}}, "body"};
  return r;
}

} // namespace

std::vector<PeerMessage> samplePeerMessages() {
  return {Hello{Vm, {12}},
          Ping{1, Sender, Updates},
          PingRequest{2, Vm, Updates},
          Ack{3, VmId("vm-2"), Sender, Updates},
          StateRequest{Held, {1, 0, 3}},
          StateUpdate{Held, {deletedServer(), domain(), service(), server()}},
          OwnershipHandOver{VmId("vm-1"),
                            {12},
                            {{Condition, 2, true}},
                            {ServerId("b-2")},
                            {ServerId("b-3")},
                            true,
                            7,
                            9,
                            Duration(8)},
          forward(),
          report(),
          CancelRequest{{11}},
          FlowQuestion{{11}, {12}, ServiceId("booking")},
          FlowReply{{11}, {12}, ServerId("booking-01"), true, {7}},
          FlowExceptions{ServiceId("booking"), {{{12}, ServerId("b-1")}}},
          KeyClaim{Key, {11}},
          KeyReply{Key, {11}, KeyVerdict::Fresh},
          KeySettled{Key, {11}, OutcomeKind::GivenUp},
          KeysHandedOver{{{Key, {11}, KeyVerdict::Unknown, Duration(8)}},
                         VmId("vm-1"),
                         {12},
                         true,
                         1,
                         true,
                         {VmId("vm-1"), VmId("vm-2")}},
          PublishedDigest{
              {{{12}, {10}, 77, {9}, 5, Duration(3)}},
              true,
              false,
              false,
              false,
              {{{1, 2, 3.5, 0.5, Duration(300'000), 4.5, 0.25}}, false}},
          PublishedRequest{{{{12}, {}}, {{11}, {1, 0}}}},
          publishedUpdate(),
          RelayedPacket{true, std::string("\0\xff\x81", 3)}};
}

} // namespace balsamrack
