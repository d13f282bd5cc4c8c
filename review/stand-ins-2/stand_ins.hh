// Stand-ins of the users' platform for the scripts of this review: the store,
// backend servers, clients behind the platform's routers, and the daemons as
// child processes. Everything is on loopback addresses and the real clock.
#ifndef REVIEW_STAND_INS_HH
#define REVIEW_STAND_INS_HH

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Lock = std::lock_guard<std::mutex>;

/// Seconds since the start of the script.
inline double now() {
  static const auto begin = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin)
      .count();
}
inline void sleepFor(double s) {
  if (s > 0)
    std::this_thread::sleep_for(std::chrono::duration<double>(s));
}
inline void sleepUntil(double t) { sleepFor(t - now()); }

/// The file record.txt. Thread-safe.
class Record {
public:
  explicit Record(const std::string &path) : File(fopen(path.c_str(), "w")) {}
  ~Record() {
    if (File)
      fclose(File);
  }
  void line(const char *format, ...) __attribute__((format(printf, 2, 3))) {
    Lock hold(Mutex);
    if (!File)
      return;
    fprintf(File, "%9.3f ", now());
    va_list args;
    va_start(args, format);
    vfprintf(File, format, args);
    va_end(args);
    fputc('\n', File);
    fflush(File);
  }

private:
  std::mutex Mutex;
  FILE *File;
};

[[noreturn]] inline void cannotRun(const std::string &why) {
  fprintf(stderr, "the case could not run: %s\n", why.c_str());
  exit(2);
}

inline sockaddr_in addressOf(const std::string &ip, uint16_t port) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
  return at;
}
inline uint32_t ipNumber(const std::string &ip) {
  in_addr at{};
  inet_pton(AF_INET, ip.c_str(), &at);
  return ntohl(at.s_addr);
}
inline std::string ipText(uint32_t ip) {
  in_addr at{htonl(ip)};
  char text[INET_ADDRSTRLEN];
  inet_ntop(AF_INET, &at, text, sizeof text);
  return text;
}
inline int openSocket(int type, const std::string &ip, uint16_t port) {
  int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int one = 1;
  if (type == SOCK_STREAM)
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  int size = 1 << 20;
  if (type == SOCK_DGRAM)
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  sockaddr_in at = addressOf(ip, port);
  if (bind(fd, reinterpret_cast<sockaddr *>(&at), sizeof at) != 0 ||
      (type == SOCK_STREAM && listen(fd, 256) != 0)) {
    close(fd);
    return -1;
  }
  return fd;
}
/// A port that is free on 127.0.0.1, for TCP.
inline uint16_t freePort() {
  int fd = openSocket(SOCK_STREAM, "127.0.0.1", 0);
  sockaddr_in at{};
  socklen_t n = sizeof at;
  getsockname(fd, reinterpret_cast<sockaddr *>(&at), &n);
  close(fd);
  return ntohs(at.sin_port);
}

inline std::string base64(const std::string &in) {
  static const char *Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t i = 0; i < in.size(); i += 3) {
    uint32_t v = 0;
    size_t n = std::min<size_t>(3, in.size() - i);
    for (size_t k = 0; k < 3; ++k)
      v = v << 8 | (k < n ? static_cast<uint8_t>(in[i + k]) : 0);
    for (size_t k = 0; k < 4; ++k)
      out += k <= n ? Digits[v >> (18 - 6 * k) & 63] : '=';
  }
  return out;
}

/// The platform's store: items, pages, watches and stale reads.
class Store {
public:
  /// How old an answer with serializable=1 is, in seconds; asked per call.
  using StaleAge = std::function<double()>;

  Store(std::string ip, uint16_t port, size_t pageItems, StaleAge age,
        double historyS = 20)
      : PageItems(pageItems), Age(std::move(age)), HistoryS(historyS),
        Fd(openSocket(SOCK_STREAM, ip, port)) {
    if (Fd < 0)
      cannotRun("the store's port is taken");
    Loop = std::thread([this] { run(); });
  }
  ~Store() {
    Stopping = true;
    Loop.join();
    close(Fd);
  }
  /// Writes \p key and returns its revision.
  uint64_t put(const std::string &key, const std::string &value) {
    Lock hold(Mutex);
    History.push_back({++Revision, key, value, false, now(), ""});
    History.back().Json = itemOf(History.back());
    return Revision;
  }
  uint64_t remove(const std::string &key) {
    Lock hold(Mutex);
    History.push_back({++Revision, key, "", true, now(), ""});
    History.back().Json = itemOf(History.back());
    return Revision;
  }
  /// Called for each list call: prefix, after, serializable, asOf, items.
  std::function<void(const std::string &peer, const std::string &prefix,
                     const std::string &after, bool stale, uint64_t asOf,
                     size_t items)>
      OnList;
  /// Called for each watch that ends with events or with status 410.
  std::function<void(const std::string &peer, const std::string &prefix,
                     uint64_t after, int status, size_t bytes)>
      OnWatch;

private:
  struct Change {
    uint64_t At;
    std::string Key;
    std::string Value;
    bool Deleted;
    double Time;
    std::string Json; ///< As it stands in answers.
  };
  struct Channel {
    int Fd;
    std::string Peer;
    std::string In;
    bool Watching = false;
    std::string Prefix;
    uint64_t After = 0;
    double Until = 0;
  };

