#include "Balsamrack/Decisions/ServiceOwner.h"

#include "Balsamrack/Core/Errors.h"
#include "Balsamrack/Decisions/ServiceOwnerImpl.h"

namespace balsamrack {

absl::StatusOr<std::unique_ptr<ServiceOwner>>
ServiceOwner::create(const OwnerSettings &settings, ServiceId service,
                     uint64_t seed) {
  if (absl::Status bad = settings.check(); !bad.ok())
    return bad;
  if (service.empty())
    return makeError(absl::StatusCode::kInvalidArgument, Step::ReadSettings, "",
                     "the service id is empty");
  return std::make_unique<ServiceOwnerImpl>(settings, std::move(service), seed);
}

} // namespace balsamrack
