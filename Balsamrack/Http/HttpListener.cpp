#include "Balsamrack/Http/HttpListener.h"

#include <arpa/inet.h>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <unordered_set>
#include <utility>

#include <ulfius.h>

#include "Balsamrack/Core/Errors.h"
#include "Balsamrack/Core/ListenSocket.h"
#include "Balsamrack/Http/HeaderRules.h"

namespace balsamrack {

namespace {

constexpr unsigned HttpPayloadTooLarge = 413;
constexpr unsigned HttpHeadersTooLarge = 431;
constexpr unsigned HttpUnavailable = 503;

/// Besides the request header, libmicrohttpd keeps the response header and its
/// own bookkeeping in a connection's memory.
constexpr size_t ExtraConnectionMemory = size_t(48) << 10;

std::string peerIpOf(const _u_request &request) {
  char text[INET_ADDRSTRLEN] = "";
  if (request.client_address && request.client_address->sa_family == AF_INET) {
    auto *in = reinterpret_cast<const sockaddr_in *>(request.client_address);
    inet_ntop(AF_INET, &in->sin_addr, text, sizeof text);
  }
  return text;
}

HeaderList headersOf(const _u_request &request) {
  HeaderList all;
  const char **keys = u_map_enum_keys(request.map_header);
  for (int i = 0; keys && keys[i]; ++i) {
    const char *value = u_map_get(request.map_header, keys[i]);
    all.emplace_back(keys[i], value ? value : "");
  }
  return all;
}

size_t envelopeBytes(const Message &message) {
  size_t n = message.Method.size() + message.Target.size();
  for (const auto &[name, value] : message.Headers)
    n += name.size() + value.size();
  return n;
}

Message messageOf(const _u_request &request) {
  Message m;
  m.Method = request.http_verb ? request.http_verb : "";
  m.Target = request.http_url ? request.http_url : "/";
  m.Headers = headersOf(request);
  m.Body.assign(static_cast<const char *>(request.binary_body),
                request.binary_body_length);
  return m;
}

/// ulfius stores one value per name, and its names are case-sensitive. Of
/// repeated fields that must not be joined into a list (Set-Cookie) only the
/// last would remain, so each repetition gets a different mix of upper and
/// lower case, which is the same name in HTTP.
std::string uniqueSpelling(_u_map *map, const std::string &name) {
  std::string spelling = name;
  for (unsigned n = 1; u_map_has_key(map, spelling.c_str()); ++n) {
    spelling = name;
    for (size_t i = 0; i < name.size() && i < 16; ++i)
      if (n >> i & 1U)
        spelling[i] = static_cast<char>(spelling[i] ^ 0x20);
    if (n >> name.size())
      break;
  }
  return spelling;
}

void fillResponse(_u_response &response, const Answer &answer, bool close) {
  for (const auto &[name, value] : answer.Headers) {
    std::string key = uniqueSpelling(response.map_header, name);
    u_map_put(response.map_header, key.c_str(), value.c_str());
  }
  if (close)
    u_map_put(response.map_header, "Connection", "close");
  // ulfius_set_binary_body_response() leaves the status at 200 when the body is
  // empty, which would turn a rejection into a success.
  response.status = answer.Status;
  if (!answer.Body.empty())
    ulfius_set_binary_body_response(&response, answer.Status,
                                    answer.Body.data(), answer.Body.size());
}

class UlfiusListener final : public HttpListener {
public:
  UlfiusListener(HttpListenerSettings settings, RequestHandler handler,
                 ListenSocket socket)
      : Settings(std::move(settings)), Handler(std::move(handler)),
        Socket(std::move(socket)), BoundAddress(Socket->address()) {}
  ~UlfiusListener() override { stop(); }

  absl::Status start();
  const Address &at() const override { return BoundAddress; }
  void quiesce() override;
  void stop() override;

private:
  static int onRequest(const _u_request *request, _u_response *response,
                       void *self);
  static void onCompleted(void *self, MHD_Connection *connection,
                          void **context, MHD_RequestTerminationCode how);

  absl::Status makeListenError(const char *what) const {
    return makeError(absl::StatusCode::kInternal, Step::Listen,
                     BoundAddress.str(), what);
  }
  Answer serveRequest(const _u_request &request);
  Answer refusal(unsigned status) const {
    return {status, Settings.RefusalHeaders, ""};
  }
  void quiesceLocked();
  bool addToServing(const _u_request *request);

  const HttpListenerSettings Settings;
  const RequestHandler Handler;
  std::optional<ListenSocket> Socket; ///< Empty once quiesced.
  const Address BoundAddress;
  sockaddr_in BindAddress{}; ///< Referenced by Instance.
  _u_instance Instance{};
  bool Started = false;

