#ifndef BALSAMRACK_PUBLISHED_PUBLISHEDSOURCE_H
#define BALSAMRACK_PUBLISHED_PUBLISHEDSOURCE_H

#include <functional>

#include "Balsamrack/Published/PublishedState.h"
#include "absl/status/statusor.h"

namespace balsamrack {

/// One read of the publishing service.
struct PublishedRead {
  PublishedSection Section = PublishedSection::Servers; ///< What to read.
  Revision After;   ///< Zero: list all; else wait for changes after this.
  Duration Wait{0}; ///< How long the service may wait for a change.
  bool AllowStale =
      false; ///< An answer some seconds old will do, and is cheaper.
};

/// Where operators and servers publish. Reads cost the platform, so whoever
/// reads is chosen with care (StateExchange).
class PublishedSource {
public:
  /// Gets the result: changes, or an error (step read-platform): kOutOfRange
  /// when the history after the revision asked for is no longer there.
  using Done = std::function<void(absl::StatusOr<PublishedChanges>)>;

  virtual ~PublishedSource() = default;
  /// Begins \p read; \p done is called exactly once, on a thread of the source,
  /// and must not block. Never blocks. Thread-safe.
  virtual void read(const PublishedRead &read, Done done) = 0;
  /// Ends all reads early, with an error. Thread-safe.
  virtual void cancelAll() = 0;
};

} // namespace balsamrack

#endif // BALSAMRACK_PUBLISHED_PUBLISHEDSOURCE_H
