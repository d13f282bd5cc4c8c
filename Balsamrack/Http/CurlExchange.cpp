#include "Balsamrack/Http/CurlExchange.h"

#include <algorithm>
#include <utility>

#include "Balsamrack/Http/HeaderRules.h"
#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

namespace balsamrack {

namespace {

constexpr size_t MaxAnswerHeaderBytes = size_t(64) << 10;
constexpr long MaxIdleSeconds = 30; ///< Kept connections older than that are
                                    ///< not used again.

constexpr uint32_t HttpNoContent = 204;
constexpr uint32_t HttpNotModified = 304;

/// True when \p text can't end a line or a field early. A daemon of another
/// make could send us a message with a line break in a field; passed on, it
/// would be a second request on the server's connection.
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
  // A kept connection may have been closed by the server without our knowing;
  // a request that is written to it fails, and nothing tells whether it ran.
  // Requests that may run once therefore always get a connection of their own.
  // It is not kept either: as many as there are such requests would pile up,
  // each of them a connection that the server counts.
  curl_easy_setopt(Easy, CURLOPT_FRESH_CONNECT, Call.SendOnce ? 1L : 0L);
  curl_easy_setopt(Easy, CURLOPT_FORBID_REUSE, Call.SendOnce ? 1L : 0L);
  return true;
}

bool CurlExchange::setHeaders() {
  for (const auto &[name, value] : withoutHopByHop(Call.Content.Headers)) {
    if (!isSafeText(name, true) || !isSafeText(value, false))
      return false;
    // libcurl takes "Name:" as the wish to leave a field out, and "Name;" as an
    // empty one.
    if (!addHeaderLine(absl::StrCat(name, value.empty() ? ";" : ": ", value)))
      return false;
  }
  // Fields that libcurl would add of its own accord.
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
  // libcurl sends a request again, whatever its method, when a kept connection
  // ends before any answer. That would charge a deposit twice; it asks here
  // before each send.
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
    me.Headers.clear(); // Those before were of an interim answer.
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
  if (me.Body.size() + size * n > me.Call.MaxAnswerBytes)
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
  result.Took = std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now() - StartedAt);
  if (cancelled)
    result.Error = "cancelled";
  else if (code != CURLE_OK)
    result.Error = curl_easy_strerror(code);
  else if (!hasExplicitLength())
    // The end of the connection ends the body. A server process that is killed
    // looks the same, so that half an answer could pass for a whole one.
    result.Error = "answer without Content-Length or chunks";
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
