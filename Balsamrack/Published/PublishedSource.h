#ifndef BALSAMRACK_PUBLISHED_PUBLISHEDSOURCE_H
#define BALSAMRACK_PUBLISHED_PUBLISHEDSOURCE_H

#include <functional>
#include <optional>

#include "Balsamrack/Published/PublishedState.h"
#include "absl/status/statusor.h"

namespace balsamrack {

/// One read of the publishing service.
struct PublishedRead {
  /// Number of shares that a section is divided into, by the names of its
  /// objects. The shares have about the same size; a source whose names do not
  /// permit that returns few or no objects for each.
  static constexpr uint32_t ShareCount = 256;

  PublishedSection Section = PublishedSection::Servers; ///< Section to read.
  Revision After; ///< Zero: list all objects; otherwise watch for changes after
                  ///< this revision.
  Duration Wait{0}; ///< Maximum time that the service waits for a change.
  bool AllowStale =
      false; ///< Accepts an answer that is some seconds old, which is cheaper.
  std::optional<uint32_t> Share; ///< List only this share of the section, below
                                 ///< ShareCount. Precondition: After is zero.
};

/// The publishing service that operators and servers write to. Reads cost the
/// platform, so StateExchange limits the number of readers. The answer to a
/// listing arrives in pages of bounded size, that to a watch at once.
class PublishedSource {
public:
  /// Receives the changes, or an error (step read-platform): kOutOfRange if the
  /// history after the requested revision is no longer available;
  /// kResourceExhausted if the answer is too large; kInvalidArgument if it
  /// cannot be decoded; kUnavailable if there is none.
  using Done = std::function<void(absl::StatusOr<PublishedChanges>)>;

  virtual ~PublishedSource() = default;
  /// Starts \p read. \p done is called exactly once, on a thread of the source,
  /// and must not block. Never blocks. Thread-safe.
  virtual void read(const PublishedRead &read, Done done) = 0;
  /// Aborts all reads with an error. Thread-safe.
  virtual void cancelAll() = 0;
};

} // namespace balsamrack

#endif // BALSAMRACK_PUBLISHED_PUBLISHEDSOURCE_H
