#ifndef BALSAMRACK_UNITTESTS_PUBLISHED_EXCHANGESIMULATION_H
#define BALSAMRACK_UNITTESTS_PUBLISHED_EXCHANGESIMULATION_H

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "Balsamrack/Peers/PeerCodec.h"
#include "Balsamrack/Published/StateExchange.h"

namespace balsamrack {

/// Simulates the state exchange of a fleet in one process under virtual time,
/// with a publishing service that can fail and whose link can be slow, and a
/// network that can be partitioned.
class ExchangeSimulation {
public:
  enum class Source { Good, Refuses, Silent };
  struct Node {
    EntryVm Vm;
    std::unique_ptr<SeededRandom> Random;
    std::unique_ptr<StateExchange> Exchange;
    bool Running = true;
    bool CutOff = false; ///< Partitioned from all peers.
    Source Reads = Source::Good;
    uint64_t Starts = 0;
    uint64_t Calls = 0;
    uint64_t Watches = 0; ///< Calls other than listings.
    uint64_t Messages = 0;
    uint64_t BytesSent = 0; ///< Size of the encoded messages.
    TimePoint StartedAt{};
    TimePoint UsableAt{};   ///< When new flows could be placed; zero if never.
    TimePoint CompleteAt{}; ///< When all sections were complete; zero if never.
  };

