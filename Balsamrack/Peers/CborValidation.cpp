#include "Balsamrack/Peers/CborValidation.h"

#include <cstdint>
#include <vector>

namespace balsamrack {

namespace {

/// Major types of RFC 8949, section 3.1.
enum Major : uint8_t {
  Unsigned = 0,
  Negative = 1,
  Bytes = 2,
  Text = 3,
  Array = 4,
  Map = 5,
  Tag = 6,
  Simple = 7,
};

constexpr uint8_t LargestInlineValue = 23;
constexpr uint8_t LargestLengthCode = 27;
constexpr uint64_t FirstSimple = 20; // false
constexpr uint64_t LastSimple = 22;  // null

/// Checks one item iteratively: the library's parser recurses for each level,
/// so a frame of millions of nested arrays would overflow the stack before an
/// error could be reported.
class CborValidator {
public:
  CborValidator(const std::string &bytes, const CborLimits &limits)
      : Input(bytes), Limits(limits) {}

  absl::Status validate() {
    if (Input.size() > Limits.MaxBytes)
      return fault("frame too large");
    OpenLevels.push_back(1);
    while (!OpenLevels.empty()) {
      if (OpenLevels.back() == 0) {
        OpenLevels.pop_back();
        continue;
      }
      --OpenLevels.back();
      absl::Status status = readItem();
      if (!status.ok())
        return status;
    }
    return Offset == Input.size() ? absl::OkStatus()
                                  : fault("bytes after the end");
  }

private:
  static absl::Status fault(const char *what) {
    return absl::InvalidArgumentError(what);
  }
  size_t remainingBytes() const { return Input.size() - Offset; }

  /// Reads the argument of the initial byte (RFC 8949, section 3): \p
  /// additionalInfo itself or the bytes that follow it. Returns false if it is
  /// truncated or of indefinite length.
  bool readArgument(uint8_t additionalInfo, uint64_t &out) {
    out = additionalInfo;
    if (additionalInfo <= LargestInlineValue)
      return true;
    if (additionalInfo > LargestLengthCode)
      return false;
    size_t n = size_t(1) << (additionalInfo - LargestInlineValue - 1);
    if (remainingBytes() < n)
      return false;
    out = 0;
    for (size_t i = 0; i < n; ++i)
      out = out << 8 | static_cast<uint8_t>(Input[Offset++]);
    return true;
  }

  absl::Status openContainer(uint64_t count) {
    // Each value takes at least one byte, so a larger count is invalid and
    // would only make the parser reserve memory.
    if (count > remainingBytes())
      return fault("truncated");
    if (OpenLevels.size() > Limits.MaxDepth)
      return fault("nested too deeply");
    OpenLevels.push_back(count);
    return absl::OkStatus();
  }

  absl::Status readItem() {
    if (remainingBytes() == 0)
      return fault("truncated");
    if (++ItemCount > Limits.MaxItems)
      return fault("too many values");
    auto initialByte = static_cast<uint8_t>(Input[Offset++]);
    uint64_t argument = 0;
    if (!readArgument(initialByte & 31, argument))
      return fault("truncated, or a length that is not definite");
    switch (initialByte >> 5) {
    case Unsigned:
    case Negative:
      return absl::OkStatus();
    case Bytes:
    case Major::Text:
      if (argument > remainingBytes())
        return fault("truncated");
      Offset += argument;
      return absl::OkStatus();
    case Array:
      return openContainer(argument);
    case Map:
      return argument > remainingBytes() ? fault("truncated")
                                         : openContainer(2 * argument);
    case Simple:
      if ((initialByte & 31) <= LargestInlineValue && argument >= FirstSimple &&
          argument <= LastSimple)
        return absl::OkStatus();
      break;
    default:
      break;
    }
    return fault("a kind of value that no message uses");
  }

  const std::string &Input;
  const CborLimits &Limits;
  std::vector<uint64_t> OpenLevels; ///< Remaining values of each open level.
  size_t Offset = 0;                ///< Offset of the next byte.
  size_t ItemCount = 0;             ///< Values read so far.
};

} // namespace

absl::Status validateCbor(const std::string &bytes, const CborLimits &limits) {
  return CborValidator(bytes, limits).validate();
}

} // namespace balsamrack
