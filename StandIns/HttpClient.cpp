#include "StandIns/HttpClient.h"

#include <curl/curl.h>

#include <memory>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

namespace balsamrack::standins {

namespace {

constexpr long ConnectTimeoutMs = 2000;

using CurlHandle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
using CurlHeaderList =
    std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

size_t appendBody(char *data, size_t size, size_t count, void *answer) {
  static_cast<Answer *>(answer)->Body.append(data, size * count);
  return size * count;
}

size_t appendHeader(char *data, size_t size, size_t count, void *answer) {
  std::string line(data, size * count);
  size_t colon = line.find(':');
  if (colon != std::string::npos)
    static_cast<Answer *>(answer)->Headers.emplace_back(
        line.substr(0, colon),
        absl::StripAsciiWhitespace(std::string(line.substr(colon + 1))));
  return size * count;
}

CurlHeaderList makeHeaders(const Message &message) {
  curl_slist *list = nullptr;
  // Disables Expect: 100-continue, which costs a round trip for larger bodies.
  list = curl_slist_append(list, "Expect:");
  bool hasContentType = false;
  for (const auto &[name, value] : message.Headers) {
    list = curl_slist_append(list, absl::StrCat(name, ": ", value).c_str());
    hasContentType |= absl::AsciiStrToLower(name) == "content-type";
  }
  if (!hasContentType)
    list = curl_slist_append(list, "Content-Type: application/octet-stream");
  return {list, &curl_slist_free_all};
}

void setMessage(CURL *curl, const Message &message) {
  curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, message.Method.c_str());
  if (message.Method == "HEAD")
    curl_easy_setopt(curl, CURLOPT_NOBODY, 1L);
  if (message.Body.empty() && message.Method != "POST")
    return;
  curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE,
                   static_cast<curl_off_t>(message.Body.size()));
  curl_easy_setopt(curl, CURLOPT_POSTFIELDS, message.Body.c_str());
}

absl::Status errorOf(CURL *curl, CURLcode code) {
  const char *text = curl_easy_strerror(code);
  long sent = 0;
  curl_easy_getinfo(curl, CURLINFO_REQUEST_SIZE, &sent);
  bool notSent = code == CURLE_COULDNT_CONNECT || sent == 0;
  return notSent ? absl::UnavailableError(text) : absl::UnknownError(text);
}

absl::StatusOr<std::string> bodyOf(absl::StatusOr<Answer> answer) {
  if (!answer.ok())
    return answer.status();
  if (answer->Status != 200)
    return absl::FailedPreconditionError(
        absl::StrCat("status ", answer->Status, ": ", answer->Body));
  return std::move(answer->Body);
}

} // namespace

absl::StatusOr<Answer> sendHttp(const Address &to, const Message &message,
                                Duration timeout) {
  static const CURLcode ready = curl_global_init(CURL_GLOBAL_DEFAULT);
  CurlHandle curl(ready == CURLE_OK ? curl_easy_init() : nullptr,
                  &curl_easy_cleanup);
  if (!curl)
    return absl::UnavailableError("no curl handle");
  Answer answer;
  std::string url = absl::StrCat("http://", to.str(), message.Target);
  CurlHeaderList headers = makeHeaders(message);
  curl_easy_setopt(curl.get(), CURLOPT_URL, url.c_str());
  curl_easy_setopt(curl.get(), CURLOPT_HTTPHEADER, headers.get());
  curl_easy_setopt(curl.get(), CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(curl.get(), CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl.get(), CURLOPT_NOPROXY, "*");
  curl_easy_setopt(curl.get(), CURLOPT_CONNECTTIMEOUT_MS, ConnectTimeoutMs);
  curl_easy_setopt(curl.get(), CURLOPT_TIMEOUT_MS,
                   static_cast<long>(timeout.count() / 1000));
  curl_easy_setopt(curl.get(), CURLOPT_WRITEFUNCTION, &appendBody);
  curl_easy_setopt(curl.get(), CURLOPT_WRITEDATA, &answer);
  curl_easy_setopt(curl.get(), CURLOPT_HEADERFUNCTION, &appendHeader);
  curl_easy_setopt(curl.get(), CURLOPT_HEADERDATA, &answer);
  setMessage(curl.get(), message);
  CURLcode code = curl_easy_perform(curl.get());
  if (code != CURLE_OK)
    return errorOf(curl.get(), code);
  long status = 0;
  curl_easy_getinfo(curl.get(), CURLINFO_RESPONSE_CODE, &status);
  answer.Status = static_cast<uint32_t>(status);
  return answer;
}

absl::StatusOr<std::string>
getHttp(const Address &from, const std::string &target, Duration timeout) {
  return bodyOf(sendHttp(from, {"GET", target, {}, ""}, timeout));
}

absl::StatusOr<std::string> postHttp(const Address &to,
                                     const std::string &target,
                                     const std::string &body,
                                     Duration timeout) {
  return bodyOf(sendHttp(to, {"POST", target, {}, body}, timeout));
}

} // namespace balsamrack::standins
