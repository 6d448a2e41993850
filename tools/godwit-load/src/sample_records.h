#ifndef GODWIT_LOAD_SAMPLE_RECORDS_H_
#define GODWIT_LOAD_SAMPLE_RECORDS_H_

#include <cstddef>
#include <string>

#include "claims/claim_record.h"
#include "ledger/ledger_record.h"
#include "membership/fleet_record.h"

namespace godwit::load {

// Builds records of a given size with contents like those of a running fleet.

// Budgets with one top-up each, and `grants` grants that list 16 agents each.
ledger::LedgerRecord SampleLedger(size_t budgets, size_t grants);
// Agents spread over five data centres.
membership::FleetRecord SampleFleet(size_t agents);
claims::ClaimRecord SampleClaims(size_t claims);
// A configuration with that many organisations and one service.
std::string SampleConfiguration(size_t organisations);

}  // namespace godwit::load

#endif  // GODWIT_LOAD_SAMPLE_RECORDS_H_
