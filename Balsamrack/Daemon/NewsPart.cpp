#include "Balsamrack/Daemon/NewsPart.h"

#include <poll.h>

#include <algorithm>
#include <utility>

#include "Balsamrack/Core/Errors.h"
#include "absl/strings/str_cat.h"

namespace balsamrack {

namespace {

constexpr Duration FiguresPeriod{1'000'000};
/// The loop looks around at least so often.
constexpr Duration MostWait{250'000};
constexpr int64_t MicrosPerMilli = 1000;
/// Guards against changes that come one by one by the hundred, at a start of
/// the fleet or in a release: each update goes through all daemons or servers.
constexpr Duration UpdatePeriod{100'000};

/// Times for daemons that own nothing: membership only says who may be told of
/// news and how many share the load, so hints are tried sooner and there is no
/// lease to keep.
MembershipSettings packetMembership() {
  MembershipSettings settings;
  settings.HintRetryMax = Duration(4'000'000);
  // After a loss of power all daemons start within some hundred milliseconds,
  // and until they know each other each takes all slots for its own.
  settings.StartPeriod = Duration(100'000);
  settings.StartSpan = Duration(2'000'000);
  // A small fleet's whole table fits into one message.
  settings.NewsBytes = 1'200;
  return settings;
}

} // namespace

absl::StatusOr<std::unique_ptr<NewsPart>>
NewsPart::create(const EntryVm &self, const std::vector<EntryVm> &seeds,
                 Incarnation run, uint64_t seed,
                 std::unique_ptr<DatagramPeers> peers, PublishedSource &source,
                 const Clock &clock, PacketTelemetry &telemetry,
                 NewsListener &listener) {
  std::unique_ptr<NewsPart> part(new NewsPart(
      self, run, seed, std::move(peers), source, clock, telemetry, listener));
  part->Seeds = seeds;
  absl::Status status = part->startMembership();
  if (!status.ok())
    return status;
  part->Loop = std::thread([raw = part.get()] { raw->run(); });
  return part;
}

NewsPart::NewsPart(const EntryVm &self, Incarnation run, uint64_t seed,
                   std::unique_ptr<DatagramPeers> peers,
                   PublishedSource &source, const Clock &clock,
                   PacketTelemetry &telemetry, NewsListener &listener)
    : Self(self), Run(run), Random(seed), Peers(std::move(peers)),
      Source(source), Time(clock), Watch(telemetry), Listener(listener),
      Tasks(std::make_shared<TaskQueue>()),
      Exchange(NewsSettings(), self, Random) {}

NewsPart::~NewsPart() { stop(); }

absl::Status NewsPart::startMembership() {
  auto members =
      Membership::create(packetMembership(), Self, Run, Random.next());
  if (!members.ok())
    return members.status();
  Members = *std::move(members);
  return absl::OkStatus();
}

void NewsPart::stop() {
  if (Stopping.exchange(true))
    return;
  Tasks->post([](TimePoint) {});
  if (Loop.joinable())
    Loop.join();
  Tasks->close();
}

void NewsPart::addSeeds(const std::vector<EntryVm> &seeds) {
  Tasks->post([this, seeds](TimePoint now) {
    Seeds = seeds;
    stepMembership(now, balsamrack::Seeds{seeds});
  });
}

void NewsPart::woke() {
  Tasks->post([this](TimePoint now) {
    AwaitsNews = true;
    onNews(now, Exchange.woke(now));
  });
}

void NewsPart::leave() {
  Tasks->post(
      [this](TimePoint now) { stepMembership(now, MembershipLeaving{}); });
}

void NewsPart::wait() {
  pollfd polled[] = {{Peers->fd(), POLLIN, 0}, {Tasks->fd(), POLLIN, 0}};
  TimePoint now = Time.now();
  TimePoint until =
      std::min({now + MostWait, Exchange.nextWakeup(), Book.nextChange()});
  if (RoutesDue && Exchange.store().complete())
    until = std::min(until, NextRoutes);
  if (MembersDue)
    until = std::min(until, NextMembers);
  if (auto next = Members->nextWakeup())
    until = std::min(until, *next);
  int64_t micros = std::max<int64_t>(0, (until - now).count());
  poll(polled, 2,
       static_cast<int>((micros + MicrosPerMilli - 1) / MicrosPerMilli));
}

void NewsPart::run() {
  stepMembership(Time.now(), balsamrack::Seeds{Seeds});
  while (!Stopping) {
    TimePoint now = Time.now();
    for (const TaskQueue::Task &task : Tasks->take())
      task(now);
    Peers->receive([&](const Address &from, PeerMessage message) {
      received(now, from, std::move(message));
    });
    stepMembership(now, MembershipTicked{});
    publishMembers(now);
    onNews(now, Exchange.tick(now));
    publishRoutes(now);
    publishFigures(now);
    wait();
  }
  stepMembership(Time.now(), MembershipLeft{});
}

EntryVm NewsPart::senderOf(const Address &from) const {
  VmId id(from.Ip);
  auto it = Members->members().find(id);
  if (it != Members->members().end())
    return it->second.News.Vm;
  return EntryVm{id, DomainId(), from, false};
}

void NewsPart::received(TimePoint now, const Address &from,
                        PeerMessage message) {
  EntryVm sender = senderOf(from);
  if (auto *ping = std::get_if<Ping>(&message)) {
    stepMembership(now, MessageReceived{ping->Sender.Vm, std::move(*ping)});
  } else if (auto *request = std::get_if<PingRequest>(&message)) {
    stepMembership(now, MessageReceived{sender, std::move(*request)});
  } else if (auto *ack = std::get_if<Ack>(&message)) {
    if (sender.Id == ack->Sender.Vm.Id)
      sender = ack->Sender.Vm;
    stepMembership(now, MessageReceived{sender, std::move(*ack)});
  } else if (const auto *offer = std::get_if<PublishedOffer>(&message)) {
    newsCame();
    onNews(now, Exchange.offered(now, sender, *offer));
  } else if (const auto *asked = std::get_if<PublishedRequest>(&message)) {
    onNews(now, Exchange.asked(now, sender, *asked));
  } else if (const auto *update = std::get_if<PublishedUpdate>(&message)) {
    newsCame();
    onNews(now, Exchange.told(now, sender, *update));
  }
}

void NewsPart::newsCame() {
  if (std::exchange(AwaitsNews, false))
    Listener.refreshed();
}

void NewsPart::stepMembership(TimePoint now, const MembershipEvent &event) {
  for (const MembershipAction &it : Members->step(now, event))
    onMembership(it);
}

void NewsPart::onMembership(const MembershipAction &action) {
  if (const auto *to = std::get_if<SendTo>(&action)) {
    std::visit([&](const auto &content) { send(to->To, content); },
               to->Content);
  } else if (const auto *changed = std::get_if<MemberChanged>(&action)) {
    static const char *const names[] = {"alive", "suspect", "dead", "left"};
    const MemberNews &news = changed->News;
    Watch.log(LogLine(Part::Membership, Severity::Info, "member-changed")
                  .text("vm", news.Vm.Id.str())
                  .text("domain", news.Vm.Domain.str())
                  .text("state", names[static_cast<size_t>(news.State)])
                  .flag("unreachable", changed->Unreachable)
                  .flag("leaving", news.Vm.Leaving)
                  .number("run", news.Run.Value));
    MembersDue = true;
  } else if (const auto *later = std::get_if<Superseded>(&action)) {
    // Peers still hold a life of this VM whose number is higher: the time of
    // day, from which the number was taken, has gone back. There is one
    // process at an address, so this one takes the next number.
    Incarnation next{later->News.Run.Value + 1};
    Tasks->post([this, next](TimePoint at) { restartAs(at, next); });
  }
}

void NewsPart::restartAs(TimePoint now, Incarnation run) {
  if (run <= Run)
    return;
  Run = run;
  absl::Status status = startMembership();
  if (!status.ok()) {
    Watch.failed(Part::Membership, "membership-not-restarted", status);
    return;
  }
  stepMembership(now, balsamrack::Seeds{Seeds});
  MembersDue = true;
}

void NewsPart::publishMembers(TimePoint now) {
  if (!MembersDue || now < NextMembers)
    return;
  MembersDue = false;
  NextMembers = now + UpdatePeriod;
  std::vector<EntryVm> peers;
  std::vector<std::pair<DomainId, VmId>> order;
  for (const auto &[id, member] : Members->members()) {
    const EntryVm &vm = member.News.Vm;
    if (!member.live())
      continue;
    if (id != Self.Id)
      peers.push_back(vm);
    if (!vm.Leaving || id == Self.Id)
      order.emplace_back(vm.Domain, id);
  }
  std::sort(order.begin(), order.end());
  auto self = std::find(order.begin(), order.end(),
                        std::make_pair(Self.Domain, Self.Id));
  LivePeers = peers.size();
  Exchange.setPeers(peers);
  if (self != order.end())
    Listener.fleetChanged(order.size(),
                          static_cast<size_t>(self - order.begin()));
}

void NewsPart::send(const EntryVm &to, const PeerMessage &message) {
  absl::Status status = Peers->send(to.PeerAt, message);
  if (!status.ok())
    Watch.failed(Part::Peers, "send-failed", status);
}

void NewsPart::sendAll(const std::vector<EntryVm> &to,
                       const PeerMessage &message) {
  std::vector<Address> addresses;
  addresses.reserve(to.size());
  for (const EntryVm &it : to)
    addresses.push_back(it.PeerAt);
  absl::Status status = Peers->sendAll(addresses, message);
  if (!status.ok())
    Watch.failed(Part::Peers, "send-failed", status);
}

void NewsPart::onNews(TimePoint now, const std::vector<NewsAction> &actions) {
  for (const NewsAction &action : actions) {
    if (const auto *to = std::get_if<SendNews>(&action)) {
      std::visit([&](const auto &what) { sendAll(to->To, what); }, to->What);
    } else if (const auto *read = std::get_if<ReadNews>(&action)) {
      startRead(read->What);
    } else if (const auto *changed = std::get_if<NewsChanged>(&action)) {
      newsChanged(now, *changed);
    } else if (const auto *source = std::get_if<SourceChanged>(&action)) {
      Watch.log(LogLine(Part::Platform,
                        source->Good ? Severity::Info : Severity::Warning,
                        source->Good ? "source-regained" : "source-lost")
                    .text("section", sectionName(source->Section))
                    .text("error", source->Error));
    }
  }
  Complete = Exchange.store().complete();
}

void NewsPart::startRead(const PublishedRead &read) {
  // The answer may come after this part has ended; then the queue is closed,
  // and the task, with its pointer to this part, is never run.
  auto done = [this, read,
               tasks = Tasks](absl::StatusOr<PublishedChanges> result) {
    tasks->post([this, read, result = std::move(result)](TimePoint now) {
      readEnded(now, read, result);
    });
  };
  Source.read(read, std::move(done));
}

void NewsPart::readEnded(TimePoint now, const PublishedRead &read,
                         const absl::StatusOr<PublishedChanges> &result) {
  Watch.readEnded(read.Section, read.After == Revision{}, result.status());
  if (result.ok())
    newsCame();
  onNews(now, Exchange.readEnded(now, read, result));
}

void NewsPart::logChange(const PublishedObject &object, const VmId &from) {
  LogLine line(Part::Reader, Severity::Info, "published-changed");
  line.text("section", sectionName(object.Section))
      .text("object", object.Name)
      .number("revision", object.At.Value)
      .text("from", from.empty() ? "source" : from.str());
  using Configuration = std::shared_ptr<const OperatorConfiguration>;
  using Server = std::shared_ptr<const PublishedServer>;
  if (const auto *configuration = std::get_if<Configuration>(&object.Content))
    line.number("configuration", (*configuration)->Version)
        .number("routes", (*configuration)->Routes.size());
  else if (const auto *server = std::get_if<Server>(&object.Content))
    line.text("service", (*server)->Server.Service.str())
        .text("domain", (*server)->Server.Domain.str())
        .text("at", (*server)->Server.At.str())
        .text("state", (*server)->Server.Mode == ServerMode::Active
                           ? "active"
                           : "draining")
        .millis("cold_ms", (*server)->ColdLeft);
  else
    line.text("state", object.gone() ? "gone" : "domain-out");
  Watch.log(line);
}

void NewsPart::newsChanged(TimePoint now, const NewsChanged &changed) {
  for (const PublishedObject &object : changed.Changed)
    logChange(object, changed.From);
  if (changed.Section == PublishedSection::Servers)
    Book.serversChanged(now, changed.Changed);
  else
    Book.setOperators(now, Exchange.store().objects(changed.Section));
  RoutesDue = true;
}

void NewsPart::publishRoutes(TimePoint now) {
  bool due = (RoutesDue && now >= NextRoutes) || now >= Book.nextChange();
  if (!due || !Exchange.store().complete())
    return;
  RoutesDue = false;
  NextRoutes = now + UpdatePeriod;
  Listener.routesChanged(Book.snapshot(now));
}

void NewsPart::publishFigures(TimePoint now) {
  if (now < NextFigures)
    return;
  NextFigures = now + FiguresPeriod;
  Watch.setPeers(Peers->counters(), LivePeers);
  for (auto section : {PublishedSection::Operators, PublishedSection::Servers})
    Watch.setAge(section, now - Exchange.provedAt(section));
}

} // namespace balsamrack
