#include "Balsamrack/Platform/PlatformPages.h"

#include <utility>
#include <vector>

#include "Balsamrack/Core/Errors.h"
#include "absl/strings/str_cat.h"
#include "nlohmann/json.hpp"

namespace balsamrack {

namespace {

using nlohmann::json;

constexpr int MaxPageDepth = 16;
constexpr const char *TicketsMember = "tickets";

absl::Status pageError(const std::string &what) {
  return makeError(absl::StatusCode::kInvalidArgument, Step::ReadPlatform, "",
                   what);
}

/// Parses a JSON object of limited nesting depth.
absl::StatusOr<json> parsePage(const std::string &text) {
  if (text.size() > MaxPlatformPageBytes)
    return pageError("page too large");
  bool tooDeep = false;
  auto checkDepth = [&tooDeep](int depth, json::parse_event_t, const json &) {
    tooDeep = tooDeep || depth > MaxPageDepth;
    return !tooDeep;
  };
  json page = json::parse(text, checkDepth, false);
  if (tooDeep)
    return pageError("page nested too deeply");
  if (!page.is_object())
    return pageError("page is not a JSON object");
  return page;
}

const json *findMember(const json &object, const char *name) {
  auto it = object.find(name);
  return it == object.end() ? nullptr : &*it;
}

absl::StatusOr<uint64_t> readNumber(const json &page, const char *name) {
  const json *v = findMember(page, name);
  if (!v || !v->is_number_unsigned())
    return pageError(absl::StrCat(name, " is not a whole number"));
  return v->get<uint64_t>();
}

absl::StatusOr<const json *> readArray(const json &page, const char *name) {
  const json *v = findMember(page, name);
  if (!v || !v->is_array())
    return pageError(absl::StrCat(name, " is not an array"));
  return v;
}

/// Extracts the source text of the objects in the array at the root's member
/// "tickets". The text is known to be valid JSON, so only strings and brackets
/// have to be recognized.
class ObjectExtractor {
public:
  explicit ObjectExtractor(const std::string &text) : Text(text) {}

  std::vector<std::string> extract() {
    for (; At < Text.size(); ++At)
      processCharacter();
    return std::move(Objects);
  }

private:
  static constexpr int MemberDepth = 1; ///< Inside the root object.
  static constexpr int ObjectDepth = 3; ///< Inside an object of the array.

  void processCharacter() {
    switch (Text[At]) {
    case '"':
      skipString();
      break;
    case '{':
    case '[':
      if (++Depth == ObjectDepth && Text[At] == '{' &&
          LastString == TicketsMember)
        ObjectStart = At;
      break;
    case '}':
    case ']':
      if (Depth-- == ObjectDepth && Text[At] == '}' &&
          LastString == TicketsMember)
        Objects.push_back(Text.substr(ObjectStart, At + 1 - ObjectStart));
      break;
    default:
      break;
    }
  }
  void skipString() {
    size_t begin = ++At;
    while (At < Text.size() && Text[At] != '"')
      At += Text[At] == '\\' ? 2 : 1;
    if (Depth == MemberDepth)
      LastString = Text.substr(begin, At - begin);
  }

  const std::string &Text;
  size_t At = 0;
  size_t ObjectStart = 0; ///< Start of the current object.
  int Depth = 0;
  std::string LastString; ///< Last member name or string of the root object.
  std::vector<std::string> Objects;
};

absl::StatusOr<EntryVm> vmOf(const json &entry) {
  std::string values[4];
  const char *names[] = {"id", "domain", "peer_address", "state"};
  for (size_t i = 0; i < 4; ++i) {
    const json *v = entry.is_object() ? findMember(entry, names[i]) : nullptr;
    if (!v || !v->is_string())
      return pageError(absl::StrCat("VM without text in ", names[i]));
    values[i] = v->get<std::string>();
  }
  auto at = Address::parse(values[2]);
  if (!at.ok())
    return pageError(std::string(at.status().message()));
  if (values[0].empty() || (values[3] != "live" && values[3] != "leaving"))
    return pageError("VM without id, or neither live nor leaving");
  return EntryVm{VmId(values[0]), DomainId(values[1]), *at,
                 values[3] == "leaving"};
}

} // namespace

absl::StatusOr<TicketPage> decodeTicketPage(const std::string &text) {
  auto page = parsePage(text);
  if (!page.ok())
    return page.status();
  auto highest = readNumber(*page, "highest");
  auto list = readArray(*page, TicketsMember);
  if (!highest.ok() || !list.ok())
    return highest.ok() ? list.status() : highest.status();
  TicketPage result{{*highest}, ObjectExtractor(text).extract()};
  // Differs when an element is not an object, or when the page has two members
  // of that name.
  if (result.Tickets.size() != (*list)->size())
    return pageError(
        "tickets occurs twice or has an element that is not an object");
  for (const std::string &ticket : result.Tickets)
    if (ticket.size() > MaxPlatformValueBytes)
      return pageError("ticket too large");
  return result;
}

absl::StatusOr<VmPage> decodeVmPage(const std::string &text) {
  auto page = parsePage(text);
  if (!page.ok())
    return page.status();
  auto version = readNumber(*page, "version");
  auto list = readArray(*page, "vms");
  if (!version.ok() || !list.ok())
    return version.ok() ? list.status() : version.status();
  VmPage result{*version, {}};
  for (const json &entry : **list) {
    auto vm = vmOf(entry);
    if (!vm.ok())
      return vm.status();
    result.Vms.push_back(*std::move(vm));
  }
  return result;
}

} // namespace balsamrack
