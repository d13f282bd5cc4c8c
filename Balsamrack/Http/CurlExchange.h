#ifndef BALSAMRACK_HTTP_CURLEXCHANGE_H
#define BALSAMRACK_HTTP_CURLEXCHANGE_H

#include <chrono>
#include <curl/curl.h>
#include <memory>
#include <string>

#include "Balsamrack/Http/HttpClient.h"

namespace balsamrack {

/// One HttpCall as a libcurl easy handle. Not thread-safe.
class CurlExchange {
public:
  /// Takes ownership of the call; nothing is sent until the handle is run.
  CurlExchange(HttpCall call, HttpClient::Done done);
  CurlExchange(const CurlExchange &) = delete;
  CurlExchange &operator=(const CurlExchange &) = delete;
  ~CurlExchange();

  /// Configures the handle. False when the call is not valid HTTP (a control
  /// character in its method, target or header) or has no time left.
  bool prepare();
  /// The handle, owned by this object.
  CURL *handle() const { return Easy; }
  /// The call's tag.
  uint64_t tag() const { return Call.Tag; }
  /// Time at which the call has stalled unless a byte arrives earlier; the far
  /// future when it has no StallTimeout.
  std::chrono::steady_clock::time_point stallDeadline() const;
  /// Passes the result to the call's callback. \p code is libcurl's result; \p
  /// cancelled: the call was ended on this side. Call once, after the handle
  /// was removed from the multi handle.
  void finish(CURLcode code, bool cancelled);

private:
  static size_t onHeader(char *data, size_t size, size_t n, void *self);
  static size_t onBody(char *data, size_t size, size_t n, void *self);
  static int onReadyToSend(void *self, char *toIp, char *fromIp, int toPort,
                           int fromPort);

  bool setHeaders();
  void setMethod();
  bool addHeaderLine(const std::string &line);
  bool hasSentAnything() const;
  bool hasExplicitLength() const;

  const HttpCall Call;
  const HttpClient::Done OnDone;
  const std::chrono::steady_clock::time_point StartedAt;
  std::chrono::steady_clock::time_point
      LastByteAt; ///< Last byte of the response; initially StartedAt.
  CURL *Easy;
  curl_slist *HeaderLines = nullptr; ///< Header lines of the request.
  std::string Url;                   ///< Only its host and port are used.
  bool Sent = false;  ///< The request was about to be written to a connection.
  HeaderList Headers; ///< Of the response so far.
  size_t HeaderBytes = 0;
  std::string Body;              ///< Of the response so far.
  curl_off_t AnnouncedBytes = 0; ///< Length of the whole body; -1 if not known.
  bool TooLarge = false;         ///< See HttpCallResult.
};

} // namespace balsamrack

#endif // BALSAMRACK_HTTP_CURLEXCHANGE_H
