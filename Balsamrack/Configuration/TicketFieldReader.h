#ifndef BALSAMRACK_CONFIGURATION_TICKETFIELDREADER_H
#define BALSAMRACK_CONFIGURATION_TICKETFIELDREADER_H

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "absl/status/status.h"

namespace balsamrack {

/// Reads and validates the fields of one JSON object. The first error is kept,
/// and invalid fields read as defaults, so callers read all fields and check
/// finish() once. Not thread-safe.
class TicketFieldReader {
public:
  /// A range of whole numbers, both ends included.
  struct Range {
    uint64_t Min; ///< Minimum value.
    uint64_t Max; ///< Maximum value.
  };

  /// Reads \p value, located at the JSON pointer \p pointer. Keeps a reference
  /// to \p value.
  TicketFieldReader(const nlohmann::json &value, std::string pointer);

  /// True if the field is present. Not thread-safe.
  bool has(const char *field);
  /// A name: 1 to 64 letters, digits, dots, hyphens or underscores, the first a
  /// letter or digit. Not thread-safe.
  std::string name(const char *field);
  /// Any string. Not thread-safe.
  std::string text(const char *field);
  /// A whole number in \p range. Not thread-safe.
  uint64_t number(const char *field, Range range);
  /// Like number(), or \p defaultValue if the field is absent. Not thread-safe.
  uint64_t numberOr(const char *field, Range range, uint64_t defaultValue);
  /// True or false. Not thread-safe.
  bool flag(const char *field);
  /// Between one and \p maxCount distinct numbers in \p range. Not thread-safe.
  std::vector<uint64_t> numbers(const char *field, Range range,
                                size_t maxCount);
  /// The unparsed field; a null value if it is missing. Not thread-safe.
  const nlohmann::json &raw(const char *field);
  /// JSON pointer to \p field. Not thread-safe.
  std::string pointerTo(const std::string &field) const;
  /// Records an error at \p field, unless there is one already. Not
  /// thread-safe.
  void addFault(const std::string &field, const std::string &what);
  /// Returns the first error, or ok. Fields that were never read are errors.
  /// Not thread-safe.
  absl::Status finish();

private:
  const nlohmann::json &Value; ///< The object, or a value of another type.
  std::string Pointer;         ///< JSON pointer of Value.
  std::set<std::string> RequestedFields; ///< Fields read so far.
  absl::Status Fault;                    ///< The first error.
};

} // namespace balsamrack

#endif // BALSAMRACK_CONFIGURATION_TICKETFIELDREADER_H
