#ifndef BASE_IDS_H_
#define BASE_IDS_H_

#include <cstdint>

#include "base/typed_id.h"

namespace godwit::base {

// An organisation, as named in the configuration.
using OrganisationId = TypedId<struct OrganisationTag>;
// A prepaid budget; unique over all organisations.
using BudgetId = TypedId<struct BudgetTag>;
// A share of a budget that one router incarnation holds; never reused.
using GrantId = TypedId<struct GrantTag>;
// A service, as named in the configuration.
using ServiceId = TypedId<struct ServiceTag>;
// A process of the fleet, stable over restarts ("router-1", "agent-7").
using ProcessId = TypedId<struct ProcessTag>;
// One run of a process, from its start to its end; never reused.
using Incarnation = TypedId<struct IncarnationTag>;
// One attempt to run a request; never reused.
using AttemptId = TypedId<struct AttemptTag>;
// One write to the platform's KV, chosen by the writer; never reused.
using WriteId = TypedId<struct WriteTag>;
// A data centre, as named in the settings.
using DataCentreId = TypedId<struct DataCentreTag>;

// A number of model tokens, the unit of budgets. Valid values are not negative.
using Tokens = int64_t;

}  // namespace godwit::base

#endif  // BASE_IDS_H_
