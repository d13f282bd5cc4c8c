// A stand-in for everything around the packet daemons: the store, the backend
// servers, the fabric that selects a daemon for each packet, and the clients.
// It starts the daemons as processes, plays one scenario on the real clock and
// checks one rule. One thread, one poll loop, loopback addresses only.
//
//   world SCENARIO TROUBLE DAEMON-BINARY WORK-FOLDER RECORD-FILE
//
// Exit code: 0 the rule held, 1 it was broken, 2 the scenario could not run.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

using Millis = double;
using Bytes = std::vector<uint8_t>;

// Bounds of the users' pages (SYSTEM.md, "Bounds", of a small installation).
constexpr Millis StabilityMs = 4000;
constexpr Millis FlowTtlMs = 60000;
constexpr Millis IdleTimeoutMs = 15000;
constexpr Millis HeartbeatMs = 1200;
constexpr Millis ColdMs = 2000;
constexpr double ColdFactor = 1.5;
constexpr double ColdSlack = 5;

// ---------------------------------------------------------------- utilities

static FILE *Record;
static std::chrono::steady_clock::time_point Epoch;

static Millis now() {
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now() - Epoch)
      .count();
}
static uint64_t unixMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
__attribute__((format(printf, 1, 2))) static void record(const char *form, ...) {
  fprintf(Record, "%9.3f  ", now() / 1000);
  va_list args;
  va_start(args, form);
  vfprintf(Record, form, args);
  va_end(args);
  fputc('\n', Record);
}
[[noreturn]] static void finish(int code);
[[noreturn]] static void cannotRun(const std::string &why) {
  if (Record)
    record("could not run: %s", why.c_str());
  fprintf(stderr, "could not run: %s\n", why.c_str());
  finish(2);
}
static uint64_t RandomState = 88172645463325252ull;
static uint32_t random32() {
  RandomState ^= RandomState << 13;
  RandomState ^= RandomState >> 7;
  RandomState ^= RandomState << 17;
  return static_cast<uint32_t>(RandomState >> 16);
}
static std::string text(const char *form, ...) {
  char out[2048];
  va_list args;
  va_start(args, form);
  vsnprintf(out, sizeof out, form, args);
  va_end(args);
  return out;
}
static uint32_t ip(const std::string &s) {
  in_addr a{};
  inet_pton(AF_INET, s.c_str(), &a);
  return ntohl(a.s_addr);
}
static std::string ipText(uint32_t v) {
  return text("%u.%u.%u.%u", v >> 24, v >> 16 & 255, v >> 8 & 255, v & 255);
}
static sockaddr_in addressOf(uint32_t at, uint16_t port) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(port);
  a.sin_addr.s_addr = htonl(at);
  return a;
}
static std::string base64(const std::string &in) {
  static const char Digits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t i = 0; i < in.size(); i += 3) {
    uint32_t v = 0;
    for (size_t j = 0; j < 3; ++j)
      v = v << 8 | (i + j < in.size() ? static_cast<uint8_t>(in[i + j]) : 0);
    for (int j = 3; j >= 0; --j) {
      size_t needed = 3 - static_cast<size_t>(j);
      out += i + needed > in.size() && needed > 0 && i + needed - 1 >= in.size()
                 ? '='
                 : Digits[v >> (6 * j) & 63];
    }
  }
  return out;
}

// ------------------------------------------------------------ event loop

struct Loop {
  std::map<int, std::function<void()>> Readers;
  std::multimap<Millis, std::function<void()>> Timers;
  void at(Millis when, std::function<void()> what) {
    Timers.emplace(when, std::move(what));
  }
  void after(Millis wait, std::function<void()> what) {
    at(now() + wait, std::move(what));
  }
  void run(Millis until) {
    while (now() < until) {
      while (!Timers.empty() && Timers.begin()->first <= now()) {
        auto what = std::move(Timers.begin()->second);
        Timers.erase(Timers.begin());
        what();
      }
      std::vector<pollfd> polled;
      for (auto &it : Readers)
        polled.push_back({it.first, POLLIN, 0});
      Millis next = Timers.empty() ? until : Timers.begin()->first;
      Millis wait = std::min(until, next) - now();
      timespec span{};
      if (wait > 0) {
        span.tv_sec = static_cast<time_t>(wait / 1000);
        span.tv_nsec = static_cast<long>((wait - span.tv_sec * 1000.0) * 1e6);
      }
      if (ppoll(polled.data(), polled.size(), &span, nullptr) <= 0)
        continue;
      for (pollfd &it : polled)
        if (it.revents != 0) {
          auto found = Readers.find(it.fd);
          if (found != Readers.end()) {
            auto what = found->second; // The reader may remove itself.
            what();
          }
        }
    }
  }
};
static Loop TheLoop;

static int openUdp(uint32_t at, uint16_t port) {
  int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in a = addressOf(at, port);
  int size = 1 << 20;
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  if (bind(fd, reinterpret_cast<sockaddr *>(&a), sizeof a) != 0)
    cannotRun("bind of a UDP port: " + std::string(strerror(errno)));
  return fd;
}
static int openTcp(uint32_t at, uint16_t port) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  sockaddr_in a = addressOf(at, port);
  if (bind(fd, reinterpret_cast<sockaddr *>(&a), sizeof a) != 0 ||
      listen(fd, 128) != 0)
    cannotRun("bind of a TCP port: " + std::string(strerror(errno)));
  return fd;
}
/// The addresses of which each port has to be free.
static const char *const UsedAddresses[] = {"127.80.0.1", "127.81.0.1",
                                            "127.82.0.1", "127.83.0.1"};

static bool isFree(const char *address, uint16_t port) {
  bool good = true;
  for (int type : {SOCK_STREAM, SOCK_DGRAM}) {
    int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
    sockaddr_in a = addressOf(ip(address), port);
    good = good && bind(fd, reinterpret_cast<sockaddr *>(&a), sizeof a) == 0;
    close(fd);
  }
  return good;
}
static uint16_t freePort() {
  static std::set<uint16_t> taken;
  for (int i = 0; i < 100; ++i) {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in a = addressOf(ip(UsedAddresses[0]), 0);
    socklen_t n = sizeof a;
    uint16_t port = 0;
    if (bind(fd, reinterpret_cast<sockaddr *>(&a), sizeof a) == 0 &&
        getsockname(fd, reinterpret_cast<sockaddr *>(&a), &n) == 0)
      port = ntohs(a.sin_port);
    close(fd);
    bool good = port != 0;
    for (const char *it : UsedAddresses)
      good = good && isFree(it, port);
    if (good && taken.insert(port).second)
      return port;
  }
  cannotRun("no free port");
}

