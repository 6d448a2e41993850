#ifndef LEDGER_WALL_CLOCKS_H_
#define LEDGER_WALL_CLOCKS_H_

#include <map>

#include "base/ids.h"
#include "base/millis.h"

namespace godwit::ledger {

// Wall clocks of routers at one moment, by router.
using WallClocks = std::map<base::ProcessId, base::Millis>;

}  // namespace godwit::ledger

#endif  // LEDGER_WALL_CLOCKS_H_
