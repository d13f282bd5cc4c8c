#ifndef BALSAMRACK_UNITTESTS_PACKETS_MOVINGSITE_H
#define BALSAMRACK_UNITTESTS_PACKETS_MOVINGSITE_H

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "UnitTests/Packets/PacketRouterHarness.h"

namespace balsamrack {

/// Kinds of trouble in a MovingSite.
struct MovingSiteSettings {
  uint64_t Seed = 1;
  Duration Length{20'000'000};
  Duration MeanMoveInterval{250'000}; ///< Between changes of the rotation.
  double FreezeChance = 0.3;          ///< A change also suspends a daemon.
  double RestartChance = 0.1;         ///< A change also restarts a daemon.
  double Loss = 0.01;                 ///< Packets that are lost.
  double SlowServerShare = 0.2;   ///< Servers whose answers are late at times.
  double DarkServerShare = 0.1;   ///< Servers that take no packets at times.
  bool ReusePorts = false;        ///< Callers use their ports again soon.
  bool HasTimeStamps = false;     ///< The system tells how long packets waited.
  size_t TracedCaller = SIZE_MAX; ///< Its packets are printed.
};

/// What callers saw in a MovingSite.
struct MovingSiteResult {
  size_t Answered = 0;      ///< Requests that were answered.
  size_t Unanswered = 0;    ///< Requests on open flows without an answer.
  size_t NotOpened = 0;     ///< Attempts that opened no flow.
  size_t Misforwarded = 0;  ///< Packets of open flows at other servers.
  size_t ResetByDaemon = 0; ///< Open flows that a daemon has reset although
                            ///< their server took packets.
  std::vector<std::string> Faults; ///< The first few of both, described.
};

/// Simulation of routers, servers and callers of one site. The fabric moves
/// flows between the daemons by a hash over those in rotation, which changes
/// all the time; servers and callers follow the platform's protocol.
class MovingSite {
public:
  explicit MovingSite(const MovingSiteSettings &settings);
  ~MovingSite();
  /// Plays the site for MovingSiteSettings::Length.
  MovingSiteResult play();

private:
  static constexpr size_t Daemons = 5;
  static constexpr size_t Servers = 12;

  struct Packet;
  struct Relayed;
  struct Caller;
  class Sink;
  struct Daemon;
  struct Server;

  void at(TimePoint when, std::function<void()> what);
  Duration transit();
  Duration between(Duration from, Duration to);
  bool happens(double chance);
  void startDaemon(size_t index);
  void receive(size_t daemon, const Packet &packet, bool wasWaiting);
  void receiveRelayed(size_t daemon, const Relayed &relayed);
  void resume(size_t daemon, Duration suspended);
  void changeRotation();
  void troubleServer(size_t index, bool isDark);
  void sendToFabric(const Packet &packet);
  void arriveAtServer(size_t index, const Packet &packet, uint32_t token);
  void arriveAtCaller(size_t caller, size_t server, uint32_t token,
                      uint32_t sequence, bool opens, bool resets,
                      uint32_t acknowledged, uint32_t request);
  void openFlow(size_t caller);
  void sendCopy(size_t caller, uint32_t attempt, uint8_t copy);
  void sendRequest(size_t caller);
  void sendData(size_t caller, uint32_t attempt, uint32_t request,
                uint32_t part, Duration wait);
  void endFlow(size_t caller);
  void trace(size_t caller, const std::string &what) const;
  void fault(size_t &count, const std::string &what, const Packet &packet);

  const MovingSiteSettings Settings;
  SeededRandom Random;
  TimePoint Now{Duration(10'000'000)};
  struct Event {
    TimePoint When;
    uint64_t Order;
    std::function<void()> What;
    friend bool operator>(const Event &a, const Event &b) {
      return std::tie(a.When, a.Order) > std::tie(b.When, b.Order);
    }
  };
  std::priority_queue<Event, std::vector<Event>, std::greater<Event>> Events;
  uint64_t NextOrder = 0;
  std::vector<Packet> Packets;
  std::vector<std::unique_ptr<Daemon>> AllDaemons;
  std::vector<Server> AllServers;
  std::vector<Caller> Callers;
  std::vector<size_t> Rotation;
  MovingSiteResult Result;
};

} // namespace balsamrack

#endif // BALSAMRACK_UNITTESTS_PACKETS_MOVINGSITE_H
