#ifndef BALSAMRACK_HTTP_CURLEXCHANGE_H
#define BALSAMRACK_HTTP_CURLEXCHANGE_H

#include <chrono>
#include <curl/curl.h>
#include <memory>
#include <string>

#include "Balsamrack/Http/HttpClient.h"

namespace balsamrack {

/// One HttpCall as a libcurl handle. Not thread-safe.
class CurlExchange {
public:
  /// Takes the call over; nothing is sent before the handle is driven.
  CurlExchange(HttpCall call, HttpClient::Done done);
  CurlExchange(const CurlExchange &) = delete;
  CurlExchange &operator=(const CurlExchange &) = delete;
  ~CurlExchange();

  /// Sets the handle up. False when the call can't be put into HTTP (a control
  /// character in its method, target or header) or has no time left.
  bool prepare();
  /// The handle, owned by this object.
  CURL *handle() const { return Easy; }
  /// The call's tag.
  uint64_t tag() const { return Call.Tag; }
  /// When the call has stalled unless a byte comes before; the far future when
  /// it has no StallTimeout.
  std::chrono::steady_clock::time_point stallDeadline() const;
  /// Reports the end to the one who began the call. \p code is libcurl's
  /// verdict; \p cancelled tells that we ended it. To be called once, after the
  /// handle was taken out of its loop.
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
  std::chrono::steady_clock::time_point LastByteAt; ///< Of the answer; Began.
  CURL *Easy;
  curl_slist *HeaderLines = nullptr; ///< Header lines of the request.
  std::string Url;                   ///< Only its address counts.
  bool Sent = false;  ///< The request was about to be written to a connection.
  HeaderList Headers; ///< Of the answer so far.
  size_t HeaderBytes = 0;
  std::string Body; ///< Of the answer so far.
};

} // namespace balsamrack

#endif // BALSAMRACK_HTTP_CURLEXCHANGE_H
