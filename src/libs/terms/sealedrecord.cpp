#include "terms/sealedrecord.h"

#include "wire/messagecode.h"

namespace Terms {

std::string
SealRecord(absl::string_view aKey, const lw::terms::Record& aRecord)
{
  lw::terms::SealedRecord sealed;
  sealed.set_record(aRecord.SerializeAsString());
  sealed.set_code(Wire::MessageCode(aKey, sealed.record()));
  return sealed.SerializeAsString();
}

absl::StatusOr<lw::terms::Record>
OpenRecord(absl::string_view aKey, absl::string_view aSealed)
{
  lw::terms::SealedRecord sealed;
  if (!sealed.ParseFromArray(aSealed.data(), static_cast<int>(aSealed.size()))) {
    return absl::InvalidArgumentError("terms record is not a sealed record");
  }
  if (!Wire::IsMessageCode(aKey, sealed.record(), sealed.code())) {
    return absl::InvalidArgumentError("terms record has a wrong authentication code");
  }
  lw::terms::Record record;
  if (!record.ParseFromString(sealed.record())) {
    return absl::InvalidArgumentError("terms record cannot be decoded");
  }
  return record;
}

} // namespace Terms
