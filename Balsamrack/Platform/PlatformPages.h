#ifndef BALSAMRACK_PLATFORM_PLATFORMPAGES_H
#define BALSAMRACK_PLATFORM_PLATFORMPAGES_H

#include <cstddef>
#include <string>

#include "Balsamrack/Platform/PlatformLink.h"
#include "absl/status/statusor.h"

namespace balsamrack {

/// Size limit of a value in the platform, such as a ticket, in bytes.
constexpr size_t MaxPlatformValueBytes = size_t(1) << 20;

/// Size limit of a page, which holds several values, in bytes.
constexpr size_t MaxPlatformPageBytes = size_t(16) << 20;

/// Decodes the response to a read of tickets. The text of each ticket is kept
/// byte for byte; its content is not checked. Error kInvalidArgument (step
/// read-platform) when it is not a valid ticket page. Thread-safe.
absl::StatusOr<TicketPage> decodeTicketPage(const std::string &text);

/// Decodes the response to a read of the VM list. Error as above when it is not
/// a valid VM page, or one of its entries is invalid. Thread-safe.
absl::StatusOr<VmPage> decodeVmPage(const std::string &text);

} // namespace balsamrack

#endif // BALSAMRACK_PLATFORM_PLATFORMPAGES_H