  std::mutex Lock; ///< Guards all members below, and Socket.
  std::condition_variable Changed;
  /// Messages between the call of Handler and the last write of the response.
  /// libmicrohttpd closes all connections when it stops, even those whose
  /// response is still being written, which would cut off requests in progress.
  std::unordered_set<const _u_request *> Serving;
  bool Quiesced = false;
  bool Closing = false; ///< No more messages are handled.
  bool Stopped = false; ///< libmicrohttpd's daemon has stopped.
};

absl::Status UlfiusListener::start() {
  BindAddress.sin_family = AF_INET;
  BindAddress.sin_port = htons(BoundAddress.Port);
  inet_pton(AF_INET, BoundAddress.Ip.c_str(), &BindAddress.sin_addr);
  if (ulfius_init_instance(&Instance, BoundAddress.Port, &BindAddress,
                           nullptr) != U_OK)
    return makeListenError("cannot set up the HTTP server");
  Started = true;
  Instance.max_post_body_size = size_t(Settings.MaxBodyBytes) + 1;
  Instance.check_utf8 = 0;
  Instance.allowed_post_processor = U_POST_PROCESS_NONE;
  // ulfius does not start with a default endpoint alone; the wildcard alone
  // does not match the path "/".
  ulfius_add_endpoint_by_val(&Instance, "*", nullptr, "*", 0, &onRequest, this);
  ulfius_set_default_endpoint(&Instance, &onRequest, this);
  size_t memory = 2 * size_t(Settings.MaxHeaderBytes) + ExtraConnectionMemory;
  MHD_OptionItem options[] = {
      {MHD_OPTION_NOTIFY_COMPLETED, reinterpret_cast<intptr_t>(&onCompleted),
       this},
      {MHD_OPTION_URI_LOG_CALLBACK,
       reinterpret_cast<intptr_t>(&ulfius_uri_logger), nullptr},
      {MHD_OPTION_LISTEN_SOCKET, Socket->fd(), nullptr},
      {MHD_OPTION_CONNECTION_LIMIT, Settings.MaxConnections, nullptr},
      {MHD_OPTION_CONNECTION_TIMEOUT, Settings.IdleTimeoutSeconds, nullptr},
      {MHD_OPTION_CONNECTION_MEMORY_LIMIT, static_cast<intptr_t>(memory),
       nullptr},
      {MHD_OPTION_END, 0, nullptr}};
  constexpr unsigned Flags = MHD_USE_THREAD_PER_CONNECTION |
                             MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL |
                             MHD_USE_ITC;
  if (ulfius_start_framework_with_mhd_options(&Instance, Flags, options) !=
      U_OK)
    return makeListenError("cannot start the HTTP server");
  return absl::OkStatus();
}

bool UlfiusListener::addToServing(const _u_request *request) {
  std::lock_guard<std::mutex> hold(Lock);
  if (Closing)
    return false;
  Serving.insert(request);
  return true;
}

Answer UlfiusListener::serveRequest(const _u_request &request) {
  if (request.binary_body_length > Settings.MaxBodyBytes)
    return refusal(HttpPayloadTooLarge);
  Message message = messageOf(request);
  if (envelopeBytes(message) > Settings.MaxHeaderBytes)
    return refusal(HttpHeadersTooLarge);
  message.Headers = withoutHopByHop(message.Headers);
  // A message that arrives after stop() found none in progress must not be
  // handled: its response would be cut off.
  if (!addToServing(&request))
    return refusal(HttpUnavailable);
  return Handler(peerIpOf(request), std::move(message));
}

int UlfiusListener::onRequest(const _u_request *request, _u_response *response,
                              void *self) {
  auto &me = *static_cast<UlfiusListener *>(self);
  Answer answer = me.serveRequest(*request);
  bool close = false;
  {
    std::lock_guard<std::mutex> hold(me.Lock);
    close = me.Quiesced;
  }
  fillResponse(*response, answer,
               close || answer.Status == HttpPayloadTooLarge);
  return U_CALLBACK_COMPLETE;
}

void UlfiusListener::onCompleted(void *self, MHD_Connection *connection,
                                 void **context,
                                 MHD_RequestTerminationCode how) {
  auto &me = *static_cast<UlfiusListener *>(self);
  auto *info = static_cast<connection_info_struct *>(*context);
  const _u_request *request = info ? info->request : nullptr;
  {
    // Done before the request is freed: another thread may get a request at the
    // same address, which would then be erased instead.
    std::lock_guard<std::mutex> hold(me.Lock);
    me.Serving.erase(request);
    me.Changed.notify_all();
  }
  mhd_request_completed(&me.Instance, connection, context, how);
}

void UlfiusListener::quiesceLocked() {
  if (Quiesced)
    return;
  Quiesced = true;
  if (Instance.mhd_daemon)
    MHD_quiesce_daemon(Instance.mhd_daemon);
  Socket.reset();
}

void UlfiusListener::quiesce() {
  std::lock_guard<std::mutex> hold(Lock);
  quiesceLocked();
}

void UlfiusListener::stop() {
  std::unique_lock<std::mutex> hold(Lock);
  quiesceLocked();
  Changed.wait(hold, [this] { return Serving.empty(); });
  if (std::exchange(Closing, true)) {
    Changed.wait(hold, [this] { return Stopped; });
    return;
  }
  hold.unlock();
  // Joins the threads of the connections, which acquire the lock when they end.
  if (Started) {
    ulfius_stop_framework(&Instance);
    ulfius_clean_instance(&Instance);
  }
  hold.lock();
  Stopped = true;
  Changed.notify_all();
}

} // namespace

absl::StatusOr<std::unique_ptr<HttpListener>>
HttpListener::create(const HttpListenerSettings &settings,
                     RequestHandler handler) {
  auto socket = ListenSocket::open(settings.At);
  if (!socket.ok())
    return socket.status();
  auto made = std::make_unique<UlfiusListener>(settings, std::move(handler),
                                               *std::move(socket));
  absl::Status status = made->start();
  if (!status.ok())
    return status;
  return made;
}

} // namespace balsamrack