// -------------------------------------------------------------- packets

enum : uint8_t { Syn = 2, Rst = 8, Ack = 32, Fin = 64 };
constexpr size_t HeaderBytes = 31;

struct Packet {
  uint32_t Sum = 0, Src = 0, Dst = 0, Echo = 0, Seq = 0, Acked = 0;
  uint16_t Sport = 0, Dport = 0;
  uint8_t Flags = 0;
  std::string Data;
};
static void put(Bytes &out, uint32_t v, int n) {
  for (int i = 0; i < n; ++i)
    out.push_back(static_cast<uint8_t>(v >> (8 * i)));
}
static uint32_t get(const uint8_t *in, int n) {
  uint32_t v = 0;
  for (int i = 0; i < n; ++i)
    v |= static_cast<uint32_t>(in[i]) << (8 * i);
  return v;
}
static uint32_t keyedSum(const Packet &p) {
  Bytes all;
  put(all, 0x5eed1234, 4);
  put(all, p.Src, 4);
  put(all, p.Dst, 4);
  put(all, p.Sport, 2);
  put(all, p.Dport, 2);
  put(all, p.Seq, 4);
  put(all, p.Acked, 4);
  put(all, p.Flags, 1);
  all.insert(all.end(), p.Data.begin(), p.Data.end());
  uint32_t h = 2166136261u;
  for (uint8_t b : all)
    h = (h ^ b) * 16777619u;
  return h == 0 ? 1 : h;
}
static Bytes encode(const Packet &p) {
  Bytes out;
  put(out, p.Sum, 4);
  put(out, static_cast<uint32_t>(p.Data.size()), 2);
  put(out, p.Dst, 4);
  put(out, p.Sport, 2);
  put(out, p.Dport, 2);
  put(out, p.Src, 4);
  put(out, p.Echo, 4);
  put(out, p.Flags, 1);
  put(out, p.Seq, 4);
  put(out, p.Acked, 4);
  out.insert(out.end(), p.Data.begin(), p.Data.end());
  return out;
}
static bool decode(const uint8_t *in, size_t n, Packet &p) {
  if (n < HeaderBytes)
    return false;
  p.Sum = get(in, 4);
  p.Dst = get(in + 6, 4);
  p.Sport = static_cast<uint16_t>(get(in + 10, 2));
  p.Dport = static_cast<uint16_t>(get(in + 12, 2));
  p.Src = get(in + 14, 4);
  p.Echo = get(in + 18, 4);
  p.Flags = in[22];
  p.Seq = get(in + 23, 4);
  p.Acked = get(in + 27, 4);
  p.Data.assign(reinterpret_cast<const char *>(in + HeaderBytes),
                n - HeaderBytes);
  return get(in + 4, 2) == p.Data.size();
}

/// The client's end and the route's end of a flow.
struct FlowKey {
  uint32_t Client, Route;
  uint16_t ClientPort, RoutePort;
  bool operator<(const FlowKey &o) const {
    return std::tie(Client, ClientPort, Route, RoutePort) <
           std::tie(o.Client, o.ClientPort, o.Route, o.RoutePort);
  }
  std::string str() const {
    return text("%s:%u>%s:%u", ipText(Client).c_str(), ClientPort,
                ipText(Route).c_str(), RoutePort);
  }
};

// ---------------------------------------------------------------- store

/// The platform's store: listings, watches, one revision counter.
class Store {
public:
  void open(uint32_t at, uint16_t port) {
    Listener = openTcp(at, port);
    TheLoop.Readers[Listener] = [this] { acceptAll(); };
  }
  /// False: every call is answered with 503, and nothing is written.
  void setUp(bool up) {
    Up = up;
    record("store: %s", up ? "serves again" : "down, answers 503 to all calls");
    if (up)
      return;
    for (auto &it : Watches)
      answer(it.Fd, 503, "{}");
    Watches.clear();
  }
  bool isUp() const { return Up; }
  void write(const std::string &key, const std::string &value) {
    Item &item = Items[key];
    item = {value, ++Revision, false};
    record("store: revision %lu, %s = %s", (unsigned long)Revision, key.c_str(),
           value.size() < 400 ? value.c_str() : "(long)");
    wakeWatches();
  }
  void remove(const std::string &key) {
    auto it = Items.find(key);
    if (it == Items.end() || it->second.Deleted)
      return;
    it->second = {"", ++Revision, true};
    record("store: revision %lu, %s removed", (unsigned long)Revision,
           key.c_str());
    wakeWatches();
  }

private:
  struct Item {
    std::string Value;
    uint64_t ModRev;
    bool Deleted;
  };
  struct Watch {
    int Fd;
    std::string Prefix;
    uint64_t After;
    Millis Deadline;
  };

