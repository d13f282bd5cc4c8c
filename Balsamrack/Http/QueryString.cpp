#include "Balsamrack/Http/QueryString.h"

#include <cstdlib>

#include "absl/strings/ascii.h"
#include "absl/strings/str_split.h"

namespace balsamrack {

namespace {

absl::StatusOr<std::string> percentDecode(const std::string &text,
                                          bool plusIsSpace) {
  std::string out;
  for (size_t i = 0; i < text.size(); ++i) {
    char c = text[i];
    if (c == '+' && plusIsSpace)
      c = ' ';
    if (c == '%') {
      if (i + 2 >= text.size() || !absl::ascii_isxdigit(text[i + 1]) ||
          !absl::ascii_isxdigit(text[i + 2]))
        return absl::InvalidArgumentError("incomplete percent escape");
      c = static_cast<char>(
          std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    }
    if (c == '\0')
      return absl::InvalidArgumentError("zero byte in the target");
    out.push_back(c);
  }
  return out;
}

} // namespace

absl::StatusOr<RequestTarget> parseTarget(const std::string &target) {
  RequestTarget result;
  size_t queryStart = target.find('?');
  auto path = percentDecode(target.substr(0, queryStart), false);
  if (!path.ok())
    return path.status();
  result.Path = *std::move(path);
  if (queryStart == std::string::npos)
    return result;
  for (auto encoded :
       absl::StrSplit(target.substr(queryStart + 1), '&', absl::SkipEmpty())) {
    std::string parameter(encoded);
    size_t equalsSign = parameter.find('=');
    auto name = percentDecode(parameter.substr(0, equalsSign), true);
    auto value = percentDecode(
        equalsSign == std::string::npos ? "" : parameter.substr(equalsSign + 1),
        true);
    if (!name.ok() || !value.ok())
      return name.ok() ? value.status() : name.status();
    result.Query.emplace(*std::move(name), *std::move(value));
  }
  return result;
}

} // namespace balsamrack
