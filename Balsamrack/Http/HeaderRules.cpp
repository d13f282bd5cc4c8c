#include "Balsamrack/Http/HeaderRules.h"

#include <algorithm>
#include <array>
#include <strings.h>
#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/str_split.h"

namespace balsamrack {

namespace {

constexpr std::array<const char *, 11> HopByHopNames = {"connection",
                                                        "keep-alive",
                                                        "proxy-connection",
                                                        "proxy-authenticate",
                                                        "proxy-authorization",
                                                        "te",
                                                        "trailer",
                                                        "transfer-encoding",
                                                        "upgrade",
                                                        "content-length",
                                                        "host"};

bool isSameName(const std::string &a, const std::string &b) {
  return strcasecmp(a.c_str(), b.c_str()) == 0;
}

/// Names of the fields that the sender restricted to this connection.
std::vector<std::string> connectionOptions(const HeaderList &headers) {
  std::vector<std::string> options;
  for (const auto &[name, value] : headers) {
    if (!isSameName(name, "connection"))
      continue;
    for (auto part : absl::StrSplit(value, ',')) {
      std::string option(part);
      absl::StripAsciiWhitespace(&option);
      options.push_back(std::move(option));
    }
  }
  return options;
}

} // namespace

bool isHopByHop(const std::string &name) {
  return std::any_of(HopByHopNames.begin(), HopByHopNames.end(),
                     [&](const char *one) { return isSameName(name, one); });
}

HeaderList withoutHopByHop(const HeaderList &headers) {
  std::vector<std::string> options = connectionOptions(headers);
  HeaderList kept;
  for (const auto &field : headers) {
    bool drop =
        isHopByHop(field.first) ||
        std::any_of(options.begin(), options.end(), [&](const auto &one) {
          return isSameName(field.first, one);
        });
    if (!drop)
      kept.push_back(field);
  }
  return kept;
}

const std::string *findHeader(const HeaderList &headers,
                              const std::string &name) {
  for (const auto &[key, value] : headers)
    if (isSameName(key, name))
      return &value;
  return nullptr;
}

} // namespace balsamrack