  void acceptAll() {
    for (;;) {
      int fd = accept4(Listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0)
        return;
      int one = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      Pending[fd] = "";
      TheLoop.Readers[fd] = [this, fd] { readFrom(fd); };
    }
  }
  void drop(int fd) {
    TheLoop.Readers.erase(fd);
    Pending.erase(fd);
    for (size_t i = 0; i < Watches.size();)
      if (Watches[i].Fd == fd)
        Watches.erase(Watches.begin() + static_cast<long>(i));
      else
        ++i;
    close(fd);
  }
  void readFrom(int fd) {
    char buf[8192];
    ssize_t n = recv(fd, buf, sizeof buf, 0);
    if (n <= 0) {
      if (n == 0 || errno != EAGAIN)
        drop(fd);
      return;
    }
    std::string &in = Pending[fd];
    in.append(buf, static_cast<size_t>(n));
    size_t end;
    while ((end = in.find("\r\n\r\n")) != std::string::npos) {
      std::string line = in.substr(0, in.find("\r\n"));
      in.erase(0, end + 4);
      size_t first = line.find(' '), last = line.rfind(' ');
      serve(fd, line.substr(first + 1, last - first - 1));
    }
  }
  static std::string parameter(const std::string &target,
                               const std::string &name) {
    size_t at = target.find('?');
    while (at != std::string::npos) {
      size_t end = target.find('&', at + 1);
      std::string pair = target.substr(at + 1, end == std::string::npos
                                                   ? std::string::npos
                                                   : end - at - 1);
      if (pair.rfind(name + "=", 0) == 0) {
        std::string raw = pair.substr(name.size() + 1), out;
        for (size_t i = 0; i < raw.size(); ++i)
          if (raw[i] == '%' && i + 2 < raw.size()) {
            out += static_cast<char>(
                strtol(raw.substr(i + 1, 2).c_str(), nullptr, 16));
            i += 2;
          } else {
            out += raw[i];
          }
        return out;
      }
      at = end;
    }
    return "";
  }
  void serve(int fd, const std::string &target) {
    if (!Up)
      return answer(fd, 503, "{}");
    std::string path = target.substr(0, target.find('?'));
    if (path == "/-/kv-range") {
      std::string prefix = parameter(target, "prefix");
      std::string begin = parameter(target, "after");
      std::string items;
      for (auto &it : Items)
        if (it.first.rfind(prefix, 0) == 0 && !it.second.Deleted &&
            it.first > begin)
          items += (items.empty() ? "" : ",") + entry(it.first, it.second);
      return answer(fd, 200,
                    "{\"items\":[" + items + "],\"truncated\":false,\"asOf\":" +
                        std::to_string(Revision) + "}");
    }
    if (path == "/-/kv-key") {
      auto it = Items.find(parameter(target, "key"));
      if (it == Items.end() || it->second.Deleted)
        return answer(fd, 404, "{}");
      return answer(fd, 200, entry(it->first, it->second));
    }
    if (path != "/-/kv-watch")
      return answer(fd, 404, "{}");
    Watch watch{fd, parameter(target, "prefix"),
                strtoull(parameter(target, "after").c_str(), nullptr, 10),
                now() + atof(parameter(target, "waitMs").c_str())};
    if (answerWatch(watch, false))
      return;
    Watches.push_back(watch);
    TheLoop.at(watch.Deadline + 1, [this] { expireWatches(); });
  }
  std::string entry(const std::string &key, const Item &item) {
    std::string head = "{\"key\":\"" + key + "\",";
    std::string tail = "\"modRev\":" + std::to_string(item.ModRev);
    if (item.Deleted)
      return head + tail + ",\"deleted\":true}";
    return head + "\"value\":\"" + base64(item.Value) + "\"," + tail +
           ",\"createRev\":" + std::to_string(item.ModRev) + ",\"lease\":0}";
  }
  bool answerWatch(const Watch &watch, bool expired) {
    std::map<uint64_t, std::string> events;
    for (auto &it : Items)
      if (it.first.rfind(watch.Prefix, 0) == 0 &&
          it.second.ModRev > watch.After)
        events[it.second.ModRev] = entry(it.first, it.second);
    if (events.empty() && !expired)
      return false;
    std::string all;
    for (auto &it : events)
      all += (all.empty() ? "" : ",") + it.second;
    answer(watch.Fd, 200, "{\"events\":[" + all + "],\"asOf\":" +
                              std::to_string(Revision) + "}");
    return true;
  }
  void wakeWatches() {
    for (size_t i = 0; i < Watches.size();)
      if (answerWatch(Watches[i], false))
        Watches.erase(Watches.begin() + static_cast<long>(i));
      else
        ++i;
  }
  void expireWatches() {
    for (size_t i = 0; i < Watches.size();)
      if (Watches[i].Deadline <= now() && answerWatch(Watches[i], true))
        Watches.erase(Watches.begin() + static_cast<long>(i));
      else
        ++i;
  }
  static void answer(int fd, int status, const std::string &body) {
    std::string all =
        text("HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
             "Content-Length: %zu\r\n\r\n",
             status, body.size()) +
        body;
    (void)!send(fd, all.data(), all.size(), MSG_NOSIGNAL);
  }

  int Listener = -1;
  bool Up = true;
  uint64_t Revision = 100;
  std::map<std::string, Item> Items;
  std::map<int, std::string> Pending;
  std::vector<Watch> Watches;
};
static Store TheStore;

// ------------------------------------------------------------ the world

static uint16_t PacketPort, ReadyPort, PeerPort, MetricsPort, ServerPort,
    StorePort;
static const uint32_t RouteIp = ip("127.85.0.1");
constexpr uint16_t RoutePort = 8443;
static const uint32_t StoreIp = ip("127.80.0.1");

static void sendTo(int fd, uint32_t at, uint16_t port, const Bytes &bytes) {
  sockaddr_in a = addressOf(at, port);
  (void)!sendto(fd, bytes.data(), bytes.size(), 0,
                reinterpret_cast<sockaddr *>(&a), sizeof a);
}

/// One way between a client and the platform's routers or the servers.
constexpr Millis ClientDelayMs = 3;

/// Everything that was broken, in the words of the rule.
static std::vector<std::string> Broken;
static void broken(const std::string &what) {
  record("RULE BROKEN: %s", what.c_str());
  Broken.push_back(what);
}

// --------------------------------------------------------------- servers

/// A backend server: handshake, requests of one packet, one answer each.
class Server {
public:
  Server(std::string id, std::string service, uint32_t at, Millis work)
      : Id(std::move(id)), Service(std::move(service)), At(at), Work(work) {
    Tag = strtoull(Id.substr(Id.find('-') + 1).c_str(), nullptr, 16);
  }
  const std::string Id, Service;
  const uint32_t At;
  bool Up = false;
  Millis DisturbedAt = -1e9; ///< Last time at which it was down or started.
  Millis ColdUntil = 0;
  uint64_t Born = 0;
  size_t Runs = 0;

  void start(bool cold) {
    Up = true;
    Born = unixMillis();
    DisturbedAt = now();
    ColdUntil = cold ? now() + ColdMs : 0;
    Udp = openUdp(At, ServerPort);
    Tcp = openTcp(At, ServerPort);
    TheLoop.Readers[Udp] = [this] { receive(); };
    TheLoop.Readers[Tcp] = [this] { acceptProbes(); };
    record("server %s: started%s", Id.c_str(), cold ? ", cold" : "");
    ++Life;
    Published.clear();
    heartbeat(Life);
  }
  void crash() {
    record("server %s: crashed", Id.c_str());
    Up = false;
    DisturbedAt = now();
    TheLoop.Readers.erase(Udp);
    TheLoop.Readers.erase(Tcp);
    close(Udp);
    close(Tcp);
    Flows.clear();
    Waiting.clear();
    Busy = 0;
    ++Life;
  }
  /// When the flow became open here; negative if it is not.
  Millis openedAt(const FlowKey &key) const {
    auto it = Flows.find(key);
    return it == Flows.end() || !it->second.Open ? -1 : it->second.OpenedAt;
  }
  uint16_t port() const { return ServerPort; }
  std::function<void(Server &, const FlowKey &)> OnOpening;

private:
  struct Flow {
    uint32_t ClientSeq = 0, OwnSeq = 0, Echo = 0, Expected = 0, Next = 0;
    bool Open = false;
    Millis OpenedAt = 0;
    std::string LastAnswer;
    uint32_t LastAnswerSeq = 0;
  };

