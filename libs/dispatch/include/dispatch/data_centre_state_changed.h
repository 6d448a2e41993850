#ifndef DISPATCH_DATA_CENTRE_STATE_CHANGED_H_
#define DISPATCH_DATA_CENTRE_STATE_CHANGED_H_

#include <cstddef>

#include "base/ids.h"

namespace godwit::dispatch {

// Command: record that this router stops sending to the backend servers of a
// data centre, or sends to them again, for logs.
struct DataCentreStateChanged {
  base::DataCentreId data_centre;
  bool is_evacuated = false;
  // Number of its servers that are registered.
  size_t servers = 0;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_DATA_CENTRE_STATE_CHANGED_H_