  ExchangeSimulation(size_t domains, size_t perDomain, uint64_t seed)
      : Random(seed) {
    for (size_t d = 0; d < domains; ++d)
      for (size_t i = 0; i < perDomain; ++i) {
        std::string id =
            "10." + std::to_string(d) + ".0." + std::to_string(i + 1);
        Nodes.push_back(
            {{VmId(id), DomainId("d" + std::to_string(d)), {id, 7000}, false},
             nullptr,
             nullptr});
      }
    publish();
    restartAll();
  }
  /// Restarts node \p i without any state.
  void restart(size_t i) {
    startEmpty(i);
    updatePeers();
  }
  /// Restarts all nodes at once without any state.
  void restartAll() {
    for (size_t i = 0; i < Nodes.size(); ++i)
      startEmpty(i);
    updatePeers();
  }
  void kill(size_t i) {
    Nodes[i].Running = false;
    updatePeers();
  }
  /// Publishes a new operator configuration.
  void publish() {
    auto made = std::make_shared<OperatorConfiguration>();
    made->Version = ++Version;
    Revisions += 3;
    ServiceState.merge(
        {PublishedSection::Operators,
         {Revisions - 3},
         {Revisions},
         {{PublishedSection::Operators,
           "config",
           {Revisions},
           std::shared_ptr<const OperatorConfiguration>(made)}}});
    if (Version == 1) {
      ServiceState.merge({PublishedSection::Operators,
                          {},
                          {Revisions},
                          ServiceState.objects(PublishedSection::Operators)});
      ServiceState.merge({PublishedSection::Servers, {}, {Revisions}, {}});
    }
    answerWatches();
  }
  /// Publishes a change of a server.
  void changeServer(const std::string &id = "i-1") {
    auto made = std::make_shared<PublishedServer>();
    made->Server.Id = ServerId(id);
    Revisions += 3;
    ServiceState.merge({PublishedSection::Servers,
                        {Revisions - 3},
                        {Revisions},
                        {{PublishedSection::Servers,
                          id,
                          {Revisions},
                          std::shared_ptr<const PublishedServer>(made)}}});
    answerWatches();
  }
  /// Publishes the entries of \p count servers at once.
  void addServers(size_t count) { addServers(0, count); }
  /// As above, servers \p first to \p last - 1.
  void addServers(size_t first, size_t last) {
    PublishedChanges all{PublishedSection::Servers, {Revisions}, {}, {}};
    for (size_t i = first; i < last; ++i) {
      auto made = std::make_shared<PublishedServer>();
      std::string id = "i-" + std::to_string(i);
      made->Server.Id = ServerId(id);
      made->Server.Service = ServiceId("booking");
      made->Server.Domain = DomainId("d0");
      made->Server.At = {"10.9.0.1", static_cast<uint16_t>(i)};
      made->Tag = stableHash(id);
      Revisions += 3;
      all.Objects.push_back({PublishedSection::Servers,
                             id,
                             {Revisions},
                             std::shared_ptr<const PublishedServer>(made)});
    }
    all.UpTo = {Revisions};
    ServiceState.merge(all);
    answerWatches();
  }
  /// Removes the entries of servers \p first to \p last - 1 at once.
  void removeServers(size_t first, size_t last) {
    PublishedChanges all{PublishedSection::Servers, {Revisions}, {}, {}};
    for (size_t i = first; i < last; ++i) {
      Revisions += 3;
      all.Objects.push_back({PublishedSection::Servers,
                             "i-" + std::to_string(i),
                             {Revisions},
                             {}});
    }
    all.UpTo = {Revisions};
    ServiceState.merge(all);
    answerWatches();
  }
  /// Removes the entry of a server.
  void removeServer(const std::string &id) {
    Revisions += 3;
    ServiceState.merge({PublishedSection::Servers,
                        {Revisions - 3},
                        {Revisions},
                        {{PublishedSection::Servers, id, {Revisions}, {}}}});
    answerWatches();
  }
  /// Returns the size of a listing of all servers.
  uint64_t listingBytes() const {
    return ListingBytes +
           ServiceState.objectCount(PublishedSection::Servers) * BytesPerObject;
  }
  /// Returns the size of an update with all servers.
  uint64_t copyBytes() const {
    PublishedUpdate update;
    update.Changes = {ServiceState.changesAfter(PublishedSection::Servers, {})};
    return encodePeerMessage(update).size();
  }
  /// Returns whether all running nodes hold the published servers.
  bool allHoldServers() const {
    return std::all_of(Nodes.begin(), Nodes.end(), [this](const Node &it) {
      return !it.Running ||
             (it.Exchange->store().completeRevision(
                  PublishedSection::Servers) != Revision{} &&
              it.Exchange->store().presentHash(PublishedSection::Servers) ==
                  ServiceState.presentHash(PublishedSection::Servers));
    });
  }
  void run(Duration span) {
    for (TimePoint until = Now + span; Now < until; Now += Duration(10'000)) {
      takeSnapshot();
      while (!Events.empty() && Events.top().At <= Now) {
        auto what = Events.top().Do;
        Events.pop();
        what();
      }
      for (size_t i = 0; i < Nodes.size(); ++i)
        if (Nodes[i].Running && Now >= Nodes[i].Exchange->nextWakeup()) {
          perform(i, Nodes[i].Exchange->tick(Now));
          BusyTicks += Nodes[i].Exchange->nextWakeup() <= Now ? 1 : 0;
        }
      for (Node &node : Nodes) {
        if (node.UsableAt == TimePoint{} && node.Exchange->isUsable())
          node.UsableAt = Now;
        if (node.CompleteAt == TimePoint{} &&
            node.Exchange->store().isComplete())
          node.CompleteAt = Now;
      }
    }
  }
  uint64_t versionAt(size_t i) const {
    for (const PublishedObject &object :
         Nodes[i].Exchange->store().objects(PublishedSection::Operators))
      if (const auto *c =
              std::get_if<std::shared_ptr<const OperatorConfiguration>>(
                  &object.Content))
        return (*c)->Version;
    return 0;
  }
  bool allHoldVersion(uint64_t version) const {
    for (size_t i = 0; i < Nodes.size(); ++i)
      if (Nodes[i].Running && versionAt(i) != version)
        return false;
    return true;
  }

  std::vector<Node> Nodes;
  /// Returns whether messages pass from one node to another; by default all do.
  std::function<bool(const Node &, const Node &)> Reaches =
      [](const Node &, const Node &) { return true; };
  /// Bytes a second over the link of the service and over that of each node,
  /// for listings; zero: not limited.
  uint64_t SourceBytesPerSecond = 0;
  uint64_t NodeBytesPerSecond = 0;
  Duration MembersAfter{
      0}; ///< A node learns its peers this long after a start.
  uint64_t BytesListed = 0;   ///< Bytes of all listings.
  uint64_t WholeListings = 0; ///< Listings of a whole section of servers.
  bool HistoryDropped =
      false;                ///< The service fails every watch with kOutOfRange.
  Duration ListingAge{0};   ///< Maximum age of a listing that may be stale.
  uint64_t ObjectsSent = 0; ///< Objects in updates sent by all nodes.
  uint64_t BytesSent = 0;   ///< Size of the encoded messages of all nodes.
  uint64_t LongestMessage = 0; ///< Size in bytes.
  uint64_t BusyTicks = 0; ///< Ticks after which another one was due at once.
  uint64_t Version = 0;
  TimePoint Now{Duration(1'000'000)};

private:
  struct Event {
    TimePoint At;
    uint64_t Order;
    std::function<void()> Do;
    friend bool operator>(const Event &a, const Event &b) {
      return a.At != b.At ? a.At > b.At : a.Order > b.Order;
    }
  };
  struct Watch {
    size_t Node;
    uint64_t Start;
    PublishedRead Read;
    bool Open = true;
  };
  void startEmpty(size_t i) {
    Node &node = Nodes[i];
    node.Running = true;
    node.Random = std::make_unique<SeededRandom>(Random.next());
    node.Exchange = std::make_unique<StateExchange>(StateExchangeSettings(),
                                                    node.Vm, *node.Random);
    ++node.Starts;
    node.StartedAt = Now;
    node.UsableAt = node.CompleteAt = {};
  }
  void takeSnapshot() {
    if (ListingAge == Duration{0} || Now < NextSnapshot)
      return;
    NextSnapshot = Now + SnapshotPeriod;
    Snapshots.emplace_back(Now, ServiceState);
    while (Snapshots.front().first + ListingAge < Now)
      Snapshots.pop_front();
  }
  const PublishedStore &listed(const PublishedRead &read) {
    return read.AllowStale && !Snapshots.empty()
               ? Snapshots[Random.below(Snapshots.size())].second
               : ServiceState;
  }
  void schedule(Duration wait, std::function<void()> what) {
    Events.push({Now + wait, ++Orders, std::move(what)});
  }
  void updatePeers() {
    for (Node &node : Nodes) {
      std::vector<EntryVm> peers;
      for (const Node &other : Nodes)
        if (other.Running && other.Vm.Id != node.Vm.Id)
          peers.push_back(other.Vm);
      if (!node.Exchange)
        continue;
      if (MembersAfter == Duration{0})
        node.Exchange->setPeers(peers);
      else
        schedule(MembersAfter, [&node, peers] {
          if (node.Running)
            node.Exchange->setPeers(peers);
        });
    }
  }
  size_t indexOf(const VmId &id) const {
    size_t i = 0;
    while (Nodes[i].Vm.Id != id)
      ++i;
    return i;
  }
  void perform(size_t i, const std::vector<StateExchangeAction> &actions) {
    for (const StateExchangeAction &action : actions) {
      if (const auto *send = std::get_if<SendStateMessage>(&action)) {
        countBytes(i, *send);
        for (const EntryVm &to : send->To)
          deliver(i, to, *send);
      } else if (const auto *read = std::get_if<StartRead>(&action))
        startRead(i, read->Read);
    }
  }
  void countBytes(size_t from, const SendStateMessage &send) {
    uint64_t bytes =
        std::visit([](const auto &it) { return encodePeerMessage(it).size(); },
                   send.Message);
    BytesSent += bytes * send.To.size();
    Nodes[from].BytesSent += bytes * send.To.size();
    LongestMessage = std::max(LongestMessage, bytes);
  }
  void deliver(size_t from, const EntryVm &peer, const SendStateMessage &send) {
    ++Nodes[from].Messages;
    if (const auto *update = std::get_if<PublishedUpdate>(&send.Message))
      for (const PublishedChanges &it : update->Changes)
        ObjectsSent += it.Objects.size();
    size_t to = indexOf(peer.Id);
    SendStateMessage copy{{}, send.Message};
    schedule(Duration(2'000), [this, from, to, copy] {
      if (!Nodes[to].Running || Nodes[from].CutOff || Nodes[to].CutOff ||
          !Reaches(Nodes[from], Nodes[to]))
        return;
      StateExchange &at = *Nodes[to].Exchange;
      const EntryVm &sender = Nodes[from].Vm;
      if (const auto *offer = std::get_if<PublishedDigest>(&copy.Message))
        perform(to, at.handleDigest(Now, sender, *offer));
      else if (const auto *request =
                   std::get_if<PublishedRequest>(&copy.Message))
        perform(to, at.handleRequest(Now, sender, *request));
      else if (const auto *update = std::get_if<PublishedUpdate>(&copy.Message))
        perform(to, at.handleUpdate(Now, sender, *update));
    });
  }
  void startRead(size_t i, const PublishedRead &read) {
    ++Nodes[i].Calls;
    Nodes[i].Watches += read.After == Revision{} ? 0 : 1;
    auto watch = std::make_shared<Watch>(Watch{i, Nodes[i].Starts, read});
    if (HistoryDropped && read.After != Revision{}) {
      schedule(Duration(4'000), [this, watch] {
        complete(*watch, absl::OutOfRangeError("410"));
      });
      return;
    }
    if (Nodes[i].Reads == Source::Refuses) {
      schedule(Duration(4'000), [this, watch] {
        complete(*watch, absl::UnavailableError("503"));
      });
      return;
    }
    bool limited = SourceBytesPerSecond > 0 && read.After == Revision{};
    schedule(
        read.Wait + (limited ? Duration(10'000'000) : Duration(700'000)),
        [this, watch] { complete(*watch, absl::UnavailableError("timeout")); });
    if (Nodes[i].Reads == Source::Silent)
      return;
    if (read.After == Revision{}) {
      PublishedChanges listing = list(read);
      schedule(Duration(4'000) + timeOfListing(listing),
               [this, watch, listing] { complete(*watch, listing); });
      return;
    }
    Watches.push_back(watch);
    schedule(read.Wait, [this, watch] { answer(*watch); });
    schedule(Duration(4'000), [this] { answerWatches(); });
  }
  PublishedChanges list(const PublishedRead &read) {
    PublishedChanges listing = listed(read).changesAfter(read.Section, {});
    if (read.Share) {
      listing.IsPartial = true;
      auto isElsewhere = [&](const PublishedObject &it) {
        return stableHash(it.Name) % PublishedRead::ShareCount != *read.Share;
      };
      listing.Objects.erase(std::remove_if(listing.Objects.begin(),
                                           listing.Objects.end(), isElsewhere),
                            listing.Objects.end());
    } else if (read.Section == PublishedSection::Servers) {
      ++WholeListings;
    }
    return listing;
  }
  /// Listings queue for the link of the service.
  Duration timeOfListing(const PublishedChanges &listing) {
    uint64_t bytes = ListingBytes + listing.Objects.size() * BytesPerObject;
    BytesListed += bytes;
    if (SourceBytesPerSecond == 0)
      return Duration{0};
    auto timeAt = [bytes](uint64_t rate) {
      return Duration(static_cast<int64_t>(bytes * 1'000'000 / rate));
    };
    SourceLinkFreeAt =
        std::max(SourceLinkFreeAt, Now) + timeAt(SourceBytesPerSecond);
    return SourceLinkFreeAt - Now + timeAt(NodeBytesPerSecond);
  }
  void answerWatches() {
    std::vector<std::shared_ptr<Watch>> open;
    for (auto &watch : Watches)
      if (watch->Open &&
          ServiceState.lastChange(watch->Read.Section) > watch->Read.After)
        answer(*watch);
      else if (watch->Open)
        open.push_back(watch);
    Watches = open;
  }
  void answer(Watch &watch) {
    if (Nodes[watch.Node].Reads == Source::Good)
      complete(watch,
               ServiceState.changesAfter(watch.Read.Section, watch.Read.After));
  }
  void complete(Watch &watch, absl::StatusOr<PublishedChanges> result) {
    if (!watch.Open)
      return;
    watch.Open = false;
    size_t i = watch.Node;
    uint64_t start = watch.Start;
    PublishedRead read = watch.Read;
    schedule(
        Duration(2'000), [this, i, start, read, result = std::move(result)] {
          if (Nodes[i].Running && Nodes[i].Starts == start)
            perform(i, Nodes[i].Exchange->handleReadResult(Now, read, result));
        });
  }

  static constexpr Duration SnapshotPeriod{250'000};
  /// Size of a listing without objects, and of one object in JSON.
  static constexpr uint64_t ListingBytes = 300, BytesPerObject = 300;

  SeededRandom Random;
  PublishedStore ServiceState;
  std::deque<std::pair<TimePoint, PublishedStore>>
      Snapshots; ///< Of ServiceState.
  TimePoint NextSnapshot;
  TimePoint SourceLinkFreeAt;
  uint64_t Revisions = 0;
  uint64_t Orders = 0;
  std::vector<std::shared_ptr<Watch>> Watches;
  std::priority_queue<Event, std::vector<Event>, std::greater<Event>> Events;
};

} // namespace balsamrack

#endif // BALSAMRACK_UNITTESTS_PUBLISHED_EXCHANGESIMULATION_H