  void heartbeat(int life) {
    if (life != Life || !Up)
      return;
    if (TheStore.isUp()) {
      auto left = static_cast<int>(std::max(0.0, ColdUntil - now()));
      std::string rest =
          text("\"service\":\"%s\",\"address\":\"%s:%u\",\"zone\":\"z-a\","
               "\"version\":\"v1\",\"slots\":2,\"state\":\"ready\","
               "\"coldLeftMs\":%d,\"born\":%llu",
               Service.c_str(), ipText(At).c_str(), ServerPort, left,
               (unsigned long long)Born);
      ++BeatNumber;
      if (rest != Published)
        TheStore.write("servers/" + Id,
                       "{" + rest + text(",\"seq\":%d}", BeatNumber));
      Published = rest;
    }
    // A beat that the store did not accept is repeated soon.
    TheLoop.after(TheStore.isUp() ? HeartbeatMs : 200,
                  [this, life] { heartbeat(life); });
  }
  void acceptProbes() {
    for (;;) {
      int fd = accept4(Tcp, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0)
        return;
      TheLoop.Readers[fd] = [this, fd] {
        char buf[2048];
        ssize_t n = recv(fd, buf, sizeof buf, 0);
        if (n > 0) {
          std::string all = "HTTP/1.1 200 OK\r\nInstance-Id: " + Id +
                            "\r\nContent-Length: 0\r\n\r\n";
          (void)!send(fd, all.data(), all.size(), MSG_NOSIGNAL);
          return;
        }
        TheLoop.Readers.erase(fd);
        close(fd);
      };
    }
  }
  void receive() {
    uint8_t buf[2048];
    for (;;) {
      ssize_t n = recv(Udp, buf, sizeof buf, 0);
      if (n < 0)
        return;
      uint64_t tag = 0;
      for (int i = 0; i < 8 && i < n; ++i)
        tag = tag << 8 | buf[i];
      Packet p;
      if (n < 8 || !decode(buf + 8, static_cast<size_t>(n) - 8, p))
        continue;
      // Nothing is sent when another server is intended.
      if (tag != 0 && tag != Tag)
        continue;
      if (p.Sum != keyedSum(p)) {
        broken("UNASKED: server " + Id + " got a packet that its sender "
               "didn't write so");
        continue;
      }
      handle(p);
      if (!Up)
        return;
    }
  }
  void reply(const FlowKey &key, const Flow *flow, uint8_t flags, uint32_t seq,
             uint32_t acked, const std::string &data = "") {
    Packet p;
    p.Src = key.Route;
    p.Sport = key.RoutePort;
    p.Dst = key.Client;
    p.Dport = key.ClientPort;
    p.Flags = flags;
    p.Seq = seq;
    p.Acked = acked;
    p.Echo = flow ? flow->Echo : 0;
    p.Data = data;
    p.Sum = keyedSum(p);
    sendTo(Udp, key.Client, PacketPort, encode(p));
  }
  void handle(const Packet &p) {
    FlowKey key{p.Src, p.Dst, p.Sport, p.Dport};
    auto it = Flows.find(key);
    if (p.Flags & Syn) {
      if (it != Flows.end() && it->second.Open)
        return;
      bool isNew = it == Flows.end();
      Flow &flow = Flows[key];
      if (isNew) {
        flow.OwnSeq = random32();
        if (OnOpening)
          OnOpening(*this, key);
      }
      flow.ClientSeq = p.Seq;
      flow.Expected = p.Seq + 1;
      flow.Next = flow.OwnSeq + 1;
      flow.Echo = p.Echo;
      reply(key, &flow, Syn | Ack, flow.OwnSeq, p.Seq + 1);
      return;
    }
    if (p.Flags & Rst) {
      if (it != Flows.end())
        Flows.erase(it);
      return;
    }
    // A packet of a flow that it does not hold, or whose opening here the
    // client did not acknowledge: another server has the flow.
    bool opens = it != Flows.end() && !it->second.Open &&
                 p.Acked == it->second.OwnSeq + 1;
    if (it == Flows.end() || (!it->second.Open && !opens)) {
      record("server %s: resets %s, which it does not hold", Id.c_str(),
             key.str().c_str());
      Packet rst;
      Flow echo;
      echo.Echo = p.Echo;
      reply(key, &echo, Rst, p.Acked, 0);
      return;
    }
    Flow &flow = it->second;
    flow.Echo = p.Echo;
    if (opens) {
      flow.Open = true;
      flow.OpenedAt = now();
      record("server %s: has the end of the handshake of %s", Id.c_str(),
             key.str().c_str());
    }
    if (!p.Data.empty()) {
      if (p.Seq == flow.Expected) {
        flow.Expected += static_cast<uint32_t>(p.Data.size());
        Waiting.push_back({key, p.Data});
        reply(key, &flow, Ack, flow.Next, flow.Expected);
        startWork();
      } else if (!flow.LastAnswer.empty()) {
        reply(key, &flow, Ack, flow.LastAnswerSeq, flow.Expected,
              flow.LastAnswer);
      } else {
        reply(key, &flow, Ack, flow.Next, flow.Expected);
      }
    }
    if (p.Flags & Fin) {
      reply(key, &flow, Fin | Ack, flow.Next, p.Seq + 1);
      Flows.erase(key);
    }
  }
  void startWork() {
    constexpr int Slots = 2;
    while (Busy < Slots && !Waiting.empty()) {
      auto job = Waiting.front();
      Waiting.pop_front();
      ++Busy;
      ++Runs;
      record("server %s: runs %s of %s", Id.c_str(), job.second.c_str(),
             job.first.str().c_str());
      Millis took = now() < ColdUntil ? Work * 1.6 : Work;
      TheLoop.after(took, [this, job, life = Life] {
        if (life != Life)
          return;
        --Busy;
        auto it = Flows.find(job.first);
        if (it != Flows.end()) {
          Flow &flow = it->second;
          flow.LastAnswer = "200 " + job.second + " by " + Id;
          flow.LastAnswerSeq = flow.Next;
          reply(job.first, &flow, Ack, flow.Next, flow.Expected,
                flow.LastAnswer);
          flow.Next += static_cast<uint32_t>(flow.LastAnswer.size());
        }
        startWork();
      });
    }
  }

  const Millis Work;
  uint64_t Tag = 0;
  int Udp = -1, Tcp = -1;
  int Life = 0, Busy = 0, BeatNumber = 0;
  std::string Published;
  std::map<FlowKey, Flow> Flows;
  std::deque<std::pair<FlowKey, std::string>> Waiting;
};
static std::vector<std::unique_ptr<Server>> Servers;

// --------------------------------------------------------------- daemons

