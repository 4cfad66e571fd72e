#pragma once

#include "membership/view.h"
#include "steering/evacuations.h"

namespace Entry {

/// Sets the share of new work of each upstream in the view by the evacuations of the availability
/// zones. A later view built without evacuations has no trace of them.
void
ApplyEvacuations(const Steering::Evacuations& aEvacuations,
                 Base::TimePoint aNow,
                 Membership::View& aView);

} // namespace Entry
