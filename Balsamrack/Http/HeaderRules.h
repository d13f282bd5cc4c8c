#ifndef BALSAMRACK_HTTP_HEADERRULES_H
#define BALSAMRACK_HTTP_HEADERRULES_H

#include <string>

#include "Balsamrack/World/Request.h"

namespace balsamrack {

/// True for a field that applies to one connection only and is never forwarded
/// (RFC 9110, section 7.6.1), and for Content-Length and Host, which each hop
/// sets itself. Thread-safe.
bool isHopByHop(const std::string &name);

/// Removes hop-by-hop fields and the fields named by a Connection field.
/// Thread-safe.
HeaderList withoutHopByHop(const HeaderList &headers);

/// Returns the first field called \p name, ignoring case, or null. The result
/// points into \p headers. Thread-safe.
const std::string *findHeader(const HeaderList &headers,
                              const std::string &name);

} // namespace balsamrack

#endif // BALSAMRACK_HTTP_HEADERRULES_H