struct Daemon {
  std::string Name;
  uint32_t At = 0;
  pid_t Pid = -1;
  bool InRotation = false;
  int Misses = 0;
  Millis DisturbedAt = -1e9; ///< Last time at which it was disturbed.
  bool Frozen = false;
};
static std::vector<Daemon> Daemons;
/// Only planned work disturbs the daemons; it excuses no reset.
static bool IsPlannedWork;

static std::string Binary, Folder;

static void startDaemon(Daemon &daemon, const std::string &binary,
                        const std::string &folder) {
  std::string seeds;
  for (size_t i = 0; i < Daemons.size() && i < 3; ++i)
    seeds += text("%s\"%s:8166\"", i ? "," : "", ipText(Daemons[i].At).c_str());
  std::string at = ipText(daemon.At);
  // The settings template of the deploy file, filled in.
  std::string settings = text(
      "{\"vm\":\"%s\",\"failure_domain\":\"z-a\","
      "\"packets\":{\"listen\":\"%s:%u\"},"
      "\"ready\":{\"listen\":\"%s:%u\",\"path\":\"/-/ready\"},"
      "\"peers\":{\"listen\":\"%s:%u\",\"seeds\":[%s]},"
      "\"published\":{\"address\":\"%s:%u\"},"
      "\"metrics\":{\"listen\":\"%s:%u\"},"
      "\"load\":{\"speeds\":true},\"shutdown\":{\"grace_s\":6}}",
      daemon.Name.c_str(), at.c_str(), PacketPort, at.c_str(), ReadyPort,
      at.c_str(), PeerPort, seeds.c_str(), ipText(StoreIp).c_str(), StorePort,
      at.c_str(), MetricsPort);
  std::string path = folder + "/" + daemon.Name + ".json";
  FILE *file = fopen(path.c_str(), "w");
  if (!file)
    cannotRun("cannot write settings");
  fputs(settings.c_str(), file);
  fclose(file);
  std::string log = folder + "/" + daemon.Name + ".log";
  pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    int out = open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
    dup2(out, 1);
    dup2(out, 2);
    execl(binary.c_str(), binary.c_str(), "--settings", path.c_str(),
          static_cast<char *>(nullptr));
    _exit(127);
  }
  daemon.Pid = pid;
  record("daemon %s: started", daemon.Name.c_str());
}

[[noreturn]] static void finish(int code) {
  for (Daemon &it : Daemons)
    if (it.Pid > 0) {
      kill(it.Pid, SIGCONT);
      kill(it.Pid, SIGKILL);
      waitpid(it.Pid, nullptr, 0);
    }
  if (Record)
    fclose(Record);
  exit(code);
}

/// One readiness check, as the platform makes it: two misses take a daemon out
/// of rotation, one 200 brings it back.
static void checkReady(size_t index) {
  auto done = std::make_shared<bool>(false);
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  auto result = [index, fd, done](bool good) {
    if (*done)
      return;
    *done = true;
    TheLoop.Readers.erase(fd);
    close(fd);
    Daemon &daemon = Daemons[index];
    daemon.Misses = good ? 0 : daemon.Misses + 1;
    bool in = good || (daemon.InRotation && daemon.Misses < 2);
    if (in != daemon.InRotation)
      record("fabric: %s is %s rotation", daemon.Name.c_str(),
             in ? "in" : "out of");
    daemon.InRotation = in;
  };
  sockaddr_in a = addressOf(Daemons[index].At, ReadyPort);
  connect(fd, reinterpret_cast<sockaddr *>(&a), sizeof a);
  TheLoop.after(5, [fd, done, result] {
    if (*done)
      return;
    std::string call = "GET /-/ready HTTP/1.1\r\nHost: d\r\n"
                       "Connection: close\r\n\r\n";
    if (send(fd, call.data(), call.size(), MSG_NOSIGNAL) < 0)
      return result(false);
    TheLoop.Readers[fd] = [fd, result] {
      char buf[512];
      ssize_t n = recv(fd, buf, sizeof buf, 0);
      result(n > 12 && strncmp(buf + 9, "200", 3) == 0);
    };
  });
  TheLoop.after(450, [result] { result(false); });
  TheLoop.after(500, [index] { checkReady(index); });
}

/// The daemon that the fabric selects for a packet: `hash` is `mod`.
static Daemon *selectDaemon(const FlowKey &key) {
  std::vector<Daemon *> in, all;
  for (Daemon &it : Daemons) {
    all.push_back(&it);
    if (it.InRotation)
      in.push_back(&it);
  }
  if (in.size() * 2 < all.size())
    in = all;
  uint32_t h = 2166136261u;
  for (uint32_t v : {key.Client, uint32_t{key.ClientPort}, key.Route,
                     uint32_t{key.RoutePort}})
    for (int i = 0; i < 4; ++i)
      h = (h ^ (v >> (8 * i) & 255)) * 16777619u;
  return in[(h >> 8) % in.size()];
}

// --------------------------------------------------------------- clients

static uint32_t NextRequest = 1;

struct ClientFlow : std::enable_shared_from_this<ClientFlow> {
  FlowKey Key{};
  int Fd = -1;
  uint32_t FirstSeq = 0, Next = 0, Acked = 0, Echo = 0;
  bool Established = false, Ended = false;
  int RequestsLeft = 0;
  Millis Pause = 0, LastPacketAt = 0;
  std::string Request; ///< Without an answer yet.
  uint32_t RequestSeq = 0;
  Daemon *LastDaemon = nullptr; ///< Took the flow's last packet.
  Millis OpenSentAt = 0;
};
struct ClientHost {
  int Fd = -1;
  uint32_t At = 0;
  uint16_t NextPort = 1024;
};
static std::vector<ClientHost> Hosts;
static std::map<FlowKey, std::shared_ptr<ClientFlow>> Flows;
static size_t Answered, Failed, Refused;

