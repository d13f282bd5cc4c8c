#include "Balsamrack/Configuration/TicketFieldReader.h"

#include <algorithm>
#include <cctype>
#include <utility>

#include "Balsamrack/Core/Errors.h"
#include "absl/strings/str_cat.h"

namespace balsamrack {

namespace {

constexpr size_t MaxNameLength = 64;
/// Longer names of unknown fields are truncated in messages.
constexpr size_t MaxShownLength = 64;

bool isNameChar(char c) {
  auto u = static_cast<unsigned char>(c);
  return (std::isalnum(u) && u < 0x80) || c == '.' || c == '-' || c == '_';
}

bool isValidName(const std::string &text) {
  return !text.empty() && text.size() <= MaxNameLength &&
         std::all_of(text.begin(), text.end(), isNameChar) &&
         std::isalnum(static_cast<unsigned char>(text[0]));
}

const nlohmann::json NullValue;

} // namespace

TicketFieldReader::TicketFieldReader(const nlohmann::json &value,
                                     std::string pointer)
    : Value(value), Pointer(std::move(pointer)) {
  if (!Value.is_object())
    addFault("", "must be an object");
}

std::string TicketFieldReader::pointerTo(const std::string &field) const {
  return field.empty() ? Pointer : absl::StrCat(Pointer, "/", field);
}

void TicketFieldReader::addFault(const std::string &field,
                                 const std::string &what) {
  if (Fault.ok())
    Fault = makeError(absl::StatusCode::kInvalidArgument, Step::CheckTicket, "",
                      absl::StrCat(pointerTo(field), ": ", what));
}

bool TicketFieldReader::has(const char *field) {
  RequestedFields.insert(field);
  return Value.is_object() && Value.contains(field);
}

const nlohmann::json &TicketFieldReader::raw(const char *field) {
  if (has(field))
    return Value[field];
  addFault(field, "is missing");
  return NullValue;
}

std::string TicketFieldReader::text(const char *field) {
  const nlohmann::json &value = raw(field);
  if (value.is_string())
    return value.get<std::string>();
  addFault(field, "must be a string");
  return {};
}

std::string TicketFieldReader::name(const char *field) {
  std::string value = text(field);
  if (!isValidName(value))
    addFault(field, "must be 1 to 64 letters, digits, dots, hyphens or "
                    "underscores, the first a letter or digit");
  return value;
}

uint64_t TicketFieldReader::number(const char *field, Range range) {
  const nlohmann::json &value = raw(field);
  uint64_t n = value.is_number_unsigned() ? value.get<uint64_t>() : 0;
  if (!value.is_number_unsigned() || n < range.Min || n > range.Max) {
    addFault(field, absl::StrCat("must be a whole number from ", range.Min,
                                 " to ", range.Max));
    return range.Min;
  }
  return n;
}

uint64_t TicketFieldReader::numberOr(const char *field, Range range,
                                     uint64_t defaultValue) {
  return has(field) ? number(field, range) : defaultValue;
}

bool TicketFieldReader::flag(const char *field) {
  const nlohmann::json &value = raw(field);
  if (value.is_boolean())
    return value.get<bool>();
  addFault(field, "must be true or false");
  return false;
}

std::vector<uint64_t> TicketFieldReader::numbers(const char *field, Range range,
                                                 size_t maxCount) {
  const nlohmann::json &value = raw(field);
  if (!value.is_array() || value.empty() || value.size() > maxCount) {
    addFault(field,
             absl::StrCat("must be a list of 1 to ", maxCount, " numbers"));
    return {};
  }
  std::set<uint64_t> seen;
  for (const nlohmann::json &item : value) {
    uint64_t n = item.is_number_unsigned() ? item.get<uint64_t>() : 0;
    if (!item.is_number_unsigned() || n < range.Min || n > range.Max ||
        !seen.insert(n).second)
      addFault(field, absl::StrCat("must hold different whole numbers from ",
                                   range.Min, " to ", range.Max));
  }
  return {seen.begin(), seen.end()};
}

absl::Status TicketFieldReader::finish() {
  if (Value.is_object())
    for (auto it = Value.begin(); it != Value.end(); ++it)
      if (RequestedFields.count(it.key()) == 0)
        addFault(it.key().substr(0, MaxShownLength), "is not a known field");
  return Fault;
}

} // namespace balsamrack
