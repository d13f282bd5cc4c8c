#include "Balsamrack/Http/CurlExchange.h"

#include <algorithm>
#include <utility>

#include "Balsamrack/Http/HeaderRules.h"
#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

namespace balsamrack {

namespace {

constexpr size_t MaxAnswerHeaderBytes = size_t(64) << 10;
constexpr long MaxIdleSeconds = 30; ///< Older idle connections are not reused.

constexpr uint32_t HttpNoContent = 204;
constexpr uint32_t HttpNotModified = 304;

/// Returns whether \p text can't end a line or a field early. A daemon of
/// another implementation could send a message with a line break in a field; if
/// forwarded, it would be a second request on the server's connection.
bool isSafeText(const std::string &text, bool rejectSpaces) {
  return std::none_of(text.begin(), text.end(), [&](char c) {
    auto byte = static_cast<unsigned char>(c);
    return (byte < ' ' && c != '\t') || byte == 127 ||
           (rejectSpaces && c == ' ');
  });
}

long millis(Duration d) {
  return static_cast<long>(std::max<Duration::rep>(d.count() / 1000, 1));
}

} // namespace

CurlExchange::CurlExchange(HttpCall call, HttpClient::Done done)
    : Call(std::move(call)), OnDone(std::move(done)),
      StartedAt(std::chrono::steady_clock::now()), LastByteAt(StartedAt),
      Easy(curl_easy_init()), Url("http://" + Call.To.str() + "/") {}

CurlExchange::~CurlExchange() {
  curl_easy_cleanup(Easy);
  curl_slist_free_all(HeaderLines);
}

std::chrono::steady_clock::time_point CurlExchange::stallDeadline() const {
  if (Call.StallTimeout <= Duration(0))
    return std::chrono::steady_clock::time_point::max();
  return LastByteAt + Call.StallTimeout;
}

bool CurlExchange::prepare() {
  const Message &m = Call.Content;
  if (!Easy || Call.Timeout <= Duration(0) || m.Method.empty() ||
      m.Target.empty() || !isSafeText(m.Method, true) ||
      !isSafeText(m.Target, true))
    return false;
  if (!setHeaders())
    return false;
  setMethod();
  curl_easy_setopt(Easy, CURLOPT_URL, Url.c_str());
  curl_easy_setopt(Easy, CURLOPT_REQUEST_TARGET, m.Target.c_str());
  curl_easy_setopt(Easy, CURLOPT_HTTP_VERSION, long(CURL_HTTP_VERSION_1_1));
  curl_easy_setopt(Easy, CURLOPT_PROXY, "");
  curl_easy_setopt(Easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(Easy, CURLOPT_MAXAGE_CONN, MaxIdleSeconds);
  curl_easy_setopt(Easy, CURLOPT_TIMEOUT_MS, millis(Call.Timeout));
  curl_easy_setopt(Easy, CURLOPT_CONNECTTIMEOUT_MS,
                   millis(std::min(Call.ConnectTimeout, Call.Timeout)));
  curl_easy_setopt(Easy, CURLOPT_HEADERFUNCTION, &onHeader);
  curl_easy_setopt(Easy, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(Easy, CURLOPT_WRITEFUNCTION, &onBody);
  curl_easy_setopt(Easy, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(Easy, CURLOPT_PREREQFUNCTION, &onReadyToSend);
  curl_easy_setopt(Easy, CURLOPT_PREREQDATA, this);
  curl_easy_setopt(Easy, CURLOPT_PRIVATE, this);
  // The server may have closed an idle connection without this side having
  // noticed. A request written to it fails, and it is unknown whether it was
  // executed. Requests that must execute at most once therefore always get a
  // new connection. It is not kept either: otherwise one idle connection for
  // each such request would pile up, and the server counts each of them.
  curl_easy_setopt(Easy, CURLOPT_FRESH_CONNECT, Call.SendOnce ? 1L : 0L);
  curl_easy_setopt(Easy, CURLOPT_FORBID_REUSE, Call.SendOnce ? 1L : 0L);
  return true;
}

bool CurlExchange::setHeaders() {
  for (const auto &[name, value] : withoutHopByHop(Call.Content.Headers)) {
    if (!isSafeText(name, true) || !isSafeText(value, false))
      return false;
    // libcurl takes "Name:" as a request to omit the field, and "Name;" as an
    // empty field.
    if (!addHeaderLine(absl::StrCat(name, value.empty() ? ";" : ": ", value)))
      return false;
  }
  // Suppresses fields that libcurl would add by itself.
  for (const char *name : {"Accept", "Content-Type", "Expect"})
    if (!findHeader(Call.Content.Headers, name) &&
        !addHeaderLine(std::string(name) + ":"))
      return false;
  curl_easy_setopt(Easy, CURLOPT_HTTPHEADER, HeaderLines);
  return true;
}

bool CurlExchange::addHeaderLine(const std::string &line) {
  curl_slist *extended = curl_slist_append(HeaderLines, line.c_str());
  if (extended)
    HeaderLines = extended;
  return extended != nullptr;
}

void CurlExchange::setMethod() {
  const Message &m = Call.Content;
  bool hasBody = !m.Body.empty() || m.Method == "POST" || m.Method == "PUT" ||
                 m.Method == "PATCH";
  if (m.Method == "HEAD") {
    curl_easy_setopt(Easy, CURLOPT_NOBODY, 1L);
    return;
  }
  if (hasBody) {
    curl_easy_setopt(Easy, CURLOPT_POST, 1L);
    curl_easy_setopt(Easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(m.Body.size()));
    curl_easy_setopt(Easy, CURLOPT_POSTFIELDS, m.Body.data());
  }
  curl_easy_setopt(Easy, CURLOPT_CUSTOMREQUEST, m.Method.c_str());
}

int CurlExchange::onReadyToSend(void *self, char * /*toIp*/, char * /*fromIp*/,
                                int /*toPort*/, int /*fromPort*/) {
  auto &me = *static_cast<CurlExchange *>(self);
  // libcurl resends a request, whatever its method, when a reused connection
  // ends before any response. That would charge a deposit twice. It calls this
  // function before each send.
  if (me.Sent && me.Call.SendOnce)
    return CURL_PREREQFUNC_ABORT;
  if (me.Call.MaySend && !me.Call.MaySend())
    return CURL_PREREQFUNC_ABORT;
  me.Sent = true;
  return CURL_PREREQFUNC_OK;
}

size_t CurlExchange::onHeader(char *data, size_t size, size_t n, void *self) {
  auto &me = *static_cast<CurlExchange *>(self);
  me.LastByteAt = std::chrono::steady_clock::now();
  std::string line(data, size * n);
  me.HeaderBytes += line.size();
  if (me.HeaderBytes > MaxAnswerHeaderBytes)
    return 0;
  if (line.rfind("HTTP/", 0) == 0) {
    me.Headers.clear(); // Earlier fields belong to an interim response.
    return size * n;
  }
  size_t colon = line.find(':');
  if (colon != std::string::npos) {
    std::string value = line.substr(colon + 1);
    absl::StripAsciiWhitespace(&value);
    me.Headers.emplace_back(line.substr(0, colon), std::move(value));
  }
  return size * n;
}

size_t CurlExchange::onBody(char *data, size_t size, size_t n, void *self) {
  auto &me = *static_cast<CurlExchange *>(self);
  me.LastByteAt = std::chrono::steady_clock::now();
  if (me.Body.empty())
    curl_easy_getinfo(me.Easy, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T,
                      &me.AnnouncedBytes);
  // A response that announces its length is not read in vain.
  me.TooLarge = me.Body.size() + size * n > me.Call.MaxAnswerBytes ||
                me.AnnouncedBytes > me.Call.MaxAnswerBytes;
  if (me.TooLarge)
    return 0;
  me.Body.append(data, size * n);
  return size * n;
}

bool CurlExchange::hasSentAnything() const {
  long written = 0;
  curl_easy_getinfo(Easy, CURLINFO_REQUEST_SIZE, &written);
  return Sent || written > 0;
}

bool CurlExchange::hasExplicitLength() const {
  long status = 0;
  curl_easy_getinfo(Easy, CURLINFO_RESPONSE_CODE, &status);
  return Call.Content.Method == "HEAD" || status == HttpNoContent ||
         status == HttpNotModified || findHeader(Headers, "Content-Length") ||
         findHeader(Headers, "Transfer-Encoding");
}

void CurlExchange::finish(CURLcode code, bool cancelled) {
  HttpCallResult result;
  result.Cancelled = cancelled;
  result.TooLarge = TooLarge;
  result.Took = std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now() - StartedAt);
  if (cancelled)
    result.Error = "cancelled";
  else if (TooLarge)
    result.Error = "response too large";
  else if (code != CURLE_OK)
    result.Error = curl_easy_strerror(code);
  else if (!hasExplicitLength())
    // The body ends when the connection closes. A killed server process looks
    // the same, so a truncated response could be taken for a complete one.
    result.Error = "response without Content-Length or chunked encoding";
  if (result.Error.empty()) {
    long status = 0;
    curl_easy_getinfo(Easy, CURLINFO_RESPONSE_CODE, &status);
    result.How = HttpCallOutcome::Answered;
    result.Content = {static_cast<uint32_t>(status), withoutHopByHop(Headers),
                      std::move(Body)};
  } else {
    result.How =
        hasSentAnything() ? HttpCallOutcome::Failed : HttpCallOutcome::NotSent;
  }
  OnDone(std::move(result));
}

} // namespace balsamrack