static void sendPacket(ClientFlow &flow, uint8_t flags, uint32_t seq,
                       uint32_t acked, const std::string &data = "") {
  Packet p;
  p.Src = flow.Key.Client;
  p.Sport = flow.Key.ClientPort;
  p.Dst = flow.Key.Route;
  p.Dport = flow.Key.RoutePort;
  p.Flags = flags;
  p.Seq = seq;
  p.Acked = acked;
  p.Echo = flags & Syn ? 0 : flow.Echo;
  p.Data = data;
  p.Sum = keyedSum(p);
  flow.LastPacketAt = now();
  auto of = flow.shared_from_this();
  TheLoop.after(ClientDelayMs, [of, bytes = encode(p)] {
    of->LastDaemon = selectDaemon(of->Key);
    sendTo(of->Fd, of->LastDaemon->At, PacketPort, bytes);
    if (bytes[22] & Syn)
      record("client: opens %s, copy %u, through %s", of->Key.str().c_str(),
             get(bytes.data() + 27, 4), of->LastDaemon->Name.c_str());
    else if (bytes.size() > HeaderBytes)
      record("client: sends %s on %s through %s",
             std::string(bytes.begin() + HeaderBytes, bytes.end()).c_str(),
             of->Key.str().c_str(), of->LastDaemon->Name.c_str());
  });
}
static void end(ClientFlow &flow, const char *how) {
  if (flow.Ended)
    return;
  flow.Ended = true;
  if (!flow.Request.empty()) {
    record("client: %s on %s: %s", flow.Request.c_str(),
           flow.Key.str().c_str(), how);
    ++Failed;
  }
}
static void retransmit(std::weak_ptr<ClientFlow> of, uint32_t seq, Millis wait,
                       Millis deadline) {
  TheLoop.after(wait, [of, seq, wait, deadline] {
    auto flow = of.lock();
    if (!flow || flow->Ended || flow->Request.empty() ||
        flow->RequestSeq != seq)
      return;
    if (now() >= deadline)
      return end(*flow, "no answer within the time budget");
    sendPacket(*flow, Ack, flow->RequestSeq, flow->Acked, flow->Request);
    retransmit(of, seq, std::min(wait * 2, 1600.0), deadline);
  });
}
static void sendRequest(const std::shared_ptr<ClientFlow> &flow) {
  flow->Request = text("request-%u", NextRequest++);
  flow->RequestSeq = flow->Next;
  flow->Next += static_cast<uint32_t>(flow->Request.size());
  sendPacket(*flow, Ack, flow->RequestSeq, flow->Acked, flow->Request);
  retransmit(flow, flow->RequestSeq, 200, now() + 2000);
}

/// Opens a flow for \p requests requests with \p pause between them.
static void openFlow(size_t host, int requests, Millis pause) {
  ClientHost &from = Hosts[host % Hosts.size()];
  auto flow = std::make_shared<ClientFlow>();
  flow->Key = {from.At, RouteIp, from.NextPort++, RoutePort};
  flow->Fd = from.Fd;
  flow->FirstSeq = random32();
  flow->Next = flow->FirstSeq + 1;
  flow->RequestsLeft = requests;
  flow->Pause = pause;
  flow->OpenSentAt = now();
  Flows[flow->Key] = flow;
  for (int copy = 0; copy < 3; ++copy)
    TheLoop.after(copy == 0 ? 0 : copy == 1 ? 200 : 600, [flow, copy] {
      if (flow->Established || flow->Ended)
        return;
      sendPacket(*flow, Syn, flow->FirstSeq, static_cast<uint32_t>(copy));
    });
  TheLoop.after(1400, [flow] {
    if (!flow->Established && !flow->Ended) {
      record("client: %s never opened", flow->Key.str().c_str());
      ++Failed;
      flow->Ended = true;
    }
  });
}

/// Checks FLOW (a) for a reset that the client has just accepted.
static void checkReset(ClientFlow &flow, bool bySystem, uint32_t senderIp) {
  for (auto &server : Servers) {
    Millis opened = server->openedAt(flow.Key);
    if (opened < 0 || !server->Up)
      continue;
    if (!bySystem && senderIp == server->At)
      return; // Sent by the flow's own server.
    Millis t = now();
    const char *excuse = nullptr;
    if (t - server->DisturbedAt < StabilityMs)
      excuse = "the server was disturbed";
    else if (!IsPlannedWork &&
             (flow.LastDaemon->Frozen ||
              t - flow.LastDaemon->DisturbedAt < StabilityMs))
      excuse = "the machine that took the packet is not in touch";
    else if (t - opened > FlowTtlMs)
      excuse = "the flow is older than flowTtlS";
    if (!bySystem)
      for (auto &sender : Servers)
        if (sender->At == senderIp && t - sender->DisturbedAt < StabilityMs)
          excuse = "the sender of the reset was disturbed";
    std::string what = text(
        "FLOW: %s is open at server %s since %.3f s, which lives; the client "
        "got a reset from %s; its packet went through %s",
        flow.Key.str().c_str(), server->Id.c_str(), opened / 1000,
        bySystem ? "the system" : ipText(senderIp).c_str(),
        flow.LastDaemon->Name.c_str());
    if (excuse)
      record("not counted (%s): %s", excuse, what.c_str());
    else
      broken(what);
    return;
  }
}

static void handleClientPacket(const Packet &p, uint32_t senderIp) {
  FlowKey key{p.Dst, p.Src, p.Dport, p.Sport};
  auto it = Flows.find(key);
  if (it == Flows.end())
    return;
  std::shared_ptr<ClientFlow> flow = it->second;
  if (flow->Ended)
    return;
  bool bySystem = p.Sum == 0 && (p.Flags & Rst) != 0;
  if (!bySystem && p.Sum != keyedSum(p)) {
    broken("MIXED: a client got a packet that its sender didn't write so");
    return;
  }
  if (p.Flags & Rst) {
    if (bySystem && flow->Established &&
        p.Seq - (flow->Acked - 76800) > 2 * 76800)
      return;
    if (flow->Established)
      record("client: %s was reset by %s", key.str().c_str(),
             bySystem ? "the system" : ipText(senderIp).c_str());
    else {
      record("client: %s was refused by %s", key.str().c_str(),
             bySystem ? "the system" : ipText(senderIp).c_str());
      ++Refused;
    }
    if (flow->Established)
      checkReset(*flow, bySystem, senderIp);
    return end(*flow, "reset");
  }
  // Each end returns the last echo that it received on the flow.
  flow->Echo = p.Echo;
  if (p.Flags & Syn) {
    if (flow->Established) {
      if (p.Seq + 1 != flow->Acked)
        record("client: a second server, %s, answers the opening of %s",
               ipText(senderIp).c_str(), key.str().c_str());
      return;
    }
    flow->Established = true;
    flow->Acked = p.Seq + 1;
    --flow->RequestsLeft;
    return sendRequest(flow);
  }
  if (p.Data.empty())
    return;
  if (p.Seq == flow->Acked) {
    flow->Acked += static_cast<uint32_t>(p.Data.size());
    if (p.Data.find(" " + flow->Request + " ") == std::string::npos)
      broken("MIXED: a client got an answer to another request");
    record("client: %s answered", flow->Request.c_str());
    ++Answered;
    flow->Request.clear();
    if (flow->RequestsLeft <= 0) {
      sendPacket(*flow, Fin | Ack, flow->Next, flow->Acked);
      flow->Ended = true;
      return;
    }
    sendPacket(*flow, Ack, flow->Next, flow->Acked);
    TheLoop.after(flow->Pause, [flow] {
      if (flow->Ended)
        return;
      --flow->RequestsLeft;
      sendRequest(flow);
    });
    return;
  }
  sendPacket(*flow, Ack, flow->Next, flow->Acked);
}