  static std::string decode(const std::string &in) {
    std::string out;
    for (size_t i = 0; i < in.size(); ++i) {
      if (in[i] == '%' && i + 2 < in.size()) {
        out += static_cast<char>(strtol(in.substr(i + 1, 2).c_str(), nullptr, 16));
        i += 2;
      } else {
        out += in[i];
      }
    }
    return out;
  }
  static std::map<std::string, std::string> queryOf(const std::string &target) {
    std::map<std::string, std::string> all;
    size_t at = target.find('?');
    while (at != std::string::npos) {
      size_t end = target.find('&', at + 1);
      std::string part = target.substr(
          at + 1, end == std::string::npos ? end : end - at - 1);
      size_t eq = part.find('=');
      if (eq != std::string::npos)
        all[part.substr(0, eq)] = decode(part.substr(eq + 1));
      at = end;
    }
    return all;
  }
  static bool startsWith(const std::string &text, const std::string &prefix) {
    return text.compare(0, prefix.size(), prefix) == 0;
  }
  static std::string itemOf(const Change &it) {
    std::string out = "{\"key\":\"" + it.Key + "\",";
    if (it.Deleted)
      return out + "\"modRev\":" + std::to_string(it.At) + ",\"deleted\":true}";
    return out + "\"value\":\"" + base64(it.Value) +
           "\",\"modRev\":" + std::to_string(it.At) +
           ",\"createRev\":" + std::to_string(it.At) + ",\"lease\":0}";
  }
  void answer(Channel &to, int status, const std::string &body) {
    std::string out = "HTTP/1.1 " + std::to_string(status) +
                      (status == 200 ? " OK" : " Error") +
                      "\r\nContent-Type: application/json\r\nContent-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body;
    for (size_t done = 0; done < out.size();) {
      ssize_t n =
          send(to.Fd, out.data() + done, out.size() - done, MSG_NOSIGNAL);
      if (n > 0) {
        done += static_cast<size_t>(n);
        continue;
      }
      if (errno != EAGAIN)
        return;
      pollfd p{to.Fd, POLLOUT, 0};
      poll(&p, 1, 100);
    }
  }
  void list(Channel &to, std::map<std::string, std::string> &query) {
    const std::string prefix = query["prefix"], after = query["after"];
    bool stale = query["serializable"] == "1";
    double until = now() - (stale ? Age() : 0);
    std::map<std::string, const Change *> items;
    uint64_t asOf = 0;
    for (const Change &it : History) {
      if (it.Time > until)
        break;
      asOf = it.At;
      if (startsWith(it.Key, prefix))
        items[it.Key] = &it;
    }
    std::string body = "{\"items\":[";
    size_t n = 0;
    bool more = false;
    for (const auto &[key, it] : items) {
      if (it->Deleted || key <= after)
        continue;
      // At most about 500 items or 1 MB, but one item at least.
      if (n == PageItems || (n > 0 && body.size() + it->Json.size() > 1'500'000)) {
        more = true;
        break;
      }
      body += (n++ ? "," : "") + it->Json;
    }
    body += std::string("],\"truncated\":") + (more ? "true" : "false") +
            ",\"asOf\":" + std::to_string(asOf) + "}";
    if (OnList)
      OnList(to.Peer, prefix, after, stale, asOf, n);
    answer(to, 200, body);
  }
  bool answerWatch(Channel &to) {
    uint64_t dropped = 0;
    for (const Change &it : History) {
      if (it.Time >= now() - HistoryS)
        break;
      dropped = it.At;
    }
    if (to.After < dropped && hasNews(to)) {
      to.Watching = false;
      answer(to, 410, "{}");
      if (OnWatch)
        OnWatch(to.Peer, to.Prefix, to.After, 410, 0);
      return true;
    }
    std::string body = "{\"events\":[";
    size_t n = 0;
    for (const Change &it : History)
      if (it.At > to.After && startsWith(it.Key, to.Prefix))
        body += (n++ ? "," : "") + it.Json;
    if (n == 0 && now() < to.Until)
      return false;
    to.Watching = false;
    body += "],\"asOf\":" + std::to_string(Revision) + "}";
    if (OnWatch && n > 0)
      OnWatch(to.Peer, to.Prefix, to.After, 200, body.size());
    answer(to, 200, body);
    return true;
  }
  bool hasNews(const Channel &to) const {
    return std::any_of(History.begin(), History.end(), [&](const Change &it) {
      return it.At > to.After && startsWith(it.Key, to.Prefix);
    });
  }
  void handle(Channel &it) {
    size_t end = it.In.find("\r\n\r\n");
    if (end == std::string::npos || it.Watching)
      return;
    size_t a = it.In.find(' ');
    size_t b = it.In.find(' ', a + 1);
    std::string target = it.In.substr(a + 1, b - a - 1);
    it.In.erase(0, end + 4);
    auto query = queryOf(target);
    if (startsWith(target, "/-/kv-range?"))
      return list(it, query);
    if (startsWith(target, "/-/kv-watch?")) {
      it.Watching = true;
      it.Prefix = query["prefix"];
      it.After = strtoull(query["after"].c_str(), nullptr, 10);
      it.Until = now() + strtod(query["waitMs"].c_str(), nullptr) / 1000;
      return;
    }
    answer(it, 404, "{}");
  }
  void run() {
    std::deque<Channel> all;
    while (!Stopping) {
      std::vector<pollfd> polled{{Fd, POLLIN, 0}};
      for (Channel &it : all)
        polled.push_back({it.Fd, POLLIN, 0});
      poll(polled.data(), polled.size(), 4);
      Lock hold(Mutex);
      sockaddr_in from{};
      socklen_t size = sizeof from;
      std::vector<int> gone;
      for (size_t i = 0; i + 1 < polled.size(); ++i) {
        Channel &it = all[i];
        if (polled[i + 1].revents) {
          char buf[8192];
          ssize_t n = recv(it.Fd, buf, sizeof buf, 0);
          if (n == 0 || (n < 0 && errno != EAGAIN)) {
            gone.push_back(it.Fd);
            continue;
          }
          if (n > 0)
            it.In.append(buf, static_cast<size_t>(n));
        }
        handle(it);
        if (it.Watching)
          answerWatch(it);
      }
      for (int fd : gone) {
        close(fd);
        all.erase(std::find_if(all.begin(), all.end(),
                               [&](const Channel &c) { return c.Fd == fd; }));
      }
      for (int fd; (fd = accept4(Fd, reinterpret_cast<sockaddr *>(&from), &size,
                                 SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0;) {
        Channel it;
        it.Fd = fd;
        it.Peer = ipText(ntohl(from.sin_addr.s_addr));
        all.push_back(it);
      }
    }
    for (Channel &it : all)
      close(it.Fd);
  }

  std::mutex Mutex;
  const size_t PageItems;
  const StaleAge Age;
  const double HistoryS;
  const int Fd;
  uint64_t Revision = 100;
  std::deque<Change> History;
  std::atomic<bool> Stopping{false};
  std::thread Loop;
};

/// A TCP proxy before the store. Channels that are open at silence() carry
/// nothing more, without a reset; new ones work.
class Proxy {
public:
  Proxy(uint16_t port, uint16_t to)
      : Fd(openSocket(SOCK_STREAM, "127.0.0.1", port)), To(to) {
    if (Fd < 0)
      cannotRun("the proxy's port is taken");
    Loop = std::thread([this] { run(); });
  }
  ~Proxy() {
    Stopping = true;
    Loop.join();
    close(Fd);
    for (const Pair &it : All) {
      close(it.Client);
      close(it.Server);
    }
  }
  /// Returns the number of channels that are silent now.
  size_t silence() {
    Lock hold(Mutex);
    size_t n = 0;
    for (Pair &it : All) {
      n += it.Silent ? 0 : 1;
      it.Silent = true;
    }
    return n;
  }

private:
  struct Pair {
    int Client, Server;
    bool Silent = false;
  };

  static bool copy(int from, int to) {
    char buf[16384];
    ssize_t n = recv(from, buf, sizeof buf, 0);
    if (n == 0 || (n < 0 && errno != EAGAIN))
      return false;
    for (ssize_t done = 0; done < n;) {
      ssize_t k =
          send(to, buf + done, static_cast<size_t>(n - done), MSG_NOSIGNAL);
      if (k < 0 && errno != EAGAIN)
        return false;
      done += std::max<ssize_t>(k, 0);
    }
    return true;
  }
  void run() {
    while (!Stopping) {
      std::vector<pollfd> polled{{Fd, POLLIN, 0}};
      {
        Lock hold(Mutex);
        for (const Pair &it : All) {
          // poll() ignores negative descriptors.
          polled.push_back({it.Silent ? -1 : it.Client, POLLIN, 0});
          polled.push_back({it.Silent ? -1 : it.Server, POLLIN, 0});
        }
      }
      poll(polled.data(), polled.size(), 5);
      Lock hold(Mutex);
      std::vector<Pair> left;
      for (size_t i = 0; i < All.size(); ++i) {
        Pair it = All[i];
        bool open = true;
        if (!it.Silent && polled[2 * i + 1].revents)
          open = copy(it.Client, it.Server);
        if (open && !it.Silent && polled[2 * i + 2].revents)
          open = copy(it.Server, it.Client);
        if (open) {
          left.push_back(it);
          continue;
        }
        close(it.Client);
        close(it.Server);
      }
      All = left;
      for (int fd; (fd = accept4(Fd, nullptr, nullptr,
                                 SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0;) {
        int to = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in at = addressOf("127.0.0.1", To);
        if (connect(to, reinterpret_cast<sockaddr *>(&at), sizeof at) != 0) {
          close(fd);
          close(to);
          continue;
        }
        fcntl(to, F_SETFL, fcntl(to, F_GETFL) | O_NONBLOCK);
        All.push_back({fd, to, false});
      }
    }
  }

  const int Fd;
  const uint16_t To;
  std::mutex Mutex;
  std::vector<Pair> All;
  std::atomic<bool> Stopping{false};
  std::thread Loop;
};

constexpr uint8_t Syn = 2, Rst = 8, Ack = 32, Fin = 64;
constexpr size_t HeadBytes = 31;

/// A packet of PROTOCOL.md.
struct Packet {
  uint32_t Sum = 0, Dst = 0, Src = 0, Echo = 0, Seq = 0, Acked = 0;
  uint16_t Sport = 0, Dport = 0;
  uint8_t Flags = 0;
  std::string Data;

  /// Stands for the keyed sum of all fields but the echo.
  uint32_t sumOf() const {
    uint64_t h = 0x9e3779b97f4a7c15ULL;
    auto add = [&](uint64_t v) { h = (h ^ v) * 0x100000001b3ULL; };
    for (uint64_t v : {uint64_t{Dst}, uint64_t{Src}, uint64_t{Seq},
                       uint64_t{Acked}, uint64_t{Sport}, uint64_t{Dport},
                       uint64_t{Flags}, uint64_t{Data.size()}})
      add(v);
    for (char c : Data)
      add(static_cast<uint8_t>(c));
    return static_cast<uint32_t>(h >> 16) | 1;
  }
  std::string bytes() const {
    std::string out(HeadBytes, '\0');
    auto put = [&](size_t at, uint64_t v, size_t n) {
      for (size_t i = 0; i < n; ++i)
        out[at + i] = static_cast<char>(v >> (8 * i));
    };
    put(0, sumOf(), 4);
    put(4, Data.size(), 2);
    put(6, Dst, 4);
    put(10, Sport, 2);
    put(12, Dport, 2);
    put(14, Src, 4);
    put(18, Echo, 4);
    put(22, Flags, 1);
    put(23, Seq, 4);
    put(27, Acked, 4);
    return out + Data;
  }
  static bool parse(const char *in, size_t n, Packet &p) {
    if (n < HeadBytes)
      return false;
    auto get = [&](size_t at, size_t k) {
      uint64_t v = 0;
      for (size_t i = 0; i < k; ++i)
        v |= uint64_t{static_cast<uint8_t>(in[at + i])} << (8 * i);
      return v;
    };
    p.Sum = static_cast<uint32_t>(get(0, 4));
    p.Dst = static_cast<uint32_t>(get(6, 4));
    p.Sport = static_cast<uint16_t>(get(10, 2));
    p.Dport = static_cast<uint16_t>(get(12, 2));
    p.Src = static_cast<uint32_t>(get(14, 4));
    p.Echo = static_cast<uint32_t>(get(18, 4));
    p.Flags = static_cast<uint8_t>(get(22, 1));
    p.Seq = static_cast<uint32_t>(get(23, 4));
    p.Acked = static_cast<uint32_t>(get(27, 4));
    p.Data.assign(in + HeadBytes, n - HeadBytes);
    return get(4, 2) == n - HeadBytes;
  }
};

inline void sendPacket(int fd, const std::string &ip, uint16_t port,
                       const std::string &bytes) {
  sockaddr_in at = addressOf(ip, port);
  sendto(fd, bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr *>(&at),
         sizeof at);
}

/// An opening that a server took.
struct Opening {
  double At = 0;          ///< When it arrived.
  std::string Daemon;     ///< Machine that sent it on.
  std::string ServerId;   ///< The server.
  uint32_t Caller = 0;    ///< The client's address and port.
  uint16_t Port = 0;
  uint8_t Copy = 0;       ///< The copy's number.
};

/// Backend servers, all on one thread.
class Servers {
public:
  struct Spec {
    std::string Id, Service, Zone, Ip;
    uint16_t Port = 0;
    uint64_t Born = 0;
    double SlowUntil = 0;     ///< Just started, and slow until then.
    double HandshakeS = 0;    ///< Time to answer an opening while slow.
  };
  /// Where a flow is open.
  struct OpenFlow {
    std::string ServerId, ServerIp;
    double At = 0;
  };

  /// \p clientPort: port of the clients' machines. \p workS: time of a request.
  Servers(uint16_t clientPort, double workS)
      : ClientPort(clientPort), WorkS(workS) {
    Loop = std::thread([this] { run(); });
  }
  ~Servers() {
    Stopping = true;
    Loop.join();
    for (auto &[id, it] : All)
      closeSockets(it);
  }
  void start(const Spec &spec) {
    One it;
    it.Is = spec;
    it.Tag = strtoull(spec.Id.substr(spec.Id.rfind('-') + 1).c_str(), nullptr, 16);
    it.Udp = openSocket(SOCK_DGRAM, spec.Ip, spec.Port);
    it.Tcp = openSocket(SOCK_STREAM, spec.Ip, spec.Port);
    if (it.Udp < 0 || it.Tcp < 0)
      cannotRun("a server's port is taken");
    Lock hold(Mutex);
    All[spec.Id] = it;
  }
  /// The process of the server ends: its flows are gone and nobody listens.
  void stop(const std::string &id) {
    Lock hold(Mutex);
    closeSockets(All[id]);
    All.erase(id);
  }
  /// After its next response, a draining server closes each flow; the clients
  /// here close a flow after one request anyway.
  std::vector<Opening> openings() {
    Lock hold(Mutex);
    return Taken;
  }
  /// Requests that were run, by content; each has its own Request-Id.
  std::map<std::string, int> runs() {
    Lock hold(Mutex);
    return Runs;
  }
  size_t forged() {
    Lock hold(Mutex);
    return Forged;
  }
  /// Only every second packet is acknowledged, and the answer acknowledges its
  /// request; otherwise each packet is.
  void acknowledgeEverySecond() { EverySecond = true; }
  /// The server at which the flow of a client is open; empty for none.
  OpenFlow openFlow(uint32_t client, uint16_t port) {
    Lock hold(Mutex);
    auto it = OpenAt.find({client, port});
    return it == OpenAt.end() || !All.count(it->second.ServerId) ? OpenFlow()
                                                                 : it->second;
  }
  /// Requests that began to run, by second.
  std::map<int, size_t> runsBySecond() {
    Lock hold(Mutex);
    return RunAt;
  }

private:
  struct Flow {
    uint32_t NextSeq = 0;   ///< Next byte expected from the client.
    uint32_t OwnSeq = 0;    ///< Sequence number of the SYN+ACK.
    uint32_t Echo = 0;
    bool Open = false, Ran = false, Ended = false;
    uint32_t Unacknowledged = 0;
    Packet Answer;
  };
  struct One {
    Spec Is;
    uint64_t Tag = 0;
    int Udp = -1, Tcp = -1;
    std::map<std::pair<uint32_t, uint16_t>, Flow> Flows;
  };
  struct Due {
    double At;
    std::string Id;
    std::pair<uint32_t, uint16_t> Key;
  };

  struct LateAnswer {
    double At;
    std::string Id;
    Packet Out;
  };

  static void closeSockets(One &it) {
    close(it.Udp);
    close(it.Tcp);
  }
  void reply(One &from, Packet p, uint32_t client) {
    sendPacket(from.Udp, ipText(client), ClientPort, p.bytes());
  }
  void handle(One &it, const std::string &daemon, const char *in, size_t n) {
    uint64_t tag = 0;
    for (size_t i = 0; i < 8 && i < n; ++i)
      tag = tag << 8 | static_cast<uint8_t>(in[i]);
    Packet p;
    if (n < 8 || !Packet::parse(in + 8, n - 8, p) || p.Sum != p.sumOf() ||
        ((p.Flags & Syn) && (p.Flags & Ack))) {
      ++Forged;
      return;
    }
    if (tag != 0 && tag != it.Tag)
      return;
    std::pair<uint32_t, uint16_t> key{p.Src, p.Sport};
    Packet out;
    out.Src = p.Dst;
    out.Sport = p.Dport;
    out.Dst = p.Src;
    out.Dport = p.Sport;
    out.Echo = p.Echo;
    auto flow = it.Flows.find(key);
    if (p.Flags & Syn) {
      if (flow == it.Flows.end()) {
        Flow f;
        f.OwnSeq = static_cast<uint32_t>(Random());
        f.NextSeq = p.Seq + 1;
        flow = it.Flows.emplace(key, f).first;
        Taken.push_back({now(), daemon, it.Is.Id, p.Src, p.Sport,
                         static_cast<uint8_t>(p.Acked)});
      }
      flow->second.Echo = p.Echo;
      out.Flags = Syn | Ack;
      out.Seq = flow->second.OwnSeq;
      out.Acked = p.Seq + 1;
      if (now() < it.Is.SlowUntil)
        return Late.push_back({now() + it.Is.HandshakeS, it.Is.Id, out});
      return reply(it, out, p.Src);
    }
    bool known = flow != it.Flows.end() &&
                 (flow->second.Open || p.Acked == flow->second.OwnSeq + 1);
    if (!known) {
      if (p.Flags & Rst)
        return;
      out.Flags = Rst;
      out.Seq = p.Acked;
      return reply(it, out, p.Src);
    }
    Flow &f = flow->second;
    if (!f.Open)
      OpenAt[key] = {it.Is.Id, it.Is.Ip, now()};
    f.Open = true;
    f.Echo = p.Echo;
    if (p.Flags & Rst) {
      it.Flows.erase(flow);
      return;
    }
    if (f.Ended && !p.Data.empty()) {
      out.Flags = Rst;
      out.Seq = p.Acked;
      return reply(it, out, p.Src);
    }
    if (!p.Data.empty() && p.Seq == f.NextSeq) {
      f.NextSeq += static_cast<uint32_t>(p.Data.size());
      ++Runs[p.Data];
      ++RunAt[static_cast<int>(now())];
      f.Answer = out;
      f.Answer.Flags = Ack;
      f.Answer.Seq = f.OwnSeq + 1;
      f.Answer.Acked = f.NextSeq;
      f.Answer.Data = "answer to " + p.Data;
      Pending.push_back({now() + WorkS, it.Is.Id, key});
    } else if (!p.Data.empty() && f.Ran) {
      f.Answer.Echo = f.Echo;
      return reply(it, f.Answer, p.Src);
    }
    if (p.Flags & Fin) {
      out.Flags = f.Ended ? Ack : Fin | Ack;
      out.Seq = f.OwnSeq + 1 + static_cast<uint32_t>(f.Answer.Data.size());
      out.Acked = p.Seq + 1;
      f.Ended = true;
      return reply(it, out, p.Src);
    }
    if (!p.Data.empty() && (!EverySecond || ++f.Unacknowledged % 2 == 0)) {
      out.Flags = Ack;
      out.Seq = f.OwnSeq + 1;
      out.Acked = f.NextSeq;
      reply(it, out, p.Src);
    }
  }
  void run() {
    while (!Stopping) {
      std::vector<pollfd> polled;
      {
        Lock hold(Mutex);
        for (auto &[id, it] : All) {
          polled.push_back({it.Udp, POLLIN, 0});
          polled.push_back({it.Tcp, POLLIN, 0});
        }
      }
      poll(polled.data(), polled.size(), 2);
      Lock hold(Mutex);
      for (auto &[id, it] : All) {
        char buf[2048];
        sockaddr_in from{};
        socklen_t size = sizeof from;
        for (ssize_t n;
             (n = recvfrom(it.Udp, buf, sizeof buf, 0,
                           reinterpret_cast<sockaddr *>(&from), &size)) > 0;)
          handle(it, ipText(ntohl(from.sin_addr.s_addr)), buf,
                 static_cast<size_t>(n));
        // The daemons only connect; a liveness check would be answered here.
        for (int fd; (fd = accept4(it.Tcp, nullptr, nullptr, SOCK_CLOEXEC)) >= 0;)
          close(fd);
      }
      while (!Late.empty() && Late.front().At <= now()) {
        LateAnswer late = Late.front();
        Late.pop_front();
        auto server = All.find(late.Id);
        if (server != All.end())
          reply(server->second, late.Out, late.Out.Dst);
      }
      while (!Pending.empty() && Pending.front().At <= now()) {
        Due due = Pending.front();
        Pending.pop_front();
        auto server = All.find(due.Id);
        if (server == All.end())
          continue;
        auto flow = server->second.Flows.find(due.Key);
        if (flow == server->second.Flows.end())
          continue;
        flow->second.Ran = true;
        flow->second.Answer.Echo = flow->second.Echo;
        reply(server->second, flow->second.Answer, due.Key.first);
      }
    }
  }

  std::mutex Mutex;
  const uint16_t ClientPort;
  const double WorkS;
  std::map<std::string, One> All;
  std::deque<Due> Pending;
  std::deque<LateAnswer> Late;
  std::map<std::pair<uint32_t, uint16_t>, OpenFlow> OpenAt;
  std::atomic<bool> EverySecond{false};
  std::vector<Opening> Taken;
  std::map<std::string, int> Runs;
  std::map<int, size_t> RunAt;
  size_t Forged = 0;
  std::mt19937 Random{std::random_device{}()};
  std::atomic<bool> Stopping{false};
  std::thread Loop;
};

/// One daemon, started with the command of the deploy file.
struct Daemon {
  std::string Name, Ip, Zone, SettingsPath, LogPath;
  pid_t Pid = 0;
  std::vector<double> Events = {}; ///< When the process was started or killed.
};

/// The daemons and the platform's routers before them.
class Fleet {
public:
  Fleet(std::string folder, uint16_t packets, uint16_t ready, uint16_t peers,
        uint16_t metrics, std::string store)
      : Folder(std::move(folder)), Packets(packets), Ready(ready), Peers(peers),
        Metrics(metrics), StoreAt(std::move(store)) {}
  ~Fleet() {
    Stopping = true;
    if (Checks.joinable())
      Checks.join();
    for (size_t i = 0; i < All.size(); ++i)
      kill(i, SIGKILL);
  }
  void add(const std::string &ip, const std::string &zone) {
    Daemon it;
    it.Name = "front-" + zone + "-" + std::to_string(All.size() + 1);
    it.Ip = ip;
    it.Zone = zone;
    it.SettingsPath = Folder + "/" + it.Name + ".json";
    it.LogPath = Folder + "/" + it.Name + ".log";
    All.push_back(it);
  }
  /// Renders platform/settings.json.tmpl as the platform does.
  void writeSettings(size_t i) {
    Daemon &it = All[i];
    std::string seeds;
    for (size_t k = 0; k < std::min<size_t>(3, All.size()); ++k)
      seeds += (k ? "," : "") + ("\"" + All[k].Ip + ":1\"");
    FILE *f = fopen(it.SettingsPath.c_str(), "w");
    if (!f)
      cannotRun("no settings file");
    fprintf(f,
            "{\"vm\": \"%s\", \"failure_domain\": \"%s\", \"packets\": "
            "{\"listen\": \"%s:%u\"}, \"ready\": {\"listen\": \"%s:%u\", "
            "\"path\": \"/-/ready\"}, \"peers\": {\"listen\": \"%s:%u\", "
            "\"seeds\": [%s]}, \"published\": {\"address\": \"%s\"}, "
            "\"metrics\": {\"listen\": \"%s:%u\"}, \"load\": {\"speeds\": "
            "true}, \"shutdown\": {\"grace_s\": 6}}\n",
            it.Name.c_str(), it.Zone.c_str(), it.Ip.c_str(), Packets,
            it.Ip.c_str(), Ready, it.Ip.c_str(), Peers, seeds.c_str(),
            StoreAt.c_str(), it.Ip.c_str(), Metrics);
    fclose(f);
  }
  void start(size_t i) {
    writeSettings(i);
    Daemon &it = All[i];
    pid_t pid = fork();
    if (pid == 0) {
      // Ends with this program, however that ends.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      int log = open(it.LogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(log, 1);
      dup2(log, 2);
      setenv("BALSAMRACK_CONFIG", it.SettingsPath.c_str(), 1);
      execl("target/balsamrack-packetd", "target/balsamrack-packetd",
            "--settings", it.SettingsPath.c_str(), static_cast<char *>(nullptr));
      _exit(127);
    }
    Lock hold(Mutex);
    it.Pid = pid;
    it.Events.push_back(now());
  }
  /// Sends a signal to a daemon; waits for its end if it is SIGKILL.
  void kill(size_t i, int signal) {
    pid_t pid = All[i].Pid;
    if (pid <= 0)
      return;
    ::kill(pid, signal);
    if (signal != SIGKILL)
      return;
    int status = 0;
    waitpid(pid, &status, 0);
    Lock hold(Mutex);
    All[i].Pid = 0;
    All[i].Events.push_back(now());
  }
  /// SIGTERM, and SIGKILL if it goes on for longer than graceS.
  void stopInTime(size_t i, double graceS) {
    pid_t pid = All[i].Pid;
    ::kill(pid, SIGTERM);
    int status = 0;
    for (double limit = now() + graceS; waitpid(pid, &status, WNOHANG) == 0;
         sleepFor(0.01))
      if (now() > limit)
        return kill(i, SIGKILL);
    Lock hold(Mutex);
    All[i].Pid = 0;
    All[i].Events.push_back(now());
  }
  /// Begins the checks of readiness, twice a second.
  void startChecks() {
    InRotation.assign(All.size(), false);
    Misses.assign(All.size(), 2);
    Checks = std::thread([this] {
      while (!Stopping) {
        double next = now() + 0.5;
        for (size_t i = 0; i < All.size(); ++i) {
          bool ok = check(All[i].Ip);
          Lock hold(Mutex);
          Misses[i] = ok ? 0 : Misses[i] + 1;
          InRotation[i] = Misses[i] < 2 && (ok || InRotation[i]);
        }
        sleepUntil(next);
      }
    });
  }
  bool check(const std::string &ip) const {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    timeval limit{0, 300'000};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    sockaddr_in at = addressOf(ip, Ready);
    bool ok = false;
    if (connect(fd, reinterpret_cast<sockaddr *>(&at), sizeof at) == 0) {
      std::string call = "GET /-/ready HTTP/1.1\r\nHost: " + ip +
                         "\r\nConnection: close\r\n\r\n";
      send(fd, call.data(), call.size(), MSG_NOSIGNAL);
      char buf[256];
      ssize_t n = recv(fd, buf, sizeof buf, 0);
      ok = n > 12 && std::string(buf, 12) == "HTTP/1.1 200";
    }
    close(fd);
    return ok;
  }
  bool allReady() const {
    return std::all_of(All.begin(), All.end(),
                       [this](const Daemon &it) { return check(it.Ip); });
  }
  /// The daemon that a packet of this flow goes to now, or -1.
  int route(const std::string &zone, uint64_t hash) {
    Lock hold(Mutex);
    std::vector<size_t> of, ready, any;
    for (size_t i = 0; i < All.size(); ++i) {
      bool own = All[i].Zone == zone;
      if (own)
        of.push_back(i);
      if (own && InRotation[i])
        ready.push_back(i);
      if (InRotation[i])
        any.push_back(i);
    }
    if (ready.empty())
      ready = any;
    else if (ready.size() * 2 < of.size())
      ready = of;
    return ready.empty() ? -1 : static_cast<int>(ready[hash % ready.size()]);
  }
  /// True if the process at \p ip ran undisturbed from \p from to \p to.
  bool ranThrough(const std::string &ip, double from, double to) {
    Lock hold(Mutex);
    for (const Daemon &it : All)
      if (it.Ip == ip)
        return std::none_of(it.Events.begin(), it.Events.end(),
                            [&](double at) { return at > from && at <= to; });
    return false;
  }
  std::string nameOf(const std::string &ip) const {
    for (const Daemon &it : All)
      if (it.Ip == ip)
        return it.Name;
    return ip;
  }
  const std::vector<Daemon> &all() const { return All; }
  uint16_t packetPort() const { return Packets; }

private:
  const std::string Folder;
  const uint16_t Packets, Ready, Peers, Metrics;
  const std::string StoreAt;
  std::mutex Mutex;
  std::vector<Daemon> All;
  std::vector<bool> InRotation;
  std::vector<int> Misses;
  std::atomic<bool> Stopping{false};
  std::thread Checks;
};

/// Clients that open a flow for each request, at a given rate.
class Clients {
public:
  struct Group {
    std::string Zone, Ip;    ///< Where they are; one machine a group.
    std::string RouteIp;     ///< Address that they call.
    uint16_t RoutePort = 0;
    double PerSecond = 0;
    bool Safe = false;       ///< Their requests may be repeated.
    double BudgetS = 2;      ///< Time budget of a request.
    int Direct = -1;         ///< Not negative: flows that are sent directly to
                             ///< this daemon, and not repeated.
  };
  /// What became of a flow that was sent directly to a daemon.
  struct Result {
    double SentAt = 0;
    int Daemon = -1;
    uint16_t RoutePort = 0;
    enum Kind { Opened, Reset, Silent } How = Silent;
  };
  struct Counts {
    size_t Asked = 0, Answered = 0, Reset = 0, TimedOut = 0, Wrong = 0;
  };

  Clients(Fleet &fleet, std::vector<Group> groups)
      : Routers(fleet), Groups(std::move(groups)) {
    for (const Group &it : Groups) {
      int fd = openSocket(SOCK_DGRAM, it.Ip, fleet.packetPort());
      if (fd < 0)
        cannotRun("a client's port is taken");
      Fds.push_back(fd);
    }
    NextPort.assign(Groups.size(), 2000);
    NextAt.assign(Groups.size(), now());
    Loop = std::thread([this] { run(); });
  }
  ~Clients() {
    stop();
    for (int fd : Fds)
      close(fd);
  }
  void stop() {
    if (!Stopping.exchange(true))
      Loop.join();
  }
  Counts counts() {
    Lock hold(Mutex);
    return Sum;
  }
  /// When the client at \p ip sent the first copy of the flow from \p port.
  double sentAt(uint32_t ip, uint16_t port) {
    Lock hold(Mutex);
    auto it = Sent.find({ip, port});
    return it == Sent.end() ? -1 : it->second;
  }
  /// Flows that were opened and requests that were answered, by second.
  std::map<int, std::pair<size_t, size_t>> bySecond() {
    Lock hold(Mutex);
    return Seconds;
  }
  /// A reset that a client got.
  struct Reset {
    double At = 0;
    std::string From;      ///< Address of the machine that sent it.
    uint32_t Client = 0;
    uint16_t Port = 0;
    bool Open = false;     ///< The client took the flow for open.
    std::string Request;
    std::vector<std::string> Through; ///< Daemons, in order.
  };
  /// Called for each reset, on the clients' thread.
  std::function<void(const Reset &)> OnReset;
  std::vector<Result> results() {
    Lock hold(Mutex);
    return Results;
  }
  void setRate(size_t group, double perSecond) {
    Lock hold(Mutex);
    Groups[group].PerSecond = perSecond;
  }

private:
  struct Attempt {
    std::string Request;
    double At = 0, RequestAt = 0, Deadline = 0, Gap = 0.2;
    int Tries = 0;
    uint8_t Copies = 0;
    bool Open = false;
    uint32_t Seq = 0, Peer = 0, Echo = 0;
    std::vector<std::string> Through = {};
  };

  void send(size_t g, uint16_t port, Attempt &it, uint8_t flags,
            uint32_t seq, uint32_t acked, const std::string &data) {
    Packet p;
    p.Src = ipNumber(Groups[g].Ip);
    p.Sport = port;
    p.Dst = ipNumber(Groups[g].RouteIp);
    p.Dport = Groups[g].RoutePort;
    p.Flags = flags;
    p.Seq = seq;
    p.Acked = acked;
    p.Echo = flags & Syn ? 0 : it.Echo;
    p.Data = data;
    uint64_t hash = (uint64_t{p.Src} << 16 | port) * 0x9e3779b97f4a7c15ULL >> 33;
    int to = Groups[g].Direct >= 0 ? Groups[g].Direct
                                   : Routers.route(Groups[g].Zone, hash);
    if (to >= 0)
      it.Through.push_back(Routers.all()[static_cast<size_t>(to)].Name);
    if (to >= 0)
      sendPacket(Fds[g], Routers.all()[static_cast<size_t>(to)].Ip,
                 Routers.packetPort(), p.bytes());
  }
  void begin(size_t g, const std::string &request, int tries, double deadline) {
    uint16_t port = NextPort[g] = NextPort[g] >= 64000 ? 2000 : NextPort[g] + 1;
    Attempt it;
    it.Request = request;
    it.At = now();
    it.Tries = tries;
    it.Deadline = deadline;
    it.Seq = static_cast<uint32_t>(Random());
    send(g, port, it, Syn, it.Seq, 0, "");
    Sent[{ipNumber(Groups[g].Ip), port}] = it.At;
    ++Seconds[static_cast<int>(it.At)].first;
    All[{g, port}] = it;
  }
  /// A try ended without an answer.
  void fail(size_t g, const Attempt &it, bool reset) {
    if (Groups[g].Direct >= 0) {
      if (!it.Open)
        Results.push_back({it.At, Groups[g].Direct, Groups[g].RoutePort,
                           reset ? Result::Reset : Result::Silent});
      return;
    }
    bool again = it.Tries < 2 && now() < it.Deadline &&
                 (Groups[g].Safe || !it.Open);
    if (again)
      return begin(g, it.Request, it.Tries + 1, it.Deadline);
    ++(reset ? Sum.Reset : Sum.TimedOut);
  }
  void handle(size_t g, const Packet &p, const std::string &from) {
    auto at = All.find({g, p.Dport});
    if (at == All.end() || p.Src != ipNumber(Groups[g].RouteIp))
      return;
    Attempt &it = at->second;
    if (p.Flags & Rst) {
      Attempt ended = it;
      All.erase(at);
      if (OnReset)
        OnReset({now(), from, ipNumber(Groups[g].Ip), p.Dport, ended.Open,
                 ended.Request.substr(0, ended.Request.find('.')),
                 ended.Through});
      return fail(g, ended, true);
    }
    it.Echo = p.Echo;
    if (p.Flags & Syn) {
      if (it.Open)
        return;
      it.Open = true;
      it.Peer = p.Seq;
      if (Groups[g].Direct >= 0)
        Results.push_back({it.At, Groups[g].Direct, Groups[g].RoutePort,
                           Result::Opened});
      it.RequestAt = now();
      send(g, p.Dport, it, Ack, it.Seq + 1, it.Peer + 1, it.Request);
      return;
    }
    if (p.Data.empty())
      return;
    bool right = p.Data == "answer to " + it.Request;
    Seconds[static_cast<int>(now())].second += right ? 1 : 0;
    if (!right || Groups[g].Direct < 0)
      ++(right ? Sum.Answered : Sum.Wrong);
    send(g, p.Dport, it, Fin | Ack,
         it.Seq + 1 + static_cast<uint32_t>(it.Request.size()),
         p.Seq + static_cast<uint32_t>(p.Data.size()), "");
    All.erase(at);
  }
  void timers() {
    double t = now();
    std::vector<std::pair<size_t, Attempt>> failed;
    for (auto at = All.begin(); at != All.end();) {
      Attempt &it = at->second;
      auto [g, port] = at->first;
      if (t >= it.Deadline || (!it.Open && t >= it.At + 1.4)) {
        failed.emplace_back(g, it);
        at = All.erase(at);
        continue;
      }
      if (!it.Open && it.Copies < 2 && t >= it.At + (it.Copies ? 0.6 : 0.2))
        send(g, port, it, Syn, it.Seq, ++it.Copies, "");
      if (it.Open && t >= it.RequestAt + it.Gap) {
        it.RequestAt = t;
        it.Gap = std::min(it.Gap * 2, 1.6);
        send(g, port, it, Ack, it.Seq + 1, it.Peer + 1, it.Request);
      }
      ++at;
    }
    for (auto &[g, it] : failed)
      fail(g, it, false);
  }
  void run() {
    while (!Stopping) {
      std::vector<pollfd> polled;
      for (int fd : Fds)
        polled.push_back({fd, POLLIN, 0});
      poll(polled.data(), polled.size(), 1);
      Lock hold(Mutex);
      for (size_t g = 0; g < Groups.size(); ++g) {
        char buf[2048];
        sockaddr_in from{};
        socklen_t size = sizeof from;
        for (ssize_t n;
             (n = recvfrom(Fds[g], buf, sizeof buf, 0,
                           reinterpret_cast<sockaddr *>(&from), &size)) > 0;) {
          Packet p;
          if (Packet::parse(buf, static_cast<size_t>(n), p))
            handle(g, p, ipText(ntohl(from.sin_addr.s_addr)));
        }
        while (Groups[g].PerSecond > 0 && NextAt[g] <= now()) {
          std::exponential_distribution<double> gap(Groups[g].PerSecond);
          NextAt[g] = std::max(NextAt[g], now() - 0.05) + gap(Random);
          std::string request =
              "Request-Id: " + Groups[g].Zone + "-" + std::to_string(++LastRequest);
          Sum.Asked += Groups[g].Direct < 0 ? 1 : 0;
          request.resize(900, '.');
          begin(g, request, 0, now() + Groups[g].BudgetS);
        }
        if (Groups[g].PerSecond <= 0)
          NextAt[g] = now();
      }
      timers();
    }
  }

  Fleet &Routers;
  std::mutex Mutex;
  std::vector<Group> Groups;
  std::vector<int> Fds;
  std::vector<uint16_t> NextPort;
  std::vector<double> NextAt;
  std::map<std::pair<size_t, uint16_t>, Attempt> All;
  std::map<std::pair<uint32_t, uint16_t>, double> Sent;
  Counts Sum;
  size_t LastRequest = 0;
  std::vector<Result> Results;
  std::map<int, std::pair<size_t, size_t>> Seconds;
  std::mt19937 Random{std::random_device{}()};
  std::atomic<bool> Stopping{false};
  std::thread Loop;
};

/// Writes what was sent, answered and run in each second.
inline void recordSeconds(Record &record, Clients &clients, Servers &servers) {
  auto runs = servers.runsBySecond();
  for (const auto &[second, it] : clients.bySecond())
    record.line("second %d: %zu flows sent, %zu requests answered, %zu run",
                second, it.first, it.second, runs[second]);
  size_t twice = 0;
  for (const auto &[request, n] : servers.runs())
    twice += n > 1 ? 1 : 0;
  record.line("requests that were run more than once: %zu", twice);
}

/// True unless TROUBLE=0 is set.
inline bool hasTrouble() {
  const char *text = getenv("TROUBLE");
  return !text || std::string(text) != "0";
}

} // namespace review

#endif
