#ifndef BALSAMRACK_CONFIGURATION_TICKETFIELDREADER_H
#define BALSAMRACK_CONFIGURATION_TICKETFIELDREADER_H

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "absl/status/status.h"

namespace balsamrack {

/// Reads the fields of one JSON object with all checks. The first fault is
/// kept; after it every read gives a default, so that a caller reads all fields
/// and asks finish once. Not thread-safe.
class TicketFieldReader {
public:
  /// A range of whole numbers, both ends included.
  struct Range {
    uint64_t Min; ///< Least value.
    uint64_t Max; ///< Greatest value.
  };

  /// Reads \p value, which stands at the JSON pointer \p pointer. Keeps a
  /// reference to \p value.
  TicketFieldReader(const nlohmann::json &value, std::string pointer);

  /// True when the field is there. Not thread-safe.
  bool has(const char *field);
  /// A name: 1 to 64 letters, digits, dots, hyphens or underscores, the first a
  /// letter or digit. Not thread-safe.
  std::string name(const char *field);
  /// Any string. Not thread-safe.
  std::string text(const char *field);
  /// A whole number in \p range. Not thread-safe.
  uint64_t number(const char *field, Range range);
  /// As number, or \p absent when the field is left out. Not thread-safe.
  uint64_t numberOr(const char *field, Range range, uint64_t defaultValue);
  /// True or false. Not thread-safe.
  bool flag(const char *field);
  /// \p most or fewer different numbers in \p range, at least one. Not
  /// thread-safe.
  std::vector<uint64_t> numbers(const char *field, Range range,
                                size_t maxCount);
  /// The field as it is; an empty value when it is missing. Not thread-safe.
  const nlohmann::json &raw(const char *field);
  /// JSON pointer to \p field. Not thread-safe.
  std::string pointerTo(const std::string &field) const;
  /// Notes a fault at \p field, unless there was one. Not thread-safe.
  void addFault(const std::string &field, const std::string &what);
  /// The first fault; ok when all that is there was asked for and was right.
  /// Not thread-safe.
  absl::Status finish();

private:
  const nlohmann::json &Value; ///< The object, or whatever is in its place.
  std::string Pointer;         ///< Where it stands.
  std::set<std::string> RequestedFields; ///< Fields that were asked for.
  absl::Status Fault;                    ///< The first fault.
};

} // namespace balsamrack

#endif // BALSAMRACK_CONFIGURATION_TICKETFIELDREADER_H