static void openHosts(size_t count) {
  for (size_t i = 0; i < count; ++i) {
    ClientHost host;
    host.At = ip(text("127.83.0.%zu", i + 1));
    host.Fd = openUdp(host.At, PacketPort);
    int fd = host.Fd;
    TheLoop.Readers[fd] = [fd] {
      uint8_t buf[2048];
      for (;;) {
        sockaddr_in from{};
        socklen_t length = sizeof from;
        ssize_t n = recvfrom(fd, buf, sizeof buf, 0,
                             reinterpret_cast<sockaddr *>(&from), &length);
        if (n < 0)
          return;
        Packet p;
        if (decode(buf, static_cast<size_t>(n), p))
          TheLoop.after(ClientDelayMs, [p, from] {
            handleClientPacket(p, ntohl(from.sin_addr.s_addr));
          });
      }
    };
    Hosts.push_back(host);
  }
}

// ------------------------------------------------------------- scenarios

struct Plan {
  size_t Daemons = 4;
  size_t Servers = 4;
  Millis WorkMs = 20;
  double ColdPerS = 0;
};
static void setUp(const Plan &plan) {
  PacketPort = freePort();
  ReadyPort = freePort();
  PeerPort = freePort();
  MetricsPort = freePort();
  ServerPort = freePort();
  StorePort = freePort();
  TheStore.open(StoreIp, StorePort);
  TheStore.write(
      "op/config",
      text("{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"%s\","
           "\"prefix\":\"/%u/\",\"type\":\"unsafe\",\"timeoutMs\":2000,"
           "\"sloMs\":200,\"priority\":1,\"service\":\"desk\","
           "\"maxAttempts\":2}],\"services\":[{\"name\":\"desk\","
           "\"healthPath\":\"/health\",\"maxConns\":2000,\"protocol\":\"h1\","
           "\"tls\":false,\"coldS\":2.0,\"coldPerS\":%.1f}],\"limits\":{"
           "\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
           "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}",
           ipText(RouteIp).c_str(), RoutePort, plan.ColdPerS));
  for (size_t i = 0; i < plan.Servers; ++i) {
    Servers.push_back(std::make_unique<Server>(
        text("i-7f3a91c%zu", i + 1), "desk", ip(text("127.82.0.%zu", i + 1)),
        plan.WorkMs));
    Servers.back()->start(false);
  }
  for (size_t i = 0; i < plan.Daemons; ++i) {
    Daemon daemon;
    daemon.Name = text("front-%zu", i + 1);
    daemon.At = ip(text("127.81.0.%zu", i + 1));
    Daemons.push_back(daemon);
  }
  for (Daemon &it : Daemons)
    startDaemon(it, Binary, Folder);
  for (size_t i = 0; i < Daemons.size(); ++i)
    checkReady(i);
  openHosts(20);
  // Traffic starts 10 s after the machines do.
  TheLoop.run(now() + 10000);
  for (Daemon &it : Daemons)
    if (!it.InRotation)
      cannotRun(it.Name + " is not ready after 10 s");
}

/// Opens a flow every \p gap from \p from to \p to.
static void traffic(Millis from, Millis to, Millis gap, int requests,
                    Millis pause) {
  size_t i = 0;
  for (Millis t = from; t < to; t += gap, ++i)
    TheLoop.at(t, [i, requests, pause] { openFlow(i, requests, pause); });
}

/// A daemon freezes for 3.5 s and wakes again, while callers open long
/// flows.
static void playFreeze(bool trouble) {
  setUp({4, 4, 20, 0});
  Millis t = now();
  traffic(t, t + 12000, 25, 2, 9000);
  if (trouble) {
    TheLoop.at(t + 4000, [] {
      record("TROUBLE: %s freezes", Daemons[1].Name.c_str());
      Daemons[1].Frozen = true;
      kill(Daemons[1].Pid, SIGSTOP);
    });
    TheLoop.at(t + 7500, [] {
      record("TROUBLE: %s wakes", Daemons[1].Name.c_str());
      Daemons[1].Frozen = false;
      Daemons[1].DisturbedAt = now();
      kill(Daemons[1].Pid, SIGCONT);
    });
  }
  TheLoop.run(t + 26000);
}

/// Stops a daemon and starts it again when it has ended, then the next one.
static void rollNext(size_t index, Millis gap) {
  if (index >= Daemons.size())
    return;
  record("TROUBLE: SIGTERM to %s", Daemons[index].Name.c_str());
  Daemons[index].DisturbedAt = now();
  kill(Daemons[index].Pid, SIGTERM);
  auto check = std::make_shared<std::function<void()>>();
  Millis last = now() + 6000;
  *check = [index, gap, last, check] {
    Daemon &daemon = Daemons[index];
    if (now() >= last)
      kill(daemon.Pid, SIGKILL);
    if (waitpid(daemon.Pid, nullptr, WNOHANG) == 0)
      return TheLoop.after(20, *check);
    record("daemon %s: ended", daemon.Name.c_str());
    daemon.Pid = -1;
    TheLoop.after(300, [index] {
      startDaemon(Daemons[index], Binary, Folder);
    });
    TheLoop.after(300 + gap, [index, gap] { rollNext(index + 1, gap); });
  };
  (*check)();
}

/// The daemons are stopped and started again, one after the other.
static void playRoll(bool trouble) {
  IsPlannedWork = true;
  setUp({6, 6, 6, 0});
  Millis t = now();
  traffic(t, t + 30000, 2.5, 2, 5000);
  if (trouble)
    TheLoop.at(t + 3000, [] { rollNext(0, 2000); });
  TheLoop.run(t + 38000);
}

/// Another writer leaves an entry in the store whose service no configuration
/// names, at the address of a live server.
static void playForeignEntry(bool trouble) {
  setUp({4, 4, 20, 0});
  Millis t = now();
  traffic(t, t + 12000, 25, 4, 2000);
  if (trouble)
    TheLoop.at(t + 6000, [] {
      record("TROUBLE: another writer leaves an entry");
      TheStore.write(
          "servers/i-0a11ce05",
          text("{\"service\":\"ledger\",\"address\":\"%s:%u\","
               "\"zone\":\"z-a\",\"version\":\"v1\",\"slots\":2,"
               "\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":1,\"born\":%llu}",
               ipText(Servers[0]->At).c_str(), ServerPort,
               (unsigned long long)unixMillis()));
    });
  TheLoop.run(t + 20000);
}

/// Processor time of a daemon so far.
static Millis processorTime(pid_t pid) {
  FILE *file = fopen(text("/proc/%d/stat", pid).c_str(), "r");
  if (!file)
    return 0;
  char line[1024] = "";
  (void)!fgets(line, sizeof line, file);
  fclose(file);
  unsigned long user = 0, kernel = 0;
  const char *rest = strrchr(line, ')');
  if (rest)
    sscanf(rest + 1, " %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu",
           &user, &kernel);
  return static_cast<Millis>(user + kernel) * 1000 /
         static_cast<Millis>(sysconf(_SC_CLK_TCK));
}

/// Another writer leaves an entry in the store that lacks fields and has a huge
/// count. Checks that the daemons serve and hand back the processor.
static void playHugeCount(bool trouble) {
  setUp({4, 4, 20, 0});
  Millis t = now();
  constexpr Millis TroubleAt = 6000, CheckFrom = 10000, CheckTo = 20000;
  traffic(t, t + CheckTo + 1000, 25, 1, 0);
  if (trouble)
    TheLoop.at(t + TroubleAt, [] {
      record("TROUBLE: another writer leaves an entry");
      TheStore.write(
          "servers/i-0a11ce05",
          text("{\"service\":\"desk\",\"address\":\"127.82.0.99:%u\","
               "\"zone\":\"z-a\",\"slots\":4000000000,"
               "\"state\":\"ready\",\"coldLeftMs\":0,\"born\":%llu}",
               ServerPort, (unsigned long long)unixMillis()));
    });
  std::map<pid_t, Millis> used;
  size_t answered = 0;
  TheLoop.at(t + CheckFrom, [&] {
    answered = Answered;
    for (Daemon &it : Daemons)
      used[it.Pid] = processorTime(it.Pid);
  });
  TheLoop.at(t + CheckTo, [&] {
    for (Daemon &it : Daemons)
      record("%s: %.0f ms of processor time in %.0f ms", it.Name.c_str(),
             processorTime(it.Pid) - used[it.Pid], CheckTo - CheckFrom);
    record("requests answered in that time: %zu", Answered - answered);
    if (Answered == answered)
      broken(text("Fault: from %.0f to %.0f s no request was served, though "
                  "all servers and daemons ran undisturbed",
                  (t + CheckFrom) / 1000, (t + CheckTo) / 1000));
    for (Daemon &it : Daemons)
      if (processorTime(it.Pid) - used[it.Pid] > 0.9 * (CheckTo - CheckFrom))
        broken("Fault: " + it.Name + " doesn't hand back the processor");
  });
  TheLoop.run(t + CheckTo + 3000);
}

/// The openings that each cold server took: sent at, arrived at.
static std::map<Server *, std::deque<std::pair<Millis, Millis>>> ColdOpenings;
static std::map<Server *, size_t> MaxCold;

static void countColdOpening(Server &server, const FlowKey &key,
                             double coldPerS) {
  if (now() >= server.ColdUntil)
    return;
  auto flow = Flows.find(key);
  if (flow == Flows.end())
    return;
  auto &all = ColdOpenings[&server];
  all.emplace_back(flow->second->OpenSentAt, now());
  // Requests that were sent and arrived inside the last second.
  size_t n = 0;
  for (auto &it : all)
    n += it.first >= now() - 1000 ? 1 : 0;
  MaxCold[&server] = std::max(MaxCold[&server], n);
  double bound = coldPerS * ColdFactor + ColdSlack;
  if (n > bound && n == MaxCold[&server])
    broken(text("FAILBACK: cold server %s got %zu requests in one second; "
                "bound %.1f",
                server.Id.c_str(), n, bound));
}

/// A server crashes while the store is down, and starts again under the id that
/// it had. It is cold, and its entry in the store does not say so yet.
static void playColdRestart(bool trouble) {
  constexpr double ColdPerS = 12;
  setUp({4, 8, 20, ColdPerS});
  for (auto &it : Servers)
    it->OnOpening = [](Server &server, const FlowKey &key) {
      countColdOpening(server, key, ColdPerS);
    };
  Millis t = now();
  traffic(t, t + 12000, 2.5, 1, 0);
  if (trouble) {
    TheLoop.at(t + 5000, [] { TheStore.setUp(false); });
    TheLoop.at(t + 5500, [] { Servers[0]->crash(); });
    TheLoop.at(t + 7000, [] { Servers[0]->start(true); });
    TheLoop.at(t + 9500, [] { TheStore.setUp(true); });
  }
  TheLoop.run(t + 15000);
}

int main(int argc, char **argv) {
  if (argc != 6) {
    fprintf(stderr, "usage: world SCENARIO TROUBLE BINARY FOLDER RECORD\n");
    return 2;
  }
  std::string scenario = argv[1];
  bool trouble = std::string(argv[2]) != "0";
  Binary = argv[3];
  Folder = argv[4];
  Record = fopen(argv[5], "w");
  if (!Record)
    return 2;
  setvbuf(Record, nullptr, _IOLBF, 0);
  signal(SIGPIPE, SIG_IGN);
  for (int it : {SIGTERM, SIGINT, SIGHUP})
    signal(it, [](int) { finish(2); });
  Epoch = std::chrono::steady_clock::now();
  RandomState ^= unixMillis() * 2654435761u;
  if (scenario == "freeze")
    playFreeze(trouble);
  else if (scenario == "roll")
    playRoll(trouble);
  else if (scenario == "foreign-entry")
    playForeignEntry(trouble);
  else if (scenario == "huge-count")
    playHugeCount(trouble);
  else if (scenario == "cold-restart")
    playColdRestart(trouble);
  else
    cannotRun("unknown scenario");
  for (Daemon &it : Daemons)
    if (waitpid(it.Pid, nullptr, WNOHANG) != 0)
      broken(it.Name + " has ended by itself");
  size_t runs = 0;
  for (auto &it : Servers)
    runs += it->Runs;
  for (auto &it : MaxCold)
    record("cold server %s: at most %zu requests in one second",
           it.first->Id.c_str(), it.second);
  record("flows %zu, requests answered %zu, failed %zu, openings refused %zu, "
         "runs %zu, rule broken %zu times",
         Flows.size(), Answered, Failed, Refused, runs, Broken.size());
  printf("flows %zu, requests answered %zu, failed %zu, openings refused %zu, "
         "runs %zu\n",
         Flows.size(), Answered, Failed, Refused, runs);
  for (size_t i = 0; i < Broken.size() && i < 5; ++i)
    printf("%s\n", Broken[i].c_str());
  if (Answered == 0)
    cannotRun("no request was answered");
  finish(Broken.empty() ? 0 : 1);
}
